package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Times for requests that wait for a place at a decode engine.
const (
	// ReserveRetryDelay is the pause between two rounds of asking full engines for a
	// reservation.
	ReserveRetryDelay = 30 * time.Millisecond
	// FirstEventAllowance is the time from a reservation to the first event: prefill
	// of a long prompt, transfer of its KV cache and the first decode step.
	FirstEventAllowance = 300 * time.Millisecond
	// MaxLateWait bounds the wait, from arrival, of a request whose first event cannot
	// meet the objective or that was sent before.
	MaxLateWait = 300 * time.Millisecond
)

// Reasons to wait. They are written to the log and to refusals.
const (
	// waitEarlier means the earlier waiters of the same service.
	waitEarlier = "those before it"
	waitBacklog = "prefill engines to catch up"
	waitRoom    = "room at a decode engine"
	waitCold    = "the turn to send to a cold upstream"
)

// waitList holds the waiters of one service and home regions, the one with the fewest tokens first: it
// fits where others do not and finishes soonest. Waits are bounded (see waitLeft), so
// large requests are not delayed for long. Only the first waiter asks engines, so that
// full engines are not asked by every waiter.
type waitList struct {
	queue []*request
	// placing is the request taken from the queue that is being placed, nil if none is.
	placing *request
	// timerSet is set while a call of retryWaiters is scheduled.
	timerSet bool
}

// waitLists holds the wait lists of all services.
type waitLists map[waitListKey]*waitList

// waitListOf returns a wait list and creates it if needed. The lock of
// the wait lists must be held.
func waitListOf(lists waitLists, key waitListKey) *waitList {
	l, ok := lists[key]
	if !ok {
		l = &waitList{}
		lists[key] = l
	}
	return l
}

// compareWaiters orders the waiters of a service: the more urgent first, then the one that
// needs fewer tokens, then the one that arrived first.
func compareWaiters(a, b *request) int {
	return cmp.Or(cmp.Compare(a.waitRank(), b.waitRank()), cmp.Compare(a.expectedTokens(), b.expectedTokens()), a.arrived.Compare(b.arrived))
}

// ahead counts the waiters of a request's rank that come before it.
func (l *waitList) ahead(r *request) (n int) {
	for _, other := range l.queue {
		if other.waitRank() == r.waitRank() && compareWaiters(other, r) < 0 {
			n++
		}
	}
	return n
}

// hasWaiterUpTo reports whether a waiter of the rank or of a more urgent one waits.
func (l *waitList) hasWaiterUpTo(rank int) bool {
	return len(l.queue) > 0 && l.queue[0].waitRank() <= rank
}

// reserveOrWait asks for a reservation at once, or queues the request behind earlier
// waiters that are as urgent.
func (g *Gateway) reserveOrWait(h *table.HeldLocks, r *request) []pool.Effect {
	othersWait := false
	g.waitLists.With(h, func(lists *waitLists) {
		othersWait = waitListOf(*lists, r.waitListKey()).hasWaiterUpTo(r.waitRank())
	})
	if othersWait {
		return g.enqueue(h, r, waitEarlier)
	}
	return g.reserve(h, r)
}

// waitLeft is how long a request may still wait for a place, zero or negative if it
// must not wait.
func (r *request) waitLeft(now time.Time) time.Duration {
	wait := r.slack(now) - FirstEventAllowance
	switch {
	case r.events > 0:
		// Part of the stream is delivered: it waits until just before the caller
		// gives up, also if its objective is missed.
		wait = r.lastEventAt.Add(r.route.GiveUp).Sub(now) - FirstEventAllowance
	case r.slack(r.arrived)-FirstEventAllowance <= 0 || r.attempts > 0:
		wait = r.arrived.Add(MaxLateWait).Sub(now)
	}
	if r.events == 0 && !r.placeLostAt.IsZero() {
		// It had a place, and lost it without a fault of its own.
		wait = max(wait, r.placeLostAt.Add(MaxLateWait).Sub(now))
	}
	return min(wait, r.timeLeft(now)-FirstEventAllowance)
}

