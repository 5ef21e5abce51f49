package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/notice"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// observeNotice takes a notice of an upstream. It is called by the goroutines of calls.
func (g *Gateway) observeNotice(from runner.Target, n runner.Notice) {
	g.metrics.recordNotice(n)
	now := g.clock.Now()
	g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
		isNew := false
		g.board.With(h, func(b **roster.Board) { isNew = (*b).RecordNotice(now, from, n) })
		if isNew {
			g.log.Info(string(eventNotice), "upstream", from.ID, "address", from.Addr, "born", from.Born, "from", "answer",
				"leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds(), "warmup_ms", n.Warmup.Milliseconds())
		}
		return nil
	})
}

// applyLeaving takes a peer's notes on upstreams that leave.
func (g *Gateway) applyLeaving(h *table.HeldLocks, m relay.Message) {
	if len(m.Leaving) == 0 {
		return
	}
	now := g.clock.Now()
	var leaving []notice.Incarnation
	g.board.With(h, func(b **roster.Board) { leaving = (*b).MergeLeaving(now, m.Leaving) })
	for _, of := range leaving {
		g.log.Info(string(eventNotice), "upstream", of.ID, "born", of.Born, "from", m.From.Name, "leaving", true)
	}
}

// paused reports whether an upstream wants no requests now.
func (g *Gateway) paused(h *table.HeldLocks, now time.Time, t runner.Target) (paused bool) {
	g.board.With(h, func(b **roster.Board) { paused = (*b).Paused(now, t) })
	return paused
}

// refuseUnavailable returns a refusal if all upstreams for a request are excluded by their
// zones, or all others have asked for a pause.
func (g *Gateway) refuseUnavailable(h *table.HeldLocks, now time.Time, r *request, role upstream.Role) *contract.Refusal {
	if refusal := g.refuseExcluded(h, r, role); refusal != nil {
		return refusal
	}
	var left time.Duration
	g.board.With(h, func(b **roster.Board) { left = (*b).PauseLeft(now, r.need(role)) })
	if left == 0 {
		return nil
	}
	return contract.RefuseRetryable(contract.CodeOverCapacity, max(left, minRetryDelay), "all upstreams asked for a pause")
}
