package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// ReconcileEvery is the time between two comparisons of the engine with the
// configuration; a change of the configuration is compared at once.
const ReconcileEvery = 5 * time.Second

// reconcileFromTimeToTime finds engines that were restarted and have forgotten
// what they were told.
func (s *Sidecar) reconcileFromTimeToTime(*table.Held) []pool.Effect {
	s.pool.After(ReconcileEvery, s.reconcileFromTimeToTime)
	return s.reconcile()
}

// reconcile compares the engine's role and models with the configuration and
// orders what is missing, one order at a time. An operator's command is thus
// part of the configuration first, and its order carries the revision as the
// fencing number: revisions are handed out by the platform's table and only
// rise, so an order of an older configuration is refused.
func (s *Sidecar) reconcile() []pool.Effect {
	if s.engine == nil {
		return nil
	}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
		defer cancel()
		state, err := s.engine.State(ctx)
		if err != nil {
			return nil
		}
		received := s.clock.Now()
		return func(h *table.Held) []pool.Effect { return s.orderMissing(h, state, received) }
	}
	return []pool.Effect{{Lane: laneWatch, Perform: perform}}
}

// orderMissing sends the first order that brings the engine closer to the
// configuration, and looks again when it has ended.
func (s *Sidecar) orderMissing(h *table.Held, state link.EngineState, received time.Time) []pool.Effect {
	snapshot := s.snapshot(h)
	u, known := snapshot.Upstreams[s.id]
	if !known || u.State == upstream.StateRetired {
		return nil
	}
	order, missing := firstMissing(u, state)
	if !missing {
		return nil
	}
	order.Fence = uint64(snapshot.Revision)
	answer := func(reply *peer.OrderReply) {
		if reply.Refusal != nil {
			s.log.Warn("order of the configuration refused", "kind", order.Kind, "error", reply.Refusal)
			return
		}
		s.log.Info("order of the configuration done", "kind", order.Kind, "model", order.Model, "fence", order.Fence)
		s.pool.After(WatchEvery, func(*table.Held) []pool.Effect { return s.reconcile() })
	}
	// This process holds the configuration itself, so no lease can run out.
	q := &peer.OrderRequest{Order: order, LeaseLeft: 2 * OrderTimeout}
	return s.admitOrder(h, q, received, state.Fence, true, answer)
}

// firstMissing gives the first order that the engine's state calls for.
func firstMissing(u upstream.Upstream, state link.EngineState) (order link.Order, missing bool) {
	if state.Role != u.Role {
		return link.Order{Kind: link.OrderChangeRole, Role: u.Role}, true
	}
	for _, model := range u.Models {
		if !slices.Contains(state.Models, model) {
			return link.Order{Kind: link.OrderLoadModel, Model: model, Version: u.Versions[model]}, true
		}
	}
	// Engines report the version of the model loaded last only, so a version
	// can be compared where there is one model with a version.
	if len(u.Versions) != 1 {
		return link.Order{}, false
	}
	for model, version := range u.Versions {
		if state.Version != version && slices.Contains(u.Models, model) {
			return link.Order{Kind: link.OrderLoadModel, Model: model, Version: version}, true
		}
	}
	return link.Order{}, false
}