// enqueue adds a request to its service's wait list, or refuses it if its max wait is
// over. The log key patience_ms is the rest of the max wait.
func (g *Gateway) enqueue(h *table.HeldLocks, r *request, reason string) []pool.Effect {
	if refusal := g.checkCanceled(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	now := g.clock.Now()
	if r.waitReason != reason {
		r.waitReason = reason
		g.logEvent(r, eventWaiting, "for", reason, "patience_ms", r.waitLeft(now).Milliseconds())
	}
	if r.ordered() && r.events == 0 && r.attempts == 0 && r.placeLostAt.IsZero() && r.waitingSince.IsZero() {
		r.waitingSince = now
		if refusal := g.refuseWaiter(h, now, r); refusal != nil {
			return g.finish(h, r, refusal)
		}
	}
	if r.waitLeft(now) <= 0 {
		return g.finish(h, r, g.waitExpired(h, now, r))
	}
	g.waitLists.With(h, func(lists *waitLists) {
		l := waitListOf(*lists, r.waitListKey())
		at, _ := slices.BinarySearchFunc(l.queue, r, compareWaiters)
		l.queue = slices.Insert(l.queue, at, r)
		if !l.timerSet {
			l.timerSet = true
			g.pool.After(ReserveRetryDelay, func(h *table.HeldLocks) []pool.Effect { return g.retryWaiters(h, r.waitListKey()) })
		}
	})
	g.recordWaiters(h, r.waitListKey())
	return nil
}

// waitExpired is the refusal of a request whose max wait is over.
func (g *Gateway) waitExpired(h *table.HeldLocks, now time.Time, r *request) *contract.Refusal {
	if r.events > 0 {
		return &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "no time left to wait for " + r.waitReason}
	}
	if r.ordered() {
		g.recordNoRoom(h, now, r)
		return g.refuseShortage(h, now, r)
	}
	return contract.RefuseRetryable(contract.CodeOverCapacity, g.options.RetryAfter, "no time left to wait for "+r.waitReason)
}

// removeWaiter removes a request from its wait list and reports whether it was there.
func (g *Gateway) removeWaiter(h *table.HeldLocks, r *request) (found bool) {
	g.waitLists.With(h, func(lists *waitLists) {
		l := waitListOf(*lists, r.waitListKey())
		l.queue = slices.DeleteFunc(l.queue, func(other *request) bool {
			found = found || other == r
			return other == r
		})
	})
	if found {
		g.recordWaiters(h, r.waitListKey())
	}
	return found
}

// retryWaiters ends the waiters whose max wait is over and tries to place the next
// one. It schedules itself again while there are waiters.
func (g *Gateway) retryWaiters(h *table.HeldLocks, list waitListKey) []pool.Effect {
	now := g.clock.Now()
	var expired []*request
	g.waitLists.With(h, func(lists *waitLists) {
		l := waitListOf(*lists, list)
		l.timerSet = false
		l.queue = slices.DeleteFunc(l.queue, func(r *request) bool {
			if r.waitLeft(now) > 0 && r.ctx.Err() == nil {
				return false
			}
			expired = append(expired, r)
			return true
		})
		if len(l.queue) > 0 {
			l.timerSet = true
			g.pool.After(ReserveRetryDelay, func(h *table.HeldLocks) []pool.Effect { return g.retryWaiters(h, list) })
		}
	})
	if len(expired) > 0 {
		g.recordWaiters(h, list)
	}
	var effects []pool.Effect
	for _, r := range expired {
		refusal := g.checkCanceled(h, r)
		if refusal == nil {
			refusal = g.waitExpired(h, now, r)
		}
		effects = append(effects, g.finish(h, r, refusal)...)
	}
	return append(effects, g.placeNextWaiter(h, list)...)
}

// placeNextWaiter takes the first waiter of a list and asks for a reservation, unless
// another one is being placed.
func (g *Gateway) placeNextWaiter(h *table.HeldLocks, list waitListKey) []pool.Effect {
	var first *request
	g.waitLists.With(h, func(lists *waitLists) {
		l, ok := (*lists)[list]
		if !ok || l.placing != nil || len(l.queue) == 0 {
			return
		}
		first = l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.placing = first
	})
	if first == nil {
		return nil
	}
	first.dequeued = true
	return g.placeWaiter(h, first)
}

// endPlacement ends the attempt to place a request and lets the next waiter be placed.
// With tryNext it is tried at once, because this request got a reservation or has ended.
func (g *Gateway) endPlacement(h *table.HeldLocks, r *request, tryNext bool) []pool.Effect {
	if r.dequeued {
		r.dequeued = false
		g.waitLists.With(h, func(lists *waitLists) { waitListOf(*lists, r.waitListKey()).placing = nil })
		g.recordWaiters(h, r.waitListKey())
	}
	if !tryNext {
		return nil
	}
	return g.placeNextWaiter(h, r.waitListKey())
}
