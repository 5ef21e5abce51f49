package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// observeNotice takes a notice of an upstream. It is called by the goroutines of calls.
func (g *Gateway) observeNotice(from runner.Target, n runner.Notice) {
	g.metrics.recordNotice(n)
	g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
		g.log.Info(string(eventNotice), "upstream", from.ID, "address", from.Addr, "born", from.Born, "leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds())
		return nil
	})
}
