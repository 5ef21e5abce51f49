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

// Times of orders.
const (
	// OrderTimeout bounds one order at the engine, loading a model included.
	OrderTimeout = 10 * time.Second
	// maxRepairs bounds the orders that put an engine right after one order.
	maxRepairs = 3
)

// laneOrders carries orders to the engine.
const laneOrders pool.Lane = "orders"

// FenceSource reads the current fencing number of an upstream's orders from the
// platform's table.
type FenceSource interface {
	// Fence returns the highest number that was given out; 0 if none was.
	Fence(ctx context.Context, id upstream.ID) (uint64, error)
}

// Order implements peer.Sidecar.
func (s *Sidecar) Order(ctx context.Context, q *peer.OrderRequest) (*peer.OrderReply, error) {
	received := s.clock.Now()
	return ask(ctx, s, func(h *table.Held, answer func(*peer.OrderReply)) []pool.Effect {
		if s.engine == nil {
			answer(s.orderReply(h, link.EngineState{}, contract.Refuse(contract.CodeNoUpstream, "no engine beside this sidecar")))
			return nil
		}
		return []pool.Effect{s.readFence(q, received, answer)}
	})
}

func (s *Sidecar) orderReply(h *table.Held, state link.EngineState, refusal *contract.Refusal) *peer.OrderReply {
	return &peer.OrderReply{Header: s.header(), State: state, Refusal: refusal}
}

// readFence reads the current number before an order is admitted: without it, a
// sidecar that was replaced could not tell an old order from a new one.
func (s *Sidecar) readFence(q *peer.OrderRequest, received time.Time, answer func(*peer.OrderReply)) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		fence, err := s.fence(ctx)
		return func(h *table.Held) []pool.Effect {
			if err != nil {
				s.log.Warn("fencing number not read", "error", err)
			}
			return s.admitOrder(h, q, received, fence, err == nil, answer)
		}
	}
	return pool.Effect{Lane: laneOrders, Perform: perform, OnPanic: s.orderPanicked(answer)}
}

// fence reads the highest number from the engine and, if there is one, from the
// table.
func (s *Sidecar) fence(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	state, err := s.engine.State(ctx)
	if err != nil || s.fences == nil {
		return state.Fence, err
	}
	fence, err := s.fences.Fence(ctx, s.id)
	return max(fence, state.Fence), err
}

// admitOrder passes an order on if it is current and its issuer's lease outlasts
// the call.
func (s *Sidecar) admitOrder(h *table.Held, q *peer.OrderRequest, received time.Time, fence uint64, read bool, answer func(*peer.OrderReply)) []pool.Effect {
	now := s.clock.Now()
	var refusal *contract.Refusal
	s.orders.With(h, func(g **orders.Gate) {
		if read {
			(*g).Learn(fence)
		}
		refusal = (*g).Admit(now, q.Order, q.LeaseLeft-now.Sub(received), OrderTimeout)
	})
	if refusal != nil {
		answer(s.orderReply(h, link.EngineState{}, refusal))
		return nil
	}
	return []pool.Effect{s.sendOrder(q.Order, now.Add(OrderTimeout), answer)}
}

// sendOrder sends an order, reads the engine's state and puts it right.
func (s *Sidecar) sendOrder(o link.Order, deadline time.Time, answer func(*peer.OrderReply)) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, deadline.Sub(s.clock.Now()))
		defer cancel()
		err := ctx.Err()
		if err == nil {
			err = s.engine.Order(ctx, o)
		}
		state := s.putRight(ctx)
		return func(h *table.Held) []pool.Effect {
			var refusal *contract.Refusal
			if err != nil {
				s.log.Warn("order failed", "kind", o.Kind, "fence", o.Fence, "error", err)
				refusal = orderRefusal(err)
			}
			answer(s.orderReply(h, state, refusal))
			return nil
		}
	}
	return pool.Effect{Lane: laneOrders, Perform: perform, OnPanic: s.orderPanicked(answer)}
}

// putRight re-reads the engine's state after an order, whatever came of it, and
// sends what is missing again.
func (s *Sidecar) putRight(ctx context.Context) (state link.EngineState) {
	h := table.NewHeld()
	for range maxRepairs {
		now, err := s.engine.State(ctx)
		if err != nil {
			s.log.Warn("engine's state not read", "error", err)
			now = state
		}
		state = now
		var repairs []link.Order
		s.orders.With(h, func(g **orders.Gate) { repairs = (*g).Finished(state) })
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

func (s *Sidecar) orderPanicked(answer func(*peer.OrderReply)) func(any) pool.Step {
	return func(any) pool.Step {
		return func(h *table.Held) []pool.Effect {
			refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"}
			answer(s.orderReply(h, link.EngineState{}, refusal))
			return nil
		}
	}
}
