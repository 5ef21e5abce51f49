package peer

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
)

// Entry holds the calls that other entries and sidecars make to an entry.
type Entry interface {
	// Heartbeat reports that the sender is alive.
	Heartbeat(ctx context.Context, q *HeartbeatRequest) (*HeartbeatReply, error)
	// Rates exchanges rate tokens and leases on rate shares between entries. It
	// delivers one message and returns the immediate response, if there is any.
	Rates(ctx context.Context, q *RatesRequest) (*RatesReply, error)
	// Sync transfers a newer configuration, in either direction.
	Sync(ctx context.Context, q *SyncRequest) (*SyncReply, error)
	// Query answers an operator's question about this process.
	Query(ctx context.Context, q *QueryRequest) (*QueryReply, error)
}

// HeartbeatRequest carries the sender's header and address.
type HeartbeatRequest struct {
	Header
	// Kind is "entry" or "sidecar".
	Kind string
	// Addr is the address of the sender's peer listener.
	Addr string
	// Leaving means that the sender is draining and takes no new work.
	Leaving bool
}

// RatesRequest carries a message from the sender's rate policy to the receiver's.
type RatesRequest struct {
	Header
	Message rate.Message
}

// RatesReply carries the immediate response of the receiver's rate policy.
type RatesReply struct {
	Header
	// Message is nil if the policy sends nothing now.
	Message *rate.Message
}

// HeartbeatReply carries the receiver's header.
type HeartbeatReply struct {
	Header
}
