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

// handleLifetime is how long a KV cache that no engine has imported is assumed to
// stay at its engine. Engines evict it in under 1 s.
const handleLifetime = 600 * time.Millisecond

// decideHandleReuse decides whether the KV cache of a failed attempt is sent to another
// engine, and drops it otherwise. A cache from which output was decoded no longer
// exists at the engine that prefilled it.
func (r *request) decideHandleReuse(now time.Time, prefillIn time.Duration) transfer.Action {
	action := transfer.RepeatPrefill
	if r.handle.ID != "" && !r.imported {
		action = transfer.Decide(transfer.Progress{
			Failed:  true,
			KeptFor: handleLifetime - now.Sub(r.handleReadyAt),
			Prefill: prefillIn,
			Slack:   r.Deadline.Sub(now),
		})
	}
	if action.DiscardsPrefill() {
		r.dropHandle()
	}
	return action
}

// dropHandle forgets the KV cache. Its tokens count as wasted unless output was
// decoded from it.
func (r *request) dropHandle() {
	if r.handle.ID != "" && !r.imported {
		r.wastedTokens += r.handle.Tokens
	}
	r.handle = link.Handle{}
	r.imported = false
}

// usableHandle reports whether the request has a KV cache that an engine can
// still import. It drops an expired one.
func (r *request) usableHandle(now time.Time) bool {
	if r.handle.ID == "" {
		return false
	}
	if now.Sub(r.handleReadyAt) < handleLifetime {
		return true
	}
	r.dropHandle()
	return false
}

// prefillIn estimates the time until a prefill could be finished.
func (e *Entry) prefillIn(h *table.HeldLocks, need placement.Need) (needed time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { needed, _ = (*b).PrefillIn(now, need) })
	return needed
}

// firstTokenIn estimates the least time to the first token of a request; 0 if
// there is no estimate.
func (e *Entry) firstTokenIn(h *table.HeldLocks, need placement.Need) (needed time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { needed, _ = (*b).FirstTokenIn(now, need) })
	return needed
}

// reservesFirst reports whether the placement policy reserves a decode slot
// before the prefill.
func (e *Entry) reservesFirst(h *table.HeldLocks) (first bool) {
	e.board.With(h, func(b **placement.Board) { first = (*b).ReservesFirst() })
	return first
}

// prefillFirst runs the prompt before a decode slot is reserved, as the baseline
// policies do. The slot is reserved once the KV cache is ready.
func (e *Entry) prefillFirst(h *table.HeldLocks, call contract.CallID, route contract.RouteName) []pool.Effect {
	e.endReserving(h, route, false)
	found := e.updateAttempt(h, call, func(r *request) { r.state = statePrefilling })
	if !found {
		return nil
	}
	return e.startPrefill(h, call, 0)
}
