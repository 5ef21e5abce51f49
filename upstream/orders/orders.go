// Package orders decides which orders (changes of role, model or adapter) a sidecar
// sends to its engine, and which it repeats. Orders carry fencing numbers, which
// some engines check and others ignore. All orders pass through the sidecar, so
// its Gate checks them for both kinds of engines. Sending orders and reading state
// is left to the sidecar. A gate has no lock of its own: it lives in a shared table
// of rank RankOrders.
package orders

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream" // protocol between a sidecar and its upstream
)

// retryAfter is the delay before an order is repeated that was refused because the
// current fencing number is not known.
const retryAfter = time.Second

// Gate checks the fencing numbers of orders to one engine and holds the accepted
// orders.
type Gate struct {
	// highestFence is the highest fencing number seen.
	highestFence uint64
	// fenceKnown means that a fencing number was read since the sidecar started.
	// Before that, stale orders cannot be detected.
	fenceKnown bool
	// accepted holds the last accepted order of each kind.
	accepted map[link.OrderKind]link.Order
	// busyUntil is the deadline of the order in progress; zero when there is none.
	busyUntil time.Time
}

// NewGate returns a gate that refuses all orders until RecordFence is called.
func NewGate() *Gate {
	return &Gate{accepted: make(map[link.OrderKind]link.Order)}
}

// RecordFence records a fencing number read from the table or the engine. A number higher
// than all seen by this gate means that newer orders were sent while this sidecar
// was paused or replaced, so the orders accepted here are dropped.
func (g *Gate) RecordFence(fence uint64) {
	g.fenceKnown = true
	if fence > g.highestFence {
		g.highestFence = fence
		clear(g.accepted)
	}
}

// HighestFence returns the highest fencing number seen, 0 if there was none.
func (g *Gate) HighestFence() uint64 {
	return g.highestFence
}

// Admit decides whether an order may be sent to the engine now, with a call that ends
// within the timeout. It returns nil for an admitted order, which is in progress
// until FinishOrder or the timeout. leaseLeft is the time left on the issuer's lease:
// a call that outlasts it could take effect after an order of the issuer's
// successor.
func (g *Gate) Admit(now time.Time, o link.Order, leaseLeft, timeout time.Duration) *contract.Refusal {
	if !g.fenceKnown {
		return contract.RefuseRetryable(contract.CodeStoreUnavailable, retryAfter, "the current fencing number is not known yet")
	}
	if o.Fence < g.highestFence {
		return contract.Refuse(contract.CodeStaleOrder, fmt.Sprintf("fencing number %d is older than %d", o.Fence, g.highestFence))
	}
	if leaseLeft < timeout {
		return contract.Refuse(contract.CodeStaleOrder, "the issuer's lease could end before the order takes effect")
	}
	// Record the number even if the order is refused below, so that no older
	// order is admitted before its repeat.
	g.highestFence = o.Fence
	if now.Before(g.busyUntil) {
		return contract.RefuseRetryable(contract.CodeOverCapacity, g.busyUntil.Sub(now), "another order is in progress")
	}
	g.accepted[o.Kind] = o
	g.busyUntil = now.Add(timeout)
	return nil
}

// FinishOrder ends the order in progress, whatever its outcome. It returns the orders
// to repeat, as Check does, for the engine's state read after the call.
func (g *Gate) FinishOrder(state link.EngineState) []link.Order {
	g.busyUntil = time.Time{}
	return g.OrdersToRepeat(state)
}

// OrdersToRepeat compares the engine's state with the last accepted orders and returns the
// orders to repeat, with the highest fencing number. It records the fencing number of
// the state if that is higher. Repeats are needed when an
// engine that ignores fencing numbers has executed a late order, or when an engine
// was restarted and lost its state. Call RecordFence with the table's current number
// right before, so that a sidecar that was paused does not undo the orders of its
// successor.
func (g *Gate) OrdersToRepeat(state link.EngineState) []link.Order {
	if state.Fence > g.highestFence {
		g.RecordFence(state.Fence)
	}
	var toRepeat []link.Order
	for _, kind := range []link.OrderKind{link.OrderChangeRole, link.OrderLoadModel, link.OrderLoadAdapter} {
		o, ok := g.accepted[kind]
		if ok && !satisfies(state, o) {
			o.Fence = g.highestFence
			toRepeat = append(toRepeat, o)
		}
	}
	return toRepeat
}

// Busy reports whether an order is in progress.
func (g *Gate) Busy(now time.Time) bool {
	return now.Before(g.busyUntil)
}

// satisfies reports whether the engine's state matches the order.
func satisfies(state link.EngineState, o link.Order) bool {
	switch o.Kind {
	case link.OrderChangeRole:
		return state.Role == o.Role
	case link.OrderLoadModel:
		return slices.Contains(state.Models, o.Model) && (o.Version == "" || state.Version == o.Version)
	default:
		return slices.Contains(state.Models, o.Model)
	}
}
