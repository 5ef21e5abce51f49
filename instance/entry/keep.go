package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/transfer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// handleLife is how long an engine is counted on to keep a KV cache that nobody
// has imported; engines evict it in under a second.
const handleLife = 600 * time.Millisecond

// keepHandle decides whether the KV cache of an attempt that failed is sent to
// another engine, and forgets it otherwise. A cache that some output was made
// from is gone from the engine that made it.
func (r *request) keepHandle(now time.Time, prefillIn time.Duration) transfer.Action {
	action := transfer.Redo
	if r.handle.ID != "" && !r.imported {
		action = transfer.Decide(transfer.Progress{
			Failed:  true,
			KeptFor: handleLife - now.Sub(r.handleAt),
			Prefill: prefillIn,
			Slack:   r.Deadline.Sub(now),
		})
	}
	if action.Wastes() {
		r.dropHandle()
	}
	return action
}

// dropHandle gives a KV cache up. Tokens whose output came were not wasted.
func (r *request) dropHandle() {
	if r.handle.ID != "" && !r.imported {
		r.wastedTokens += r.handle.Tokens
	}
	r.handle = link.Handle{}
	r.imported = false
}

// usableHandle reports whether the request has a KV cache that an engine can
// still import, and gives up one that it cannot.
func (r *request) usableHandle(now time.Time) bool {
	if r.handle.ID == "" {
		return false
	}
	if now.Sub(r.handleAt) < handleLife {
		return true
	}
	r.dropHandle()
	return false
}

// prefillIn estimates how soon a prefill could be done.
func (e *Entry) prefillIn(h *table.Held, need placement.Need) (needed time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { needed, _ = (*b).PrefillIn(now, need) })
	return needed
}

// firstTokenIn estimates the least time that a request needs to its first token;
// 0 when nothing is known.
func (e *Entry) firstTokenIn(h *table.Held, need placement.Need) (needed time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { needed, _ = (*b).FirstTokenIn(now, need) })
	return needed
}

// reservesFirst reports whether the policy reserves before it prefills.
func (e *Entry) reservesFirst(h *table.Held) (first bool) {
	e.board.With(h, func(b **placement.Board) { first = (*b).ReservesFirst() })
	return first
}

// prefillFirst runs the prompt before any place for its output is known, as the
// baselines do. The place is asked for when the KV cache is there.
func (e *Entry) prefillFirst(h *table.Held, call contract.CallID, route contract.RouteName) []pool.Effect {
	e.reservingDone(h, route, false)
	found := e.updateCall(h, call, func(r *request) { r.state = statePrefilling })
	if !found {
		return nil
	}
	return e.startPrefill(h, call, 0)
}
