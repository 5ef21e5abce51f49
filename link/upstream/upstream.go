// Package upstream defines the interface between a sidecar and its upstream, which is
// a model engine or a plain service. Sidecars call it. Each sub-package implements it
// for one API, so that another engine API is another sub-package. Importers name it link,
// since the package with the model of upstreams is called upstream too.
package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Errors of calls. Every other error of this layer wraps one of them, except those
// of an emit function.
var (
	// ErrNotSent means that no byte of the call reached the upstream.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrFull means that the upstream had too little memory or too few slots; the
	// call did not run.
	ErrFull = errors.New("upstream: full")
	// ErrInterrupted means that the upstream crashed or the call was interrupted; the
	// call may have run.
	ErrInterrupted = errors.New("upstream: call interrupted")
	// ErrEvicted means that the engine has evicted the KV cache of a handle.
	ErrEvicted = errors.New("upstream: KV cache evicted")
	// ErrStaleFence means that the engine has seen a higher fencing number than
	// the order's.
	ErrStaleFence = errors.New("upstream: stale fencing number")
	// ErrUnknownCall means that the upstream does not know the call.
	ErrUnknownCall = errors.New("upstream: unknown call")
	// ErrRejected means that the upstream found the call invalid.
	ErrRejected = errors.New("upstream: call rejected")
)

// Handle identifies the KV cache of a prefill. The engine keeps it for less than a
// second.
type Handle struct {
	// ID is the engine's identifier of the KV cache.
	ID string
	// Source is the URL from which another engine imports it.
	Source string
	// Tokens and Blocks are the size of the KV cache.
	Tokens contract.Tokens
	Blocks int
}

// Prefill asks an engine for the KV cache of a prompt.
type Prefill struct {
	Call     contract.CallID
	Model    contract.ModelName
	Prompt   string
	Priority int
	// Pseudonym is sent in place of the client account.
	Pseudonym string
}

// Decode asks an engine to import a KV cache and generate from it.
type Decode struct {
	Call      contract.CallID
	Model     contract.ModelName
	Handle    Handle
	MaxTokens contract.Tokens
	Priority  int
	Pseudonym string
	// Seed makes the output reproducible.
	Seed int64
	// Offset is the index of the first token to emit; it is not 0 when a stream
	// is resumed.
	Offset contract.Tokens
}

// EngineLoad is the load that an engine reports. It may be out of date by more than
// Age.
type EngineLoad struct {
	Role             upstream.Role
	Slots, UsedSlots int
	// Blocks and UsedBlocks count KV blocks.
	Blocks     int
	UsedBlocks int
	// QueuedTokens counts prompt tokens that wait for prefill; PrefillPerSecond is
	// the prefill rate.
	QueuedTokens     contract.Tokens
	PrefillPerSecond contract.Tokens
	// LinkBlocksPerSecond is the rate of the link over which the engine imports KV
	// blocks; 0 means unlimited.
	LinkBlocksPerSecond float64
	// Epoch changes when the engine restarts.
	Epoch int64
	// Age is the age of the report as the engine states it.
	Age time.Duration
}

// OrderKind is the kind of change that an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderChangeRole  OrderKind = "change_role"
)

// Order asks an engine for a change.
type Order struct {
	Kind OrderKind
	// Fence is the fencing number, which comes from the platform's table. An order
	// from the configuration carries the configuration's revision.
	Fence   uint64
	Model   contract.ModelName
	Version string
	Role    upstream.Role
}

// EngineState is an engine's role and loaded models. It is read again after each
// order.
type EngineState struct {
	Role   upstream.Role
	Models []contract.ModelName
	// Version is the version of the model that was loaded last.
	Version string
	// Fence is the highest fencing number seen; 0 if the engine does not check it.
	Fence uint64
	Epoch int64
}

// CacheEvent reports that a prompt prefix was stored in or removed from the prefix
// cache. Events arrive late, and some are missing.
type CacheEvent struct {
	// Seq numbers the events; a gap means that events are missing.
	Seq uint64
	// Prefix is the hash of the prefix.
	Prefix uint64
	// Stored is false if the prefix was removed.
	Stored bool
}

// Engine makes calls to a model engine. It is safe for concurrent use.
type Engine interface {
	// Prefill runs a prompt and returns the handle of its KV cache.
	Prefill(ctx context.Context, p Prefill) (Handle, error)
	// Decode imports the KV cache, generates output and calls emit for each chunk
	// in order; the last has Done set. An error from emit cancels the call and is
	// returned.
	Decode(ctx context.Context, d Decode, emit func(contract.Chunk) error) error
	// Resume continues the output of a running decode from an offset.
	Resume(ctx context.Context, call contract.CallID, offset contract.Tokens, emit func(contract.Chunk) error) error
	// Cancel ends a call and frees its memory. An unknown call is not an error;
	// if it arrives later, it is refused.
	Cancel(ctx context.Context, call contract.CallID) error
	// Load reads the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// Order carries out an order. An order with an old fencing number fails with
	// ErrStaleFence if the engine checks it.
	Order(ctx context.Context, o Order) error
	// State reads the engine's role and loaded models.
	State(ctx context.Context) (EngineState, error)
	// Events reads the cache events whose Seq is higher than after.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Service makes calls to a plain service. It is safe for concurrent use.
type Service interface {
	// Call sends one call. After ErrNotSent the call did not run; after ErrInterrupted it
	// may have run.
	Call(ctx context.Context, call contract.CallID, pseudonym string, c contract.ServiceCall) (contract.ServiceAnswer, error)
	// CheckHealth returns nil if the service's health check succeeds.
	CheckHealth(ctx context.Context) error
}
