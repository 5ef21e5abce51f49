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
	waitBehind  = "those before it"
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
	asking, armed bool
}

// list finds or makes the wait list of a service; its lock is held by the caller.
func list(lists map[directory.ServiceName]*waitList, service directory.ServiceName) *waitList {
	l, ok := lists[service]
	if !ok {
		l = &waitList{}
		lists[service] = l
	}
	return l
}

// arrive places a request at once unless others wait before it.
func (g *Gateway) arrive(h *table.Held, r *request) []pool.Effect {
	behind := false
	g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) {
		behind = len(list(*lists, r.service).queue) > 0
	})
	if behind {
		return g.park(h, r, waitBehind)
	}
	return g.reserve(h, r)
}

// patience is how long a request may wait for a place.
func (r *request) patience(now time.Time) time.Duration {
	wait := r.slack(now) - FirstEventNeeds
	switch {
	case r.events > 0:
		// Late already, but most of it is delivered: it waits while its caller does.
		wait = r.eventAt.Add(r.route.GiveUp).Sub(now) - FirstEventNeeds
	case r.slack(r.arrived)-FirstEventNeeds <= 0 || r.attempts > 0:
		wait = r.arrived.Add(MaxWait).Sub(now)
	}
	return min(wait, r.left(now)-FirstEventNeeds)
}

// park puts a request into its service's wait list, or refuses it if it has
// waited long enough.
func (g *Gateway) park(h *table.Held, r *request, why string) []pool.Effect {
	if refusal := g.stopped(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	now := g.clock.Now()
	if r.waitsFor != why {
		r.waitsFor = why
		g.note(r, eventParked, "for", why, "patience_ms", r.patience(now).Milliseconds())
	}
	if r.patience(now) <= 0 {
		return g.finish(h, r, g.noRoom(r))
	}
	g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := list(*lists, r.service)
		at, _ := slices.BinarySearchFunc(l.queue, r, func(a, b *request) int { return cmp.Compare(a.tokens(), b.tokens()) })
		l.queue = slices.Insert(l.queue, at, r)
		if !l.armed {
			l.armed = true
			g.pool.After(AskAgainAfter, func(h *table.Held) []pool.Effect { return g.askAgain(h, r.service) })
		}
	})
	return nil
}

// noRoom is the refusal of a request that waited long enough.
func (g *Gateway) noRoom(r *request) *contract.Refusal {
	if r.events > 0 {
		return &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "no time left to wait for " + r.waitsFor}
	}
	return contract.RefuseRepeat(contract.CodeOverCapacity, g.options.ReturnAfter, "no time left to wait for "+r.waitsFor)
}

// unpark takes a request out of its wait list and reports whether it was there.
func (g *Gateway) unpark(h *table.Held, r *request) (found bool) {
	g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := list(*lists, r.service)
		l.queue = slices.DeleteFunc(l.queue, func(other *request) bool {
			found = found || other == r
			return other == r
		})
	})
	return found
}

// askAgain lets waiting requests try after a pause, and ends those that have
// waited long enough.
func (g *Gateway) askAgain(h *table.Held, service directory.ServiceName) []pool.Effect {
	now := g.clock.Now()
	var tired []*request
	g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l := list(*lists, service)
		l.armed = false
		l.queue = slices.DeleteFunc(l.queue, func(r *request) bool {
			if r.patience(now) > 0 && r.ctx.Err() == nil {
				return false
			}
			tired = append(tired, r)
			return true
		})
		if len(l.queue) > 0 {
			l.armed = true
			g.pool.After(AskAgainAfter, func(h *table.Held) []pool.Effect { return g.askAgain(h, service) })
		}
	})
	var effects []pool.Effect
	for _, r := range tired {
		refusal := g.stopped(h, r)
		if refusal == nil {
			refusal = g.noRoom(r)
		}
		effects = append(effects, g.finish(h, r, refusal)...)
	}
	return append(effects, g.roomFreed(h, service)...)
}

// roomFreed lets the first waiting request of a service try.
func (g *Gateway) roomFreed(h *table.Held, service directory.ServiceName) []pool.Effect {
	var first *request
	g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) {
		l, ok := (*lists)[service]
		if !ok || l.asking || len(l.queue) == 0 {
			return
		}
		first = l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.asking = true
	})
	if first == nil {
		return nil
	}
	first.turn = true
	return g.reserve(h, first)
}

// asked ends the turn of a request that waited; the next one tries if it got a
// place. One that did not wait had no turn.
func (g *Gateway) asked(h *table.Held, r *request, placed bool) []pool.Effect {
	if r.turn {
		r.turn = false
		g.waiting.With(h, func(lists *map[directory.ServiceName]*waitList) { list(*lists, r.service).asking = false })
	}
	if !placed {
		return nil
	}
	return g.roomFreed(h, r.service)
}
