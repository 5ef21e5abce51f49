package rpc

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// SidecarClient is a client of one sidecar. It implements peer.SidecarClient.
type SidecarClient struct {
	connPool *ConnPool
	addr     string
}

// Sidecar returns a client of the sidecar at addr; the first call connects.
func (d *ConnPool) Sidecar(addr string) peer.Sidecar {
	return &SidecarClient{connPool: d, addr: addr}
}

// call is ConnPool.Call with a typed request and reply.
func call[Q, R any](ctx context.Context, d *ConnPool, addr, method string, q *Q) (*R, error) {
	reply := new(R)
	if err := d.Call(ctx, addr, method, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Reserve implements peer.Sidecar.
func (s *SidecarClient) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return call[peer.ReserveRequest, peer.ReserveReply](ctx, s.connPool, s.addr, "Sidecar.Reserve", q)
}

// Prefill implements peer.Sidecar.
func (s *SidecarClient) Prefill(ctx context.Context, q *peer.PrefillRequest) (*peer.PrefillReply, error) {
	return call[peer.PrefillRequest, peer.PrefillReply](ctx, s.connPool, s.addr, "Sidecar.Prefill", q)
}

// Decode implements peer.Sidecar.
func (s *SidecarClient) Decode(ctx context.Context, q *peer.DecodeRequest) (*peer.DecodeReply, error) {
	return call[peer.DecodeRequest, peer.DecodeReply](ctx, s.connPool, s.addr, "Sidecar.Decode", q)
}

// Call implements peer.Sidecar.
func (s *SidecarClient) Call(ctx context.Context, q *peer.ServiceRequest) (*peer.ServiceReply, error) {
	return call[peer.ServiceRequest, peer.ServiceReply](ctx, s.connPool, s.addr, "Sidecar.Call", q)
}

// Cancel implements peer.Sidecar.
func (s *SidecarClient) Cancel(ctx context.Context, q *peer.CancelRequest) (*peer.CancelReply, error) {
	return call[peer.CancelRequest, peer.CancelReply](ctx, s.connPool, s.addr, "Sidecar.Cancel", q)
}

// Poll implements peer.Sidecar.
func (s *SidecarClient) Poll(ctx context.Context, q *peer.PollRequest) (*peer.PollReply, error) {
	return call[peer.PollRequest, peer.PollReply](ctx, s.connPool, s.addr, "Sidecar.Poll", q)
}

// Order implements peer.Sidecar.
func (s *SidecarClient) Order(ctx context.Context, q *peer.OrderRequest) (*peer.OrderReply, error) {
	return call[peer.OrderRequest, peer.OrderReply](ctx, s.connPool, s.addr, "Sidecar.Order", q)
}

// Sync implements peer.Sidecar.
func (s *SidecarClient) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return call[peer.SyncRequest, peer.SyncReply](ctx, s.connPool.long, s.addr, "Sidecar.Sync", q)
}

// Query implements peer.Sidecar.
func (s *SidecarClient) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return call[peer.QueryRequest, peer.QueryReply](ctx, s.connPool, s.addr, "Sidecar.Query", q)
}
