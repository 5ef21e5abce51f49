package gateway

import (
	"sync/atomic"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// crossZone counts what was sent to another zone than the preferred one.
type crossZone struct {
	calls, prefills atomic.Uint64
}

// CrossZone counts the plain calls that were sent to another zone than this process's, and the
// prefills in another zone than the decode engine's.
type CrossZone struct {
	Calls, Prefills uint64
}

// count counts a call if it was sent to another zone than near. An empty zone is not known.
func (c *crossZone) count(to *atomic.Uint64, choice roster.Choice, near zone.AvailabilityZone) {
	if near != "" && choice.Zone != near {
		to.Add(1)
	}
}

// recordLoad records the load that an upstream reported when its answer began.
func (g *Gateway) recordLoad(choice roster.Choice, load runner.Load) {
	if !load.Known {
		return
	}
	now := g.clock.Now()
	g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
		g.board.With(h, func(b **roster.Board) { (*b).RecordLoad(now, choice, load) })
		return nil
	})
}
