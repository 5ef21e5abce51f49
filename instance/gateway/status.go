package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Status is how a process stands at one moment.
type Status struct {
	// Running are admitted requests, Waiting those of them that wait for a place,
	// Queued the steps that wait for a worker.
	Running, Waiting, Queued int
	// Gateways are the processes heard lately, this one among them; Upstreams
	// those that take requests or drain.
	Gateways, Upstreams int
	// ConfigAge is how long ago the configuration was known to be the newest,
	// minus one second if none is known.
	ConfigAge time.Duration
	// Away says that the registry does not answer.
	Away bool
}

// Status looks at the tables.
func (g *Gateway) Status() Status {
	h, now := table.NewHeld(), g.clock.Now()
	s := Status{Running: g.Running(), Queued: g.pool.Queued(), Gateways: g.countGateways(h, now), Away: g.registryDown(h), ConfigAge: -time.Second}
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
