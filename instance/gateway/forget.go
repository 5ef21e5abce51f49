package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// forgetUpstreams closes the idle connections to upstreams that left the board, moved, or
// lost their address to another one since the last call, and removes the metrics of those
// that left. Closing a connection does not block.
func (g *Gateway) forgetUpstreams(h *table.HeldLocks, changes []roster.Change) {
	var released []runner.Target
	g.board.With(h, func(b **roster.Board) { released = (*b).TakeReleased() })
	for _, t := range released {
		g.runners.Forget(t)
	}
	g.retainUpstreams(h, changes)
}
