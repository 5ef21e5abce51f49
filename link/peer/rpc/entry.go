package rpc

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// EntryClient is a client of one entry. It implements peer.EntryClient.
type EntryClient struct {
	connPool *ConnPool
	addr     string
}

// Entry returns a client of the entry at addr; the first call connects.
func (d *ConnPool) Entry(addr string) peer.Entry {
	return &EntryClient{connPool: d, addr: addr}
}

// Heartbeat implements peer.Entry.
func (e *EntryClient) Heartbeat(ctx context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return call[peer.HeartbeatRequest, peer.HeartbeatReply](ctx, e.connPool, e.addr, "Entry.Heartbeat", q)
}

// Rates implements peer.Entry.
func (e *EntryClient) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return call[peer.RatesRequest, peer.RatesReply](ctx, e.connPool, e.addr, "Entry.Rates", q)
}

// Sync implements peer.Entry.
func (e *EntryClient) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return call[peer.SyncRequest, peer.SyncReply](ctx, e.connPool.long, e.addr, "Entry.Sync", q)
}

// Query implements peer.Entry.
func (e *EntryClient) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return call[peer.QueryRequest, peer.QueryReply](ctx, e.connPool, e.addr, "Entry.Query", q)
}
