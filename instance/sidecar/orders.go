package sidecar

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/orders"
)

// Limits of orders.
const (
	// OrderTimeout bounds one order at the engine, including a model load.
	OrderTimeout = 10 * time.Second
	// maxRepairs bounds the rounds of repair orders that follow one order.
	maxRepairs = 3
)

// laneOrders is the lane of orders to the engine.
const laneOrders pool.Lane = "orders"

// FenceSource reads the fencing number of an upstream's orders from the platform's
// table.
type FenceSource interface {
	// HighestFence returns the highest fencing number issued for the upstream, or 0
	// if none has been issued.
	HighestFence(ctx context.Context, id upstream.ID) (uint64, error)
}

// Order implements peer.Sidecar. It replies after the order and any repairs have
// ended, with the engine's resulting state.
func (s *Sidecar) Order(ctx context.Context, q *peer.OrderRequest) (*peer.OrderReply, error) {
	received := s.clock.Now()
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.OrderReply)) []pool.Effect {
		if s.engine == nil {
			answer(s.orderReply(h, link.EngineState{}, contract.Refuse(contract.CodeNoUpstream, "no engine beside this sidecar")))
			return nil
		}
		return []pool.Effect{s.readFence(q, received, answer)}
	})
}

func (s *Sidecar) orderReply(h *table.HeldLocks, state link.EngineState, refusal *contract.Refusal) *peer.OrderReply {
	return &peer.OrderReply{Header: s.header(), State: state, Refusal: refusal}
}

// readFence reads the current fencing number before an order is admitted. A
// replacement sidecar has no state and would otherwise accept a stale order.
func (s *Sidecar) readFence(q *peer.OrderRequest, received time.Time, answer func(*peer.OrderReply)) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		fence, err := s.fence(ctx)
		return func(h *table.HeldLocks) []pool.Effect {
			if err != nil {
				s.log.Warn("failed to read the fencing number", "error", err)
			}
			return s.admitOrder(h, q, received, fence, err == nil, answer)
		}
	}
	return pool.Effect{Lane: laneOrders, Perform: perform, OnPanic: s.orderPanicHandler(answer)}
}

// fence returns the highest fencing number known to the engine and, if Fences is
// configured, to the platform's table. An error from either fails the read.
func (s *Sidecar) fence(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	state, err := s.engine.State(ctx)
	if err != nil || s.fences == nil {
		return state.Fence, err
	}
	fence, err := s.fences.HighestFence(ctx, s.id)
	return max(fence, state.Fence), err
}

// admitOrder sends an order to the engine if its fencing number is current and its
// issuer's lease outlasts OrderTimeout. Without fenceKnown, fence is ignored.
func (s *Sidecar) admitOrder(h *table.HeldLocks, q *peer.OrderRequest, received time.Time, fence uint64, fenceKnown bool, answer func(*peer.OrderReply)) []pool.Effect {
	now := s.clock.Now()
	var refusal *contract.Refusal
	s.orders.With(h, func(g **orders.Gate) {
		if fenceKnown {
			(*g).RecordFence(fence)
		}
		refusal = (*g).Admit(now, q.Order, q.LeaseLeft-now.Sub(received), OrderTimeout)
	})
	if refusal != nil {
		answer(s.orderReply(h, link.EngineState{}, refusal))
		return nil
	}
	return []pool.Effect{s.sendOrder(q.Order, now.Add(OrderTimeout), answer)}
}

// sendOrder sends an admitted order, then reads the engine's state and repairs it.
func (s *Sidecar) sendOrder(o link.Order, deadline time.Time, answer func(*peer.OrderReply)) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, deadline.Sub(s.clock.Now()))
		defer cancel()
		err := ctx.Err()
		if err == nil {
			err = s.engine.Order(ctx, o)
		}
		state := s.repairEngine(ctx)
		return func(h *table.HeldLocks) []pool.Effect {
			var refusal *contract.Refusal
			if err != nil {
				s.log.Warn("order failed", "kind", o.Kind, "fence", o.Fence, "error", err)
				refusal = orderRefusal(err)
			}
			answer(s.orderReply(h, state, refusal))
			return nil
		}
	}
	return pool.Effect{Lane: laneOrders, Perform: perform, OnPanic: s.orderPanicHandler(answer)}
}

// repairEngine reads the engine's state after an order, whether or not it succeeded,
// and resends the orders whose effect is missing, for at most maxRepairs rounds.
func (s *Sidecar) repairEngine(ctx context.Context) (state link.EngineState) {
	h := table.NewHeldLocks()
	for range maxRepairs {
		latest, err := s.engine.State(ctx)
		if err != nil {
			s.log.Warn("failed to read the engine's state", "error", err)
			latest = state
		}
		state = latest
		var repairs []link.Order
		s.orders.With(h, func(g **orders.Gate) { repairs = (*g).FinishOrder(state) })
		if err != nil || len(repairs) == 0 {
			return state
		}
		for _, o := range repairs {
			if err := s.engine.Order(ctx, o); err != nil {
				s.log.Warn("order failed", "kind", o.Kind, "fence", o.Fence, "error", err)
				return state
			}
		}
	}
	return state
}

// orderPanicHandler returns the OnPanic function of an order's effect. It answers that
// the order may have been executed.
func (s *Sidecar) orderPanicHandler(answer func(*peer.OrderReply)) func(any) pool.Step {
	return func(any) pool.Step {
		return func(h *table.HeldLocks) []pool.Effect {
			refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"}
			answer(s.orderReply(h, link.EngineState{}, refusal))
			return nil
		}
	}
}
