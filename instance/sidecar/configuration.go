package sidecar

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Sync implements peer.Sidecar. A sidecar calls nobody: entries that find it
// behind hand it the configuration, and those that are behind it ask for it.
func (s *Sidecar) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return ask(ctx, s, func(h *table.Held, answer func(*peer.SyncReply)) []pool.Effect {
		effects := s.install(h, q)
		reply := &peer.SyncReply{Header: s.header()}
		s.config.With(h, func(spread **config.Spread) {
			out := (*spread).Answer(q.Revision)
			reply.Snapshot = out.Snapshot
			reply.Changes = out.Changes
		})
		answer(reply)
		return effects
	})
}

// install puts a configuration in force if it is newer. An upstream that it
// drains or retires takes no new work from then on, and an engine is ordered to
// what it says.
func (s *Sidecar) install(h *table.Held, q *peer.SyncRequest) []pool.Effect {
	var old, next *config.Snapshot
	changed := false
	s.config.With(h, func(spread **config.Spread) {
		old, changed, _ = (*spread).Take(q.Offer, q.Changes)
		next = (*spread).Current()
		s.revision.Store(uint64(next.Revision))
	})
	if !changed {
		return nil
	}
	s.log.Info("configuration in force", "revision", next.Revision)
	if leaving := s.leavingBy(next); leaving != s.leavingBy(old) {
		s.ledger.With(h, func(l **engine.Ledger) { (*l).SetLeaving(leaving) })
	}
	return s.reconcile()
}

// leavingBy reports whether the upstream is to take no new work, by the
// configuration or because this process is shutting down. An upstream that the
// configuration does not know yet may take work.
func (s *Sidecar) leavingBy(snapshot *config.Snapshot) bool {
	u, known := snapshot.Upstreams[s.id]
	return s.draining() || (known && u.State != upstream.StateServing)
}

// snapshot gives the configuration in force.
func (s *Sidecar) snapshot(h *table.Held) (now *config.Snapshot) {
	s.config.With(h, func(spread **config.Spread) { now = (*spread).Current() })
	return now
}
