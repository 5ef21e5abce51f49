// Package heard stands between a process and the calls that it makes: it fills in
// the header of each request and tells of the header of each reply, so that news
// spreads with whatever is sent anyway.
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
	// Stamp fills in the header of a request and tells the time.
	Stamp(head *peer.Header) (sent time.Time)
	// Heard is told of the header of a reply, and when its request was sent:
	// the reply may have waited here since soon after. It must not block.
	Heard(from config.Peer, head *peer.Header, sent time.Time)
}

// Dialer opens the calls of other processes.
type Dialer interface {
	// Sidecar returns the calls of the sidecar at an address.
	Sidecar(addr string) peer.Sidecar
	// Entry returns the calls of the entry at an address.
	Entry(addr string) peer.Entry
}

// Peers is a Dialer whose calls pass a node.
type Peers struct {
	Dialer Dialer
	Node   Node
}

// Sidecar implements Dialer.
func (p Peers) Sidecar(addr string) peer.Sidecar {
	return &sidecar{p.Dialer.Sidecar(addr), passing{p.Node, config.Peer{Kind: zone.KindSidecar, Addr: addr}}}
}

// Entry implements Dialer.
func (p Peers) Entry(addr string) peer.Entry {
	return &entry{p.Dialer.Entry(addr), passing{p.Node, config.Peer{Kind: zone.KindEntry, Addr: addr}}}
}

// passing is what one peer's calls have in common.
type passing struct {
	node Node
	peer config.Peer
}

// pass makes one call.
func pass[Q, R peer.Message](ctx context.Context, p passing, call func(context.Context, Q) (R, error), q Q) (R, error) {
	sent := p.node.Stamp(q.Head())
	reply, err := call(ctx, q)
	if err == nil {
		p.node.Heard(p.peer, reply.Head(), sent)
	}
	return reply, err
}

// entry is the calls of an entry.
type entry struct {
	peer.Entry
	passing
}

// Heartbeat implements peer.Entry.
func (c *entry) Heartbeat(ctx context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return pass(ctx, c.passing, c.Entry.Heartbeat, q)
}

// Rates implements peer.Entry.
func (c *entry) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return pass(ctx, c.passing, c.Entry.Rates, q)
}

// Sync implements peer.Entry.
func (c *entry) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return pass(ctx, c.passing, c.Entry.Sync, q)
}

// Query implements peer.Entry.
func (c *entry) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return pass(ctx, c.passing, c.Entry.Query, q)
}

// sidecar is the calls of a sidecar.
type sidecar struct {
	peer.Sidecar
	passing
}

// Reserve implements peer.Sidecar.
func (c *sidecar) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Reserve, q)
}

// Prefill implements peer.Sidecar.
func (c *sidecar) Prefill(ctx context.Context, q *peer.PrefillRequest) (*peer.PrefillReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Prefill, q)
}

// Decode implements peer.Sidecar.
func (c *sidecar) Decode(ctx context.Context, q *peer.DecodeRequest) (*peer.DecodeReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Decode, q)
}

// Call implements peer.Sidecar.
func (c *sidecar) Call(ctx context.Context, q *peer.ServiceRequest) (*peer.ServiceReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Call, q)
}

// Cancel implements peer.Sidecar.
func (c *sidecar) Cancel(ctx context.Context, q *peer.CancelRequest) (*peer.CancelReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Cancel, q)
}

// Poll implements peer.Sidecar.
func (c *sidecar) Poll(ctx context.Context, q *peer.PollRequest) (*peer.PollReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Poll, q)
}

// Order implements peer.Sidecar.
func (c *sidecar) Order(ctx context.Context, q *peer.OrderRequest) (*peer.OrderReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Order, q)
}

// Sync implements peer.Sidecar.
func (c *sidecar) Sync(ctx context.Context, q *peer.SyncRequest) (*peer.SyncReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Sync, q)
}

// Query implements peer.Sidecar.
func (c *sidecar) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return pass(ctx, c.passing, c.Sidecar.Query, q)
}
