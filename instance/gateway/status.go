package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Status describes the load and view of a process at one moment.
type Status struct {
	// Running counts admitted requests, Waiting those of them that wait for a
	// place, Queued the steps that wait for a worker.
	Running, Waiting, Queued int
	// Gateways counts the live gateways, including this one; Upstreams those that
	// accept requests or drain.
	Gateways, Upstreams int
	// ConfigAge is the time since the configuration was last known to be the
	// newest, or minus one second if none is known.
	ConfigAge time.Duration
	// RegistryDown is set while the registry does not answer; the process itself runs.
	RegistryDown bool
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
	g.board.With(h, func(b **roster.Board) { s.Upstreams = (*b).Len() })
	return s
}
