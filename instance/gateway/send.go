package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Kinds of sends that are checked, for logs and metrics. The board decides (see
// roster.Board.MaySend); docs/design/send-check.md describes the check.
const (
	sendStream  = "stream"
	sendPrefill = "prefill"
	sendCall    = "call"
	// sendFetch is a stream that would fetch a KV cache that its engine no longer has.
	sendFetch = "fetch"
)

// SendStopKey is the key by which stopped sends are counted.
type SendStopKey struct {
	// Call is the kind of send: stream, prefill, call for a plain request, or fetch for the
	// reuse of a KV cache.
	Call   string
	Reason roster.SendVerdict
}

func (m *Metrics) recordSendStop(k SendStopKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendStops[k]++
}

// stopSend counts and logs a send that the check stopped.
func (g *Gateway) stopSend(r *request, call string, choice roster.Choice, reason roster.SendVerdict, inputs ...any) {
	g.metrics.recordSendStop(SendStopKey{Call: call, Reason: reason})
	g.flushAndLogEvent(r, eventSendStopped, append([]any{"call", call, "upstream", choice.ID, "address", choice.Addr,
		"born", choice.Born, "reason", string(reason)}, inputs...)...)
}

// sendable returns the choices from the first one on to which the request may be sent now.
// Call it after the last decision before a send.
func (g *Gateway) sendable(h *table.HeldLocks, now time.Time, r *request, call string, role upstream.Role, choices []roster.Choice) []roster.Choice {
	need := r.need(role)
	for len(choices) > 0 {
		reason := roster.SendAllowed
		g.board.With(h, func(b **roster.Board) { reason = (*b).MaySend(now, choices[0], need) })
		if reason.Allowed() {
			break
		}
		g.stopSend(r, call, choices[0], reason)
		choices = choices[1:]
	}
	return choices
}

// checkPlace decides whether a stream may be sent to its place now. If not, it releases the
// place and takes another one, and void is true. source, a KV cache that is not fetched yet,
// is kept for it. Nothing was sent, so this is neither an attempt nor a retry, and the
// prefills count on.
func (g *Gateway) checkPlace(h *table.HeldLocks, r *request, source runner.Handle) (effects []pool.Effect, void bool) {
	now := g.clock.Now()
	choice := *r.assigned
	need := r.need(r.assignedRole)
	reason := roster.SendAllowed
	g.board.With(h, func(b **roster.Board) { reason = (*b).MaySend(now, choice, need) })
	if reason.Allowed() && r.reservation != "" {
		reason = roster.CheckReservation(now, r.reservedAt)
	}
	if reason.Allowed() {
		return nil, false
	}
	if source.ID != "" {
		r.unusedHandle = source
	}
	r.placeLostAt = now
	inputs := []any{"cache_kept", r.unusedHandle.ID != ""}
	if r.reservation != "" {
		inputs = append(inputs, "reserved_ms", now.Sub(r.reservedAt).Milliseconds())
	}
	g.stopSend(r, sendStream, choice, reason, inputs...)
	return append(g.releasePlace(h, r), g.takePlace(h, r)...), true
}

// checkHandle drops the KV cache kept for the next place if its engine no longer has it.
func (g *Gateway) checkHandle(h *table.HeldLocks, r *request) {
	if r.unusedHandle.ID == "" {
		return
	}
	reason := roster.SendAllowed
	g.board.With(h, func(b **roster.Board) { reason = (*b).MayFetch(*r.prefilledBy) })
	if !reason.Allowed() {
		r.unusedHandle, r.handleReused = runner.Handle{}, false
		g.stopSend(r, sendFetch, *r.prefilledBy, reason)
	}
}

// takePlace takes a place for a stream and sends it.
func (g *Gateway) takePlace(h *table.HeldLocks, r *request) []pool.Effect {
	if g.engine(h, r.service) == nil {
		return g.streamWithoutModel(h, r)
	}
	return g.reserve(h, r)
}
