package entry

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Heartbeat implements peer.Entry.
func (e *Entry) Heartbeat(ctx context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.HeldLocks, answer func(*peer.HeartbeatReply)) []pool.Effect {
		from := config.Peer{Kind: kindOf(q.Kind), Addr: q.Addr}
		e.recordPeer(h, from, &q.Header, 0)
		e.members.With(h, func(m **members) { (*m).SetLeaving(string(q.From.Name), q.Leaving) })
		e.recordRevision(h, q.Revision, from)
		reply := &peer.HeartbeatReply{Header: e.header(h)}
		reply.ZonesHeard = e.zoneAges(h)
		answer(reply)
		return e.startFetchesAndCheckTrust(h)
	})
}

// Sync implements peer.Entry.
func (e *Entry) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.HeldLocks, answer func(*peer.SyncReply)) []pool.Effect {
		effects := e.install(h, config.Loaded{Snapshot: q.Offer, Changes: q.Changes})
		e.recordPeer(h, config.Peer{Kind: zone.KindEntry}, &q.Header, 0)
		e.recordRevision(h, q.Revision, config.Peer{})
		reply := &peer.SyncReply{Header: e.header(h)}
		e.config.With(h, func(s **config.Replicator) {
			out := (*s).UpdateSince(q.Revision)
			reply.Snapshot = out.Snapshot
			reply.Changes = out.Changes
		})
		answer(reply)
		return append(effects, e.startFetchesAndCheckTrust(h)...)
	})
}

// recordRevision records the revision in a message's header and the peer it can
// be fetched from, if the peer's address is known.
func (e *Entry) recordRevision(h *table.HeldLocks, revision contract.Revision, from config.Peer) {
	now := e.clock.Now()
	if from.Addr == "" {
		from = config.Peer{}
	}
	e.config.With(h, func(s **config.Replicator) { (*s).ObserveRevision(now, revision, from) })
}

// leaving reports whether the entry is draining or closed.
func (e *Entry) leaving() bool {
	return e.life.State() >= instance.Draining
}
