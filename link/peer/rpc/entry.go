package rpc

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// Entry is a client of one entry. It implements peer.Entry.
type Entry struct {
	dials *Dials
	addr  string
}

// Entry returns a client of the entry at addr; the first call connects.
func (d *Dials) Entry(addr string) peer.Entry {
	return &Entry{dials: d, addr: addr}
}

// Heartbeat implements peer.Entry.
func (e *Entry) Heartbeat(ctx context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return call[peer.HeartbeatRequest, peer.HeartbeatReply](ctx, e.dials, e.addr, "Entry.Heartbeat", q)
}

// Rates implements peer.Entry.
func (e *Entry) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return call[peer.RatesRequest, peer.RatesReply](ctx, e.dials, e.addr, "Entry.Rates", q)
}

// Sync implements peer.Entry.
func (e *Entry) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return call[peer.SyncRequest, peer.SyncReply](ctx, e.dials, e.addr, "Entry.Sync", q)
}

// Query implements peer.Entry.
func (e *Entry) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return call[peer.QueryRequest, peer.QueryReply](ctx, e.dials, e.addr, "Entry.Query", q)
}
