package peer

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
)

// Entry is what an entry does for other entries and for sidecars.
type Entry interface {
	// Heartbeat tells that the sender is alive.
	Heartbeat(ctx context.Context, q *HeartbeatRequest) (*HeartbeatReply, error)
	// Rates passes tokens and promises between entries.
	Rates(ctx context.Context, q *RatesRequest) (*RatesReply, error)
	// Sync hands over a newer configuration, in either direction.
	Sync(ctx context.Context, q *SyncRequest) (*SyncReply, error)
	// Query answers an operator's question about this process.
	Query(ctx context.Context, q *QueryRequest) (*QueryReply, error)
}

// HeartbeatRequest carries the sender's header and where it is reached.
type HeartbeatRequest struct {
	Header
	// Kind is "entry" or "sidecar"; Addr is the sender's peer listener.
	Kind string
	Addr string
	// Leaving says that the sender takes no new work.
	Leaving bool
}

// RatesRequest carries what the sender's rate policy has to say.
type RatesRequest struct {
	Header
	Message rate.Message
}

// RatesReply carries what the receiver's policy says at once; nil for nothing.
type RatesReply struct {
	Header
	Message *rate.Message
}

// HeartbeatReply carries the receiver's header.
type HeartbeatReply struct {
	Header
}
