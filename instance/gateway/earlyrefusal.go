package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
)

// allowedWait is how long the request may wait, from its arrival, to begin in time. Without an
// objective that it can meet it is the longest wait, as in waitLeft.
func (r *request) allowedWait() time.Duration {
	if wait := r.route.Objective - FirstEventAllowance; wait > 0 {
		return wait
	}
	return MaxLateWait
}

// repeatTimeShare is the part of the route's timeout below which the time that a caller
// states shows that it has waited before: a first attempt states nearly the whole timeout.
const repeatTimeShare = 0.8

// isRepeat reports whether the caller seems to repeat a request that was refused before.
func (r *request) isRepeat() bool {
	stated := r.message.CallerTimeout
	return stated > 0 && r.route.Timeout > 0 && stated.Seconds() < repeatTimeShare*r.route.Timeout.Seconds()
}

// refuseWaiter returns a refusal for a request that found no room and would wait in vain.
func (g *Gateway) refuseWaiter(h *table.HeldLocks, now time.Time, r *request) *contract.Refusal {
	ahead := 0
	g.waitLists.With(h, func(lists *waitLists) { ahead = waitListOf(*lists, r.waitListKey()).ahead(r) })
	w := shortage.Waiter{Service: r.service, List: r.waitListKey().ofService(), Rank: r.rank, Ahead: ahead, Left: r.waitLeft(now), Repeat: r.isRepeat()}
	inVain := false
	g.shortages.With(h, func(l **shortage.Ledger) { inVain = (*l).InVain(now, w) })
	if !inVain {
		return nil
	}
	g.recordNoRoom(h, now, r)
	return g.refuseShortage(h, now, r)
}

// refuseShortage refuses a request that would wait in vain.
func (g *Gateway) refuseShortage(h *table.HeldLocks, now time.Time, r *request) *contract.Refusal {
	var after time.Duration
	g.metrics.recordNoRoom(r.rank)
	limit := r.timeLeft(now) / returnLimit
	g.shortages.With(h, func(l **shortage.Ledger) {
		after = (*l).ReturnDelay(now, r.service, r.rank, g.options.RetryAfter, limit, rand.Float64())
	})
	return contract.RefuseRetryable(contract.CodeOverCapacity, max(minRetryDelay, after), "no room in time for "+r.waitReason)
}

// returnLimit is the divisor of a caller's time left that bounds its retry delay: callers
// honor no longer one, and need the rest for the request.
const returnLimit = 3
