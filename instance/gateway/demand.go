package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
)

// paceEvents is the number of events after the first over which the pace of a stream is
// measured. The load that the engine reported with the stream's start is true for so long.
const paceEvents = 8

// estimateDemand returns what a typical request to the engines of a service costs.
func (g *Gateway) estimateDemand(h *table.HeldLocks, service directory.ServiceName) (e demand.Estimate) {
	now := g.clock.Now()
	g.demand.With(h, func(l **demand.Ledger) { e = (*l).Estimate(now, service) })
	return e
}

// recordDemand records the size of a request to engines.
func (g *Gateway) recordDemand(h *table.HeldLocks, r *request) {
	g.demand.With(h, func(l **demand.Ledger) {
		(*l).RecordRequest(r.arrived, r.service, r.message.Prompt, r.expectedOutput(), r.message.MaxOutput)
	})
}

// recordPace records the time that a stream took for its first events after the first one.
func (g *Gateway) recordPace(r *request, took time.Duration) {
	running := r.startLoad.Running
	g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
		engine := g.engine(h, r.service)
		if engine == nil {
			return nil
		}
		perToken := took / time.Duration(paceEvents*engine.EventTokens)
		now := g.clock.Now()
		g.demand.With(h, func(l **demand.Ledger) { (*l).RecordPace(now, r.service, running, perToken) })
		return nil
	})
}

// recordOutput records the output of a stream that ended normally at its first engine. The
// first streams to end after a start are the short ones, so none counts before the long
// ones that began with them have ended, too.
func (g *Gateway) recordOutput(h *table.HeldLocks, r *request) {
	now := g.clock.Now()
	engine := g.engine(h, r.service)
	if engine == nil || r.attempts != 1 || r.events == 0 || now.Sub(g.startedAt) < r.deadline.Sub(r.arrived) {
		return
	}
	taken := contract.Tokens(r.events * engine.EventTokens)
	g.demand.With(h, func(l **demand.Ledger) { (*l).RecordOutput(now, r.service, r.expectedOutput(), taken) })
}

// applyDemand takes a peer's tallies of the services that run engines here.
func (g *Gateway) applyDemand(h *table.HeldLocks, m relay.Message) {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return
	}
	now := g.clock.Now()
	for name, tally := range m.Demand {
		if !snapshot.RunsEngines(name) {
			continue
		}
		applied := false
		g.demand.With(h, func(l **demand.Ledger) { applied = (*l).Apply(now, m.From.Name, name, tally) })
		if !applied {
			g.log.Warn(string(eventDemandInvalid), "from", m.From.Name, "service", name)
		}
	}
}

// DemandSaveEvery is the interval at which one gateway stores the demand.
const DemandSaveEvery = 10 * time.Second

// saveDemand stores the demand if this gateway is the first one by name. It schedules
// itself again.
func (g *Gateway) saveDemand(h *table.HeldLocks) []pool.Effect {
	g.pool.After(DemandSaveEvery, g.saveDemand)
	now := g.clock.Now()
	if g.life.State() != instance.Serving || g.nameRank(h, now) > 0 {
		return nil
	}
	var all map[directory.ServiceName]demand.Tally
	g.demand.With(h, func(l **demand.Ledger) { all = (*l).All(now) })
	if len(all) == 0 {
		return nil
	}
	return registryCall(ReadTimeout, func(ctx context.Context) pool.Step {
		if err := g.registry.SaveDemand(ctx, all); err != nil {
			g.log.Info(string(eventDemandNotStored), "error", err)
		}
		return nil
	})
}

// restoreDemand takes the demand that an earlier process stored. Services that are not
// configured are dropped, here or with the first configuration.
func (g *Gateway) restoreDemand(h *table.HeldLocks, tallies map[directory.ServiceName]demand.Tally) {
	now := g.clock.Now()
	snapshot := g.snapshot(h)
	for name, tally := range tallies {
		if snapshot != nil && !snapshot.RunsEngines(name) {
			continue
		}
		restored := false
		g.demand.With(h, func(l **demand.Ledger) { restored = (*l).Restore(now, name, tally) })
		if !restored {
			g.log.Warn(string(eventDemandInvalid), "from", "registry", "service", name)
		}
	}
}
