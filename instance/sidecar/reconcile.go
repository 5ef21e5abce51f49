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

// ReconcileEvery is the interval between comparisons of the engine with the
// configuration. A configuration change triggers a comparison at once.
const ReconcileEvery = 5 * time.Second

// reconcilePeriodically restores the role and models of an engine that lost them
// in a restart.
func (s *Sidecar) reconcilePeriodically(*table.HeldLocks) []pool.Effect {
	s.pool.After(ReconcileEvery, s.reconcilePeriodically)
	return s.reconcile()
}

// reconcile compares the engine's role and models with the configuration and
// orders what is missing, one order at a time. An operator's command changes the
// configuration first; the resulting order carries the revision as its fencing
// number. The platform's table issues revisions in increasing order, so an order
// of an older configuration is refused.
func (s *Sidecar) reconcile() []pool.Effect {
	if s.engine == nil {
		return nil
	}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
		defer cancel()
		state, err := s.engine.State(ctx)
		if err != nil {
			return nil
		}
		received := s.clock.Now()
		return func(h *table.HeldLocks) []pool.Effect { return s.orderMissing(h, state, received) }
	}
	return []pool.Effect{{Lane: laneProbe, Perform: perform}}
}

// orderMissing sends the first order that brings the engine closer to the
// configuration, and reconciles again after it succeeds.
func (s *Sidecar) orderMissing(h *table.HeldLocks, state link.EngineState, received time.Time) []pool.Effect {
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
			s.log.Warn("configuration order refused", "kind", order.Kind, "error", reply.Refusal)
			return
		}
		s.log.Info("configuration order done", "kind", order.Kind, "model", order.Model, "fence", order.Fence)
		s.pool.After(ProbeEvery, func(*table.HeldLocks) []pool.Effect { return s.reconcile() })
	}
	// The order comes from this process's own configuration, so no issuer's
	// lease can expire; any value above OrderTimeout passes the check.
	q := &peer.OrderRequest{Order: order, LeaseLeft: 2 * OrderTimeout}
	return s.admitOrder(h, q, received, state.Fence, true, answer)
}

// firstMissing returns the first order needed to bring the engine's state in line
// with u: the role, then each model, then the version. missing is false if they match.
func firstMissing(u upstream.Upstream, state link.EngineState) (order link.Order, missing bool) {
	if state.Role != u.Role {
		return link.Order{Kind: link.OrderChangeRole, Role: u.Role}, true
	}
	for _, model := range u.Models {
		if !slices.Contains(state.Models, model) {
			return link.Order{Kind: link.OrderLoadModel, Model: model, Version: u.Versions[model]}, true
		}
	}
	// Engines report only the version of the model loaded last, so versions can
	// be compared only if exactly one model has a version.
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
