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

// Sidecar holds the calls that entries make to a sidecar. Each may fail with the
// errors of this package; a refusal is part of the reply.
type Sidecar interface {
	// Reserve reserves a slot and memory at the upstream for a decode, or grants
	// one send of a service call that must not be repeated.
	Reserve(ctx context.Context, q *ReserveRequest) (*ReserveReply, error)
	// Prefill runs a prompt and returns when its KV cache is complete.
	Prefill(ctx context.Context, q *PrefillRequest) (*PrefillReply, error)
	// Decode starts the output of a call that Reserve granted; Poll returns the
	// output.
	Decode(ctx context.Context, q *DecodeRequest) (*DecodeReply, error)
	// Call sends one call to a plain service.
	Call(ctx context.Context, q *ServiceRequest) (*ServiceReply, error)
	// Cancel ends calls and frees their slots and memory. It may return before
	// the engine has freed them; unknown calls are ignored.
	Cancel(ctx context.Context, q *CancelRequest) (*CancelReply, error)
	// Poll renews the leases of the sender's grants and waits for output of its
	// calls.
	Poll(ctx context.Context, q *PollRequest) (*PollReply, error)
	// Order changes the engine's role or loads a model or an adapter.
	Order(ctx context.Context, q *OrderRequest) (*OrderReply, error)
	// Sync transfers a newer configuration, in either direction.
	Sync(ctx context.Context, q *SyncRequest) (*SyncReply, error)
	// Query answers an operator's question about this process.
	Query(ctx context.Context, q *QueryRequest) (*QueryReply, error)
}

// ReserveRequest asks for a slot, KV blocks and a window on the link over which
// the engine imports KV blocks.
type ReserveRequest struct {
	Header
	Call        contract.CallID
	Account     contract.AccountID
	Model       contract.ModelName
	Fingerprint contract.Fingerprint
	// Blocks is the memory for prompt and output, in KV blocks; ImportBlocks is
	// how many of them are transferred over the import link.
	Blocks       int
	ImportBlocks int
	Priority     int
	// ReadyIn is the earliest time at which the transfer of the KV cache can
	// start, counted from receipt.
	ReadyIn time.Duration
	// Once, unlike that of ServiceRequest, also asks for a grant to send a non-repeatable call under the claim
	// ClaimKey.
	Once     bool
	ClaimKey claim.KeyHash
}

// ReserveReply holds either a grant or a refusal.
type ReserveReply struct {
	Header
	Load    upstream.Load
	Refusal *contract.Refusal
	// WindowIn is the time until this grant's window on the import link starts.
	WindowIn time.Duration
	// Lease is the time after which the grant expires unless it is renewed.
	Lease time.Duration
}

// PrefillRequest asks a prefill engine to run a prompt.
type PrefillRequest struct {
	Header
	Call    contract.CallID
	Account contract.AccountID
	// Pseudonym is sent to the upstream in place of the client account.
	Pseudonym   string
	Model       contract.ModelName
	Fingerprint contract.Fingerprint
	Prompt      string
	Tokens      contract.Tokens
	Priority    int
	// StartIn delays the prefill so that it ends when the transfer window starts.
	StartIn time.Duration
	// Within is the timeout, from receipt, after which the result is useless.
	Within time.Duration
}

// PrefillReply holds either a handle or a refusal.
type PrefillReply struct {
	Header
	Load    upstream.Load
	Handle  link.Handle
	Refusal *contract.Refusal
}

// DecodeRequest starts the output of a call that Reserve granted.
type DecodeRequest struct {
	Header
	Call      contract.CallID
	Model     contract.ModelName
	Handle    link.Handle
	Pseudonym string
	MaxTokens contract.Tokens
	Seed      int64
	// Offset is the index of the first token to send; earlier ones were already
	// delivered to the caller.
	Offset contract.Tokens
}

// DecodeReply has a Refusal if the output was not started.
type DecodeReply struct {
	Header
	Load    upstream.Load
	Refusal *contract.Refusal
}

// ServiceRequest asks for one call of a plain service, or for the known outcome of an
// earlier one.
type ServiceRequest struct {
	Header
	Call        contract.CallID
	Pseudonym   string
	Fingerprint contract.Fingerprint
	Service     contract.ServiceCall
	// SendWithin is the time, from receipt, after which the call must no longer
	// be sent to the service.
	SendWithin time.Duration
	// Within is the timeout of the whole call, from receipt.
	Within time.Duration
	// Once marks calls that must not be repeated.
	Once bool
	// Granted means that the call is sent only if it holds a grant that Reserve
	// made with Once.
	Granted bool
	// AskOnly asks for the known outcome (Fate) of Call and sends nothing to the
	// service. If AskKey is set too, it asks for the outcome of all attempts under
	// ClaimKey except those of the request that Call belongs to.
	AskOnly, AskKey bool
	ClaimKey        claim.KeyHash
}

// ServiceReply holds either an answer or a refusal.
type ServiceReply struct {
	Header
	Load    upstream.Load
	Answer  contract.ServiceAnswer
	Refusal *contract.Refusal
	// Fate is the known outcome of a call, set in the reply to AskOnly. If it is
	// claim.FateDone, Answer is set too; Dropped means that the answer's body is
	// not stored.
	Fate    claim.Fate
	Dropped bool
}

// CancelRequest lists the calls to end.
type CancelRequest struct {
	Header
	Calls []contract.CallID
}

// CancelReply confirms that the calls' cancellation has begun.
type CancelReply struct {
	Header
	Load upstream.Load
}

// Ack renews the grant of one call and acknowledges its output.
type Ack struct {
	Call contract.CallID
	// Next is the index of the first token that the sender does not have.
	Next contract.Tokens
}

// PollRequest renews the grants of the listed calls and asks for their output.
// Each pair of entry and sidecar has at most one poll running, which lists all
// calls that they share.
type PollRequest struct {
	Header
	Calls []Ack
	// Wait is the max wait for output.
	Wait time.Duration
}

// PollReply carries output of any of the sender's calls.
type PollReply struct {
	Header
	Load   upstream.Load
	Chunks []contract.Chunk
	// Lost lists the calls of the request that the sidecar does not know.
	Lost []contract.CallID
}

// OrderRequest carries an order for the engine.
type OrderRequest struct {
	Header
	Order link.Order
	// LeaseLeft is the time, from receipt, for which the issuer still holds its
	// lease on orders.
	LeaseLeft time.Duration
}

// OrderReply holds the engine's state after the order, or a refusal.
type OrderReply struct {
	Header
	State   link.EngineState
	Refusal *contract.Refusal
}

// SyncRequest sends a configuration to a peer whose revision is lower, or asks
// for one if both Offer and Changes are empty. Header.Revision is the sender's.
type SyncRequest struct {
	Header
	Offer *config.Snapshot
	// Changes, sent instead of Offer, start after the receiver's revision.
	Changes []config.Change
}

// SyncReply holds a configuration, in Snapshot or Changes, if the receiver's revision is higher than that
// of the request.
type SyncReply struct {
	Header
	Snapshot *config.Snapshot
	// Changes, sent instead of Snapshot, start after the revision of the request.
	Changes []config.Change
}
