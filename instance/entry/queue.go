package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// maxReserving bounds the requests of one route that ask sidecars for a
// reservation at a time; the others keep their order in the queue.
const maxReserving = 16

// routeQueue is the queue of one route, whose requests wait for capacity.
type routeQueue struct {
	fair.Queue
	// reserving is the number of requests that were taken out of the queue and now
	// ask for a reservation, at most maxReserving.
	reserving int
	// holdUntil delays the next reservation after no upstream had capacity:
	// asking again at once would only cost messages.
	holdUntil time.Time
}

// withQueue calls f with a route's queue while the lock of the queues is held. It
// creates the queue if there is none.
func (e *Entry) withQueue(h *table.HeldLocks, route contract.RouteName, f func(q *routeQueue)) {
	e.queues.With(h, func(queues *map[contract.RouteName]*routeQueue) {
		q, exists := (*queues)[route]
		if !exists {
			q = &routeQueue{Queue: e.newQueue()}
			(*queues)[route] = q
		}
		f(q)
	})
}

// enqueue puts a request into its route's queue, or ends it if the queue refuses.
func (e *Entry) enqueue(h *table.HeldLocks, id contract.RequestID) []pool.Effect {
	var item fair.Item
	var route contract.RouteName
	now := e.clock.Now()
	weight := e.accountWeight(h, id)
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

// accountWeight returns the weight of a request's client account, at least 1.
func (e *Entry) accountWeight(h *table.HeldLocks, id contract.RequestID) int {
	var account contract.AccountID
	e.update(h, id, func(r *request) { account = r.Account })
	return max(e.snapshot(h).Accounts[account].Weight, 1)
}

// item returns the queue item of the request; least is the least time that it
// needs to its first token.
func (r *request) item(now time.Time, weight int, least time.Duration) fair.Item {
	return fair.Item{
		Request:  r.ID,
		Account:  r.Account,
		Weight:   weight,
		Cost:     r.Cost(),
		Arrived:  r.Arrived,
		StartBy:  now.Add(r.slack(now) - least),
		Deadline: r.Deadline,
		Patient:  r.Route.Patient || r.next > 0,
		Resumed:  r.next > 0,
	}
}

// dequeue removes a request from its route's queue; it may not be in it.
func (e *Entry) dequeue(h *table.HeldLocks, route contract.RouteName, id contract.RequestID) {
	e.withQueue(h, route, func(q *routeQueue) { q.Remove(id) })
}

// dispatch starts reservations for the next requests of a route, up to
// maxReserving.
func (e *Entry) dispatch(h *table.HeldLocks, route contract.RouteName) (effects []pool.Effect) {
	for {
		id, ok := e.popNext(h, route)
		if !ok {
			return effects
		}
		effects = append(effects, e.reserve(h, id)...)
	}
}

// popNext removes the next request of a route from its queue and counts it as
// reserving; ok is false if none may ask for a reservation now.
func (e *Entry) popNext(h *table.HeldLocks, route contract.RouteName) (id contract.RequestID, ok bool) {
	now := e.clock.Now()
	e.withQueue(h, route, func(q *routeQueue) {
		if q.reserving >= maxReserving || now.Before(q.holdUntil) {
			return
		}
		item, exists := q.Pop(now)
		if !exists {
			return
		}
		q.reserving++
		id, ok = item.Request, true
	})
	return id, ok
}

// endReserving lets the next request of a route ask for a reservation; full is
// true if no upstream had capacity, which delays it by TickEvery.
func (e *Entry) endReserving(h *table.HeldLocks, route contract.RouteName, full bool) {
	now := e.clock.Now()
	e.withQueue(h, route, func(q *routeQueue) {
		q.reserving--
		if full {
			q.holdUntil = now.Add(TickEvery)
		}
	})
}

// handleFreedRoom dispatches requests of a route as soon as one has released its
// reservation, without waiting for the next tick.
func (e *Entry) handleFreedRoom(h *table.HeldLocks, route contract.RouteName) []pool.Effect {
	e.withQueue(h, route, func(q *routeQueue) { q.holdUntil = time.Time{} })
	return e.dispatch(h, route)
}

// sweepQueues refuses the requests that can no longer meet their latency target
// and dispatches others.
func (e *Entry) sweepQueues(h *table.HeldLocks) (effects []pool.Effect) {
	now := e.clock.Now()
	var late []fair.Item
	var routes []contract.RouteName
	e.queues.With(h, func(queues *map[contract.RouteName]*routeQueue) {
		for name, q := range *queues {
			late = append(late, q.Expire(now)...)
			routes = append(routes, name)
		}
	})
	effects = e.refuseLate(h, late)
	for _, route := range routes {
		effects = append(effects, e.dispatch(h, route)...)
	}
	return effects
}

// refuseLate refuses requests that Queue.Expire returned.
func (e *Entry) refuseLate(h *table.HeldLocks, late []fair.Item) (effects []pool.Effect) {
	for _, item := range late {
		refusal := contract.RefuseRetryable(contract.CodeOverCapacity, RetryWhenBusy, "no upstream will have room in time")
		effects = append(effects, e.finish(h, item.Request, refusal)...)
	}
	return effects
}
