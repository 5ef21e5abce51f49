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

// Sync implements peer.Sidecar. A sidecar opens no connections to its peers: an
// entry with a newer configuration sends it, and one with an older asks for it.
func (s *Sidecar) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.SyncReply)) []pool.Effect {
		effects := s.install(h, q)
		reply := &peer.SyncReply{Header: s.header()}
		s.config.With(h, func(replicator **config.Replicator) {
			out := (*replicator).UpdateSince(q.Revision)
			reply.Snapshot = out.Snapshot
			reply.Changes = out.Changes
		})
		answer(reply)
		return effects
	})
}

// install applies a configuration if it is newer than the current one. If it drains
// or retires the upstream, the ledger refuses new work from then on. An engine is
// reconciled with the new configuration.
func (s *Sidecar) install(h *table.HeldLocks, q *peer.SyncRequest) []pool.Effect {
	var old, next *config.Snapshot
	changed := false
	s.config.With(h, func(replicator **config.Replicator) {
		old, changed, _ = (*replicator).ApplyUpdate(q.Offer, q.Changes)
		next = (*replicator).Current()
		s.revision.Store(uint64(next.Revision))
	})
	if !changed {
		return nil
	}
	s.log.Info("configuration in force", "revision", next.Revision)
	if drain := s.shouldDrain(next); drain != s.shouldDrain(old) {
		s.ledger.With(h, func(l **engine.Ledger) { (*l).SetDraining(drain) })
	}
	return s.reconcile()
}

// shouldDrain reports whether the upstream must take no new work, because of the
// configuration or because this process is shutting down. An upstream missing from
// the configuration may take work.
func (s *Sidecar) shouldDrain(snapshot *config.Snapshot) bool {
	u, known := snapshot.Upstreams[s.id]
	return s.draining() || (known && u.State != upstream.StateServing)
}

// snapshot returns the current configuration. It is shared and must not be modified.
func (s *Sidecar) snapshot(h *table.HeldLocks) (current *config.Snapshot) {
	s.config.With(h, func(replicator **config.Replicator) { current = (*replicator).Current() })
	return current
}
