// Package orders decides which orders reach an engine. Orders carry fencing
// numbers, which some engines check and others ignore; the process beside an
// engine is the only way to it and checks them for both. A gate has no lock; it
// lives in a shared table of rank RankOrders.
package orders

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// retryAfter is when to send an order again that found another one under way.
const retryAfter = time.Second

// Gate is what a sidecar knows of the orders to its engine.
type Gate struct {
	// highest is the highest fencing number seen.
	highest uint64
	// learned means that highest was read since the sidecar started; before
	// that, an old order could not be told from a new one.
	learned bool
	// wanted is the last accepted order of each kind.
	wanted map[link.OrderKind]link.Order
	// until is when the call under way ends; zero when there is none.
	until time.Time
}

// NewGate returns a gate that admits nothing until it has learned a number.
func NewGate() *Gate {
	return &Gate{wanted: make(map[link.OrderKind]link.Order)}
}

// Learn takes in a fencing number from the table or from the engine. A number
// that is higher than any that came through this gate means that orders took
// another way, past a sidecar that was paused or replaced, so what this one
// wanted counts no more.
func (g *Gate) Learn(fence uint64) {
	g.learned = true
	if fence > g.highest {
		g.highest = fence
		clear(g.wanted)
	}
}

// Highest gives the highest fencing number seen.
func (g *Gate) Highest() uint64 {
	return g.highest
}

// Admit decides whether an order may be sent to the engine now, by a call that
// ends within the timeout. An admitted order is under way until Finished.
// leaseLeft is how long the issuer still holds its lease: a call that could
// outlast it might take effect after a successor's order.
func (g *Gate) Admit(now time.Time, o link.Order, leaseLeft, timeout time.Duration) *contract.Refusal {
	if !g.learned {
		return contract.RefuseRepeat(contract.CodeStoreUnavailable, retryAfter, "the current fencing number is not known yet")
	}
	if o.Fence < g.highest {
		return contract.Refuse(contract.CodeStaleOrder, fmt.Sprintf("fencing number %d is older than %d", o.Fence, g.highest))
	}
	if leaseLeft < timeout {
		return contract.Refuse(contract.CodeStaleOrder, "the issuer's lease could end before the order takes effect")
	}
	// The number counts even if the order has to wait, so that no older one
	// slips in before it.
	g.highest = o.Fence
	if now.Before(g.until) {
		return contract.RefuseRepeat(contract.CodeOverCapacity, g.until.Sub(now), "another order is under way")
	}
	g.wanted[o.Kind] = o
	g.until = now.Add(timeout)
	return nil
}

// Finished takes in the engine's state after the call ended, whatever its
// outcome, and returns the orders that put the engine right.
func (g *Gate) Finished(state link.EngineState) []link.Order {
	g.until = time.Time{}
	return g.Check(state)
}

// Check compares the engine's state with what was accepted last, and returns
// the orders that put it right. An engine that ignores fencing numbers may have
// taken a late order, and one that was restarted has forgotten all. The table's
// number must be learned right before, so that a sidecar that was paused does
// not undo what its successor did.
func (g *Gate) Check(state link.EngineState) []link.Order {
	if state.Fence > g.highest {
		g.Learn(state.Fence)
	}
	var repairs []link.Order
	for _, kind := range []link.OrderKind{link.OrderChangeRole, link.OrderLoadModel, link.OrderLoadAdapter} {
		o, ok := g.wanted[kind]
		if ok && !holds(state, o) {
			o.Fence = g.highest
			repairs = append(repairs, o)
		}
	}
	return repairs
}

// Busy reports whether an order is under way.
func (g *Gate) Busy(now time.Time) bool {
	return now.Before(g.until)
}

// holds reports whether the engine is as the order asks.
func holds(state link.EngineState, o link.Order) bool {
	switch o.Kind {
	case link.OrderChangeRole:
		return state.Role == o.Role
	case link.OrderLoadModel:
		return slices.Contains(state.Models, o.Model) && (o.Version == "" || state.Version == o.Version)
	default:
		return slices.Contains(state.Models, o.Model)
	}
}
