package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Times of requests that wait for a place at a decode engine.
const (
	// AskAgainAfter is the pause between two rounds of asking full engines.
	AskAgainAfter = 30 * time.Millisecond
	// FirstEventNeeds is the time from a place to the first event: reading a
	// long prompt, moving its KV cache and the first step.
	FirstEventNeeds = 300 * time.Millisecond
	// MaxWait bounds the wait of a request whose first event is late already.
	MaxWait = 300 * time.Millisecond
)

// What a request waits for.
const (
	waitEarlier = "those before it"
	waitBacklog = "prefill engines to catch up"
	waitRoom    = "room at a decode engine"
)

// waitList is the requests of one service that wait for a place, the smallest
// first: it fits where others do not, and ends soonest. Nobody waits longer than
// the first event allows, so large ones are not held up for long. Only the first
// of them asks engines, so that full engines are asked once and not by everybody.
type waitList struct {
	queue []*request
	// asking says that the first one is being placed, armed that a timer runs.
	placing, timerSet bool
}

// list finds or makes the wait list of a service; its lock is held by the caller.
func waitListOf(lists map[directory.ServiceName]*waitList, service directory.ServiceName) *waitList {
	l, ok := lists[service]
	if !ok {
		l = &waitList{}
		lists[service] = l
	}
	return l
}

// arrive places a request at once unless others wait before it.
func (g *Gateway) reserveOrWait(h *table.Held, r *request) []pool.Effect {
	othersWait := false
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		othersWait = len(waitListOf(*lists, r.service).queue) > 0
	})
	if othersWait {
		return g.enqueue(h, r, waitEarlier)
	}
	return g.reserve(h, r)
}

// patience is how long a request may wait for a place.
func (r *request) waitLeft(now time.Time) time.Duration {
	wait := r.slack(now) - FirstEventNeeds
	switch {
	case r.events > 0:
		// Late already, but most of it is delivered: it waits while its caller does.
		wait = r.lastEventAt.Add(r.route.GiveUp).Sub(now) - FirstEventNeeds
	case r.slack(r.arrived)-FirstEventNeeds <= 0 || r.attempts > 0:
		wait = r.arrived.Add(MaxWait).Sub(now)
	}
	return min(wait, r.timeLeft(now)-FirstEventNeeds)
}

// park puts a request into its service's wait list, or refuses it if it has
// waited long enough.
func (g *Gateway) enqueue(h *table.Held, r *request, reason string) []pool.Effect {
	if refusal := g.checkCanceled(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	now := g.clock.Now()
	if r.waitReason != reason {
		r.waitReason = reason
		g.logEvent(r, eventParked, "for", reason, "patience_ms", r.waitLeft(now).Milliseconds())
	}
	if r.waitLeft(now) <= 0 {
		return g.finish(h, r, g.waitExpired(r))
	}
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := waitListOf(*lists, r.service)
		at, _ := slices.BinarySearchFunc(l.queue, r, func(a, b *request) int { return cmp.Compare(a.expectedTokens(), b.expectedTokens()) })
		l.queue = slices.Insert(l.queue, at, r)
		if !l.timerSet {
			l.timerSet = true
			g.pool.After(AskAgainAfter, func(h *table.Held) []pool.Effect { return g.retryWaiters(h, r.service) })
		}
	})
	return nil
}

// noRoom is the refusal of a request that waited long enough.
func (g *Gateway) waitExpired(r *request) *contract.Refusal {
	if r.events > 0 {
		return &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "no time left to wait for " + r.waitReason}
	}
	return contract.RefuseRepeat(contract.CodeOverCapacity, g.options.ReturnAfter, "no time left to wait for "+r.waitReason)
}

// unpark takes a request out of its wait list and reports whether it was there.
func (g *Gateway) removeWaiter(h *table.Held, r *request) (found bool) {
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := waitListOf(*lists, r.service)
		l.queue = slices.DeleteFunc(l.queue, func(other *request) bool {
			found = found || other == r
			return other == r
		})
	})
	return found
}

// askAgain lets waiting requests try after a pause, and ends those that have
// waited long enough.
func (g *Gateway) retryWaiters(h *table.Held, service directory.ServiceName) []pool.Effect {
	now := g.clock.Now()
	var expired []*request
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := waitListOf(*lists, service)
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
			g.pool.After(AskAgainAfter, func(h *table.Held) []pool.Effect { return g.retryWaiters(h, service) })
		}
	})
	var effects []pool.Effect
	for _, r := range expired {
		refusal := g.checkCanceled(h, r)
		if refusal == nil {
			refusal = g.waitExpired(r)
		}
		effects = append(effects, g.finish(h, r, refusal)...)
	}
	return append(effects, g.placeNextWaiter(h, service)...)
}

// roomFreed lets the first waiting request of a service try.
func (g *Gateway) placeNextWaiter(h *table.Held, service directory.ServiceName) []pool.Effect {
	var first *request
	g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l, ok := (*lists)[service]
		if !ok || l.placing || len(l.queue) == 0 {
			return
		}
		first = l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.placing = true
	})
	if first == nil {
		return nil
	}
	first.dequeued = true
	return g.reserve(h, first)
}

// asked ends the turn of a request that waited; the next one tries if it got a
// place. One that did not wait had no turn.
func (g *Gateway) endPlacement(h *table.Held, r *request, placed bool) []pool.Effect {
	if r.dequeued {
		r.dequeued = false
		g.waitLists.With(h, func(lists *map[directory.ServiceName]*waitList) { waitListOf(*lists, r.service).placing = false })
	}
	if !placed {
		return nil
	}
	return g.placeNextWaiter(h, r.service)
}
