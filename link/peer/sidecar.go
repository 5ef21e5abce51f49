package peer

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Sidecar is what a sidecar does for entries.
type Sidecar interface {
	// Reserve asks for a place at the upstream.
	Reserve(ctx context.Context, q *ReserveRequest) (*ReserveReply, error)
	// Prefill runs a prompt and returns when its KV cache is there.
	Prefill(ctx context.Context, q *PrefillRequest) (*PrefillReply, error)
	// Decode starts output under a grant; the output comes with Poll.
	Decode(ctx context.Context, q *DecodeRequest) (*DecodeReply, error)
	// Call runs one call of a plain service.
	Call(ctx context.Context, q *ServiceRequest) (*ServiceReply, error)
	// Cancel frees what calls hold.
	Cancel(ctx context.Context, q *CancelRequest) (*CancelReply, error)
	// Poll renews the sender's grants and waits for output of its calls.
	Poll(ctx context.Context, q *PollRequest) (*PollReply, error)
	// Order changes the engine.
	Order(ctx context.Context, q *OrderRequest) (*OrderReply, error)
	// Sync hands over a newer configuration, in either direction.
	Sync(ctx context.Context, q *SyncRequest) (*SyncReply, error)
	// Query answers an operator's question about this process.
	Query(ctx context.Context, q *QueryRequest) (*QueryReply, error)
}

// ReserveRequest asks for a slot, blocks and a window on the import link.
type ReserveRequest struct {
	Header
	Call        contract.CallID
	Account     contract.AccountID
	Model       contract.ModelName
	Fingerprint contract.Fingerprint
	// Blocks is the memory for prompt and output; ImportBlocks is what comes
	// over the transfer link.
	Blocks       int
	ImportBlocks int
	Priority     int
	// ReadyIn is when the KV cache can be there at the earliest.
	ReadyIn time.Duration
	// Once asks for a grant to send a call that may not be repeated, for the
	// claim ClaimKey.
	Once     bool
	ClaimKey claim.KeyHash
}

// ReserveReply holds either a grant or a refusal.
type ReserveReply struct {
	Header
	Load    upstream.Load
	Refusal *contract.Refusal
	// WindowIn is when the import link opens for this grant.
	WindowIn time.Duration
	// Lease is how long the grant lives without a renewal.
	Lease time.Duration
}

// PrefillRequest runs a prompt.
type PrefillRequest struct {
	Header
	Call        contract.CallID
	Account     contract.AccountID
	Pseudonym   string
	Model       contract.ModelName
	Fingerprint contract.Fingerprint
	Prompt      string
	Tokens      contract.Tokens
	Priority    int
	// StartIn delays the prefill so that it ends as the window opens.
	StartIn time.Duration
	// Within is the time after which the result is of no use.
	Within time.Duration
}

// PrefillReply holds either a handle or a refusal.
type PrefillReply struct {
	Header
	Load    upstream.Load
	Handle  link.Handle
	Refusal *contract.Refusal
}

// DecodeRequest starts output under a grant made by Reserve.
type DecodeRequest struct {
	Header
	Call      contract.CallID
	Model     contract.ModelName
	Handle    link.Handle
	Pseudonym string
	MaxTokens contract.Tokens
	Seed      int64
	// Offset is the first token wanted; output before it was delivered.
	Offset contract.Tokens
}

// DecodeReply says whether the output was started.
type DecodeReply struct {
	Header
	Load    upstream.Load
	Refusal *contract.Refusal
}

// ServiceRequest runs one call of a plain service.
type ServiceRequest struct {
	Header
	Call        contract.CallID
	Pseudonym   string
	Fingerprint contract.Fingerprint
	Service     contract.ServiceCall
	// SendWithin is the time, from receipt, after which the call must not be
	// sent any more.
	SendWithin time.Duration
	// Within bounds the whole call.
	Within time.Duration
	// Once marks calls that may not be repeated.
	Once bool
	// Granted calls are sent only under a grant made by Reserve with Once.
	Granted bool
	// AskOnly sends nothing and asks what became of Call. With AskKey it asks
	// what became of the attempts for ClaimKey, but for those of Call's request.
	AskOnly, AskKey bool
	ClaimKey        claim.KeyHash
}

// ServiceReply holds either an answer or a refusal.
type ServiceReply struct {
	Header
	Load    upstream.Load
	Answer  contract.ServiceAnswer
	Refusal *contract.Refusal
	// Fate answers AskOnly; Answer is set if it is claim.FateDone, without its
	// body if Dropped.
	Fate    claim.Fate
	Dropped bool
}

// CancelRequest ends calls.
type CancelRequest struct {
	Header
	Calls []contract.CallID
}

// CancelReply says that the calls are ended.
type CancelReply struct {
	Header
	Load upstream.Load
}

// Ack says that the sender owns a call and has its output before Next.
type Ack struct {
	Call contract.CallID
	Next contract.Tokens
}

// PollRequest renews the grants of all calls named and asks for output. One
// poll a pair of entry and sidecar runs at a time; it carries all their calls.
type PollRequest struct {
	Header
	Calls []Ack
	// Wait is the longest time to wait for output.
	Wait time.Duration
}

// PollReply carries output of any of the sender's calls.
type PollReply struct {
	Header
	Load   upstream.Load
	Chunks []contract.Chunk
	// Lost are calls that the sidecar does not know.
	Lost []contract.CallID
}

// OrderRequest passes an order to the engine.
type OrderRequest struct {
	Header
	Order link.Order
	// LeaseLeft is how long the issuer holds its lease on orders.
	LeaseLeft time.Duration
}

// OrderReply gives the engine's state after the order.
type OrderReply struct {
	Header
	State   link.EngineState
	Refusal *contract.Refusal
}

// SyncRequest offers a configuration to a peer whose revision is lower, or asks
// for one if both Offer and Changes are empty. Header.Revision is the asker's.
type SyncRequest struct {
	Header
	Offer *config.Snapshot
	// Changes, sent in place of Offer, follow the peer's revision.
	Changes []config.Change
}

// SyncReply gives a configuration if the peer's is higher than the asker's.
type SyncReply struct {
	Header
	Snapshot *config.Snapshot
	// Changes, sent in place of Snapshot, follow the asker's revision.
	Changes []config.Change
}
