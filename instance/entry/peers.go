package entry

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// Heartbeat implements peer.Entry.
func (e *Entry) Heartbeat(ctx context.Context, _ *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.Held, answer func(*peer.HeartbeatReply)) []pool.Effect {
		answer(&peer.HeartbeatReply{Header: e.header(h)})
		return nil
	})
}

// Sync implements peer.Entry.
func (e *Entry) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.Held, answer func(*peer.SyncReply)) []pool.Effect {
		var effects []pool.Effect
		if q.Offer != nil {
			effects = e.install(h, q.Offer)
		}
		reply := &peer.SyncReply{Header: e.header(h)}
		if now := e.snapshot(h); now.Revision > q.Revision {
			reply.Snapshot = now
		}
		answer(reply)
		return effects
	})
}

// sendRates passes tokens and promises to other entries.
func (e *Entry) sendRates(_ *table.Held, out []rate.Outgoing) []pool.Effect {
	_ = out
	return nil
}
