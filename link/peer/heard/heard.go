// Package heard intercepts the calls that a process makes to its peers. It fills in
// the header of each request and hands the header of each reply to the process, so
// that revisions, quarantines and liveness spread with regular traffic. What a
// header means is left to the process.
package heard

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Node is the process that makes the calls.
type Node interface {
	// FillHeader fills in the header of a request and returns the current time.
	FillHeader(head *peer.Header) (sent time.Time)
	// RecordHeader takes in the header of a reply. sent is the time at which the
	// request was sent; the header may be almost as old, since the reply can
	// have waited in this process before it was read. RecordHeader must not block and
	// is not called for failed calls.
	RecordHeader(from config.Peer, head *peer.Header, sent time.Time)
}

// Dialer returns clients of other processes.
type Dialer interface {
	// Sidecar returns a client of the sidecar at an address.
	Sidecar(addr string) peer.Sidecar
	// Entry returns a client of the entry at an address.
	Entry(addr string) peer.Entry
}

// Peers is a Dialer whose clients exchange headers with Node on each call.
type Peers struct {
	Dialer Dialer
	Node   Node
}

// Sidecar implements Dialer.
func (p Peers) Sidecar(addr string) peer.Sidecar {
	return &sidecar{p.Dialer.Sidecar(addr), interceptor{p.Node, config.Peer{Kind: zone.KindSidecar, Addr: addr}}}
}

// Entry implements Dialer.
func (p Peers) Entry(addr string) peer.Entry {
	return &entry{p.Dialer.Entry(addr), interceptor{p.Node, config.Peer{Kind: zone.KindEntry, Addr: addr}}}
}

// interceptor holds the calling process and the peer that a client calls.
type interceptor struct {
	node Node
	peer config.Peer
}

// intercept stamps a request, makes the call and passes the header of a successful
// reply to the node.
func intercept[Q, R peer.Message](ctx context.Context, p interceptor, call func(context.Context, Q) (R, error), q Q) (R, error) {
	sent := p.node.FillHeader(q.Head())
	reply, err := call(ctx, q)
	if err == nil {
		p.node.RecordHeader(p.peer, reply.Head(), sent)
	}
	return reply, err
}

// entry is a client of one entry that exchanges headers with the node.
type entry struct {
	peer.Entry
	interceptor
}

// Heartbeat implements peer.Entry.
func (c *entry) Heartbeat(ctx context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return intercept(ctx, c.interceptor, c.Entry.Heartbeat, q)
}

// Rates implements peer.Entry.
func (c *entry) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return intercept(ctx, c.interceptor, c.Entry.Rates, q)
}

// Sync implements peer.Entry.
func (c *entry) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return intercept(ctx, c.interceptor, c.Entry.Sync, q)
}

// Query implements peer.Entry.
func (c *entry) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return intercept(ctx, c.interceptor, c.Entry.Query, q)
}

// sidecar is a client of one sidecar that exchanges headers with the node.
type sidecar struct {
	peer.Sidecar
	interceptor
}

// Reserve implements peer.Sidecar.
func (c *sidecar) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Reserve, q)
}

// Prefill implements peer.Sidecar.
func (c *sidecar) Prefill(ctx context.Context, q *peer.PrefillRequest) (*peer.PrefillReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Prefill, q)
}

// Decode implements peer.Sidecar.
func (c *sidecar) Decode(ctx context.Context, q *peer.DecodeRequest) (*peer.DecodeReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Decode, q)
}

// Call implements peer.Sidecar.
func (c *sidecar) Call(ctx context.Context, q *peer.ServiceRequest) (*peer.ServiceReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Call, q)
}

// Cancel implements peer.Sidecar.
func (c *sidecar) Cancel(ctx context.Context, q *peer.CancelRequest) (*peer.CancelReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Cancel, q)
}

// Poll implements peer.Sidecar.
func (c *sidecar) Poll(ctx context.Context, q *peer.PollRequest) (*peer.PollReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Poll, q)
}

// Order implements peer.Sidecar.
func (c *sidecar) Order(ctx context.Context, q *peer.OrderRequest) (*peer.OrderReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Order, q)
}

// Sync implements peer.Sidecar.
func (c *sidecar) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Sync, q)
}

// Query implements peer.Sidecar.
func (c *sidecar) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return intercept(ctx, c.interceptor, c.Sidecar.Query, q)
}
