package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
)

// Status describes the load and view of a process at one moment.
type Status struct {
	// Running counts admitted requests, Waiting those of them that wait for a
	// place, Queued the steps that wait for a worker.
	Running, Waiting, Queued int
	// Gateways counts the live gateways, including this one; Upstreams those that
	// accept requests or drain.
	Gateways, Upstreams int
	// Leaving counts the upstreams that said that they leave, Paused those that want no
	// requests now.
	Leaving, Paused int
	// Slow counts the upstreams that reported in the last second that their work takes a
	// quarter more time than usual, or longer.
	Slow int
	// CrossZone counts what was sent to another zone.
	CrossZone CrossZone
	// ConfigAge is the time since the configuration was last known to be the
	// newest, or minus one second if none is known.
	ConfigAge time.Duration
	// Engines describes the services that run engines, in order of their names.
	Engines []EngineStatus
	// Traffic describes the services that requests were sent to, in order of their names.
	Traffic []TrafficStatus
	// RegistryDown is set while the registry does not answer; the process itself runs.
	RegistryDown bool
}

// EngineStatus describes the engines of a service and the demand for them.
type EngineStatus struct {
	Service directory.ServiceName
	// Prefill and Decode count the engines by role, those that are changing it in the
	// new one; WantedPrefill is how many should run prefills.
	Prefill, Decode, WantedPrefill int
	// Demand is the cost of a typical request, if Demand.Known; PrefillTime is that of
	// its prompt, and DecodeTime that of its output at a full engine.
	Demand                  demand.Estimate
	PrefillTime, DecodeTime time.Duration
}

// engineStatus returns the status of all services that run engines.
func (g *Gateway) engineStatus(h *table.HeldLocks, now time.Time) (out []EngineStatus) {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		if !snapshot.RunsEngines(name) {
			continue
		}
		engines, model := g.rolesModel(h, now, snapshot.Services[name])
		s := EngineStatus{Service: name, Prefill: split.CountRole(engines, upstream.RolePrefill), Demand: model.Demand}
		s.Decode = len(engines) - s.Prefill
		s.WantedPrefill = model.WantedPrefill(len(engines), s.Prefill)
		if model.Demand.Known() {
			s.PrefillTime, s.DecodeTime = model.Demand.PrefillTime(), model.FullDecodeTime()
		}
		out = append(out, s)
	}
	return out
}

// Status reads the tables one after another, so its figures need not be of the same
// instant.
func (g *Gateway) Status() Status {
	h, now := table.NewHeldLocks(), g.clock.Now()
	s := Status{Running: g.Running(), Queued: g.pool.QueueLength(), Gateways: g.countGateways(h, now), RegistryDown: g.registryDown(h), ConfigAge: -time.Second}
	g.config.With(h, func(c **configuration) {
		if (*c).current != nil {
			s.ConfigAge = now.Sub((*c).confirmedAt)
		}
	})
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		for _, l := range *lists {
			s.Waiting += len(l.queue)
		}
	})
	g.board.With(h, func(b **roster.Board) {
		s.Upstreams = (*b).Len()
		s.Leaving, s.Paused = (*b).NoticeCount(now)
		s.Slow = (*b).SlowCount(now)
	})
	s.Engines = g.engineStatus(h, now)
	s.CrossZone = CrossZone{g.away.calls.Load(), g.away.prefills.Load()}
	s.Traffic = g.trafficStatus(h, now)
	return s
}
