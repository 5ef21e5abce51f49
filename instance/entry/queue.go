package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// maxReserving bounds the requests of one route that ask sidecars for a place at
// a time; the others keep their order in the queue.
const maxReserving = 16

// routeQueue holds the requests of one route that wait for capacity.
type routeQueue struct {
	fair.Queue
	reserving int
	// holdUntil is set when no upstream had room: asking again at once would
	// only cost messages.
	holdUntil time.Time
}

// withQueue calls f with a route's queue while the queues' lock is held.
func (e *Entry) withQueue(h *table.Held, route contract.RouteName, f func(q *routeQueue)) {
	e.queues.With(h, func(queues *map[contract.RouteName]*routeQueue) {
		q, there := (*queues)[route]
		if !there {
			q = &routeQueue{Queue: e.newQueue()}
			(*queues)[route] = q
		}
		f(q)
	})
}

// enqueue lets a request wait for its turn.
func (e *Entry) enqueue(h *table.Held, id contract.RequestID) []pool.Effect {
	var item fair.Item
	var route contract.RouteName
	now := e.clock.Now()
	weight := e.weightOf(h, id)
	var need placement.Need
	e.update(h, id, func(r *request) { need = r.need(now) })
	least := e.firstTokenIn(h, need)
	found := e.update(h, id, func(r *request) {
		r.state = stateQueued
		route = r.Route.Name
		item = r.item(now, weight, least)
	})
	if !found {
		return nil
	}
	var refusal *contract.Refusal
	e.withQueue(h, route, func(q *routeQueue) { refusal = q.Push(now, item) })
	if refusal != nil {
		return e.finish(h, id, refusal)
	}
	return e.dispatch(h, route)
}

// weightOf gives the weight of a request's client account.
func (e *Entry) weightOf(h *table.Held, id contract.RequestID) int {
	var account contract.AccountID
	e.update(h, id, func(r *request) { account = r.Account })
	return max(e.snapshot(h).Accounts[account].Weight, 1)
}

// item is what the queue has to know of a request that needs at least some time
// to its first token.
func (r *request) item(now time.Time, weight int, least time.Duration) fair.Item {
	return fair.Item{
		Request:  r.ID,
		Account:  r.Account,
		Weight:   weight,
		Cost:     r.Cost(),
		Arrived:  r.Arrived,
		StartBy:  now.Add(r.slack(now) - least),
		GiveUpAt: r.Deadline,
		Patient:  r.Route.Patient || r.next > 0,
		Resumed:  r.next > 0,
	}
}

// dequeue takes a request out of its route's queue.
func (e *Entry) dequeue(h *table.Held, route contract.RouteName, id contract.RequestID) {
	e.withQueue(h, route, func(q *routeQueue) { q.Remove(id) })
}

// dispatch starts the requests whose turn it is.
func (e *Entry) dispatch(h *table.Held, route contract.RouteName) (effects []pool.Effect) {
	for {
		id, ok := e.nextOf(h, route)
		if !ok {
			return effects
		}
		effects = append(effects, e.reserve(h, id)...)
	}
}

// nextOf takes the next request of a route that may ask for a place now.
func (e *Entry) nextOf(h *table.Held, route contract.RouteName) (id contract.RequestID, ok bool) {
	now := e.clock.Now()
	e.withQueue(h, route, func(q *routeQueue) {
		if q.reserving >= maxReserving || now.Before(q.holdUntil) {
			return
		}
		item, there := q.Pop(now)
		if !there {
			return
		}
		q.reserving++
		id, ok = item.Request, true
	})
	return id, ok
}

// reservingDone lets the next request of a route ask for a place; full says that
// no upstream had room.
func (e *Entry) reservingDone(h *table.Held, route contract.RouteName, full bool) {
	now := e.clock.Now()
	e.withQueue(h, route, func(q *routeQueue) {
		q.reserving--
		if full {
			q.holdUntil = now.Add(TickEvery)
		}
	})
}

// roomFreed starts requests of a route as soon as one of them gave its place
// back, without waiting for the next look at the queues.
func (e *Entry) roomFreed(h *table.Held, route contract.RouteName) []pool.Effect {
	e.withQueue(h, route, func(q *routeQueue) { q.holdUntil = time.Time{} })
	return e.dispatch(h, route)
}

// sweepQueues refuses the requests that can no longer meet their target and
// starts others.
func (e *Entry) sweepQueues(h *table.Held) (effects []pool.Effect) {
	now := e.clock.Now()
	var late []fair.Item
	var routes []contract.RouteName
	e.queues.With(h, func(queues *map[contract.RouteName]*routeQueue) {
		for name, q := range *queues {
			late = append(late, q.Expire(now)...)
			routes = append(routes, name)
		}
	})
	for _, item := range late {
		refusal := contract.RefuseRepeat(contract.CodeOverCapacity, RetryWhenBusy, "no upstream will have room in time")
		effects = append(effects, e.finish(h, item.Request, refusal)...)
	}
	for _, route := range routes {
		effects = append(effects, e.dispatch(h, route)...)
	}
	return effects
}
