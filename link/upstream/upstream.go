// Package upstream is the interface between a sidecar and the upstream beside
// it: a model engine or a plain service. Encodings are sub-packages; another
// engine API is one more of them.
package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Errors of this layer. Others wrap one of them.
var (
	// ErrNotSent means that no byte reached the upstream.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrFull means that the upstream refused for want of memory or slots;
	// nothing ran.
	ErrFull = errors.New("upstream: full")
	// ErrGone means that the upstream died or broke off: the call may have run.
	ErrGone = errors.New("upstream: gone")
	// ErrEvicted means that the KV cache of a handle is no longer there.
	ErrEvicted = errors.New("upstream: KV cache evicted")
	// ErrStaleFence means that an order's fencing number is old.
	ErrStaleFence = errors.New("upstream: stale fencing number")
	// ErrUnknownCall means that the upstream does not know the call.
	ErrUnknownCall = errors.New("upstream: unknown call")
	// ErrRejected means that the upstream found the call itself wrong.
	ErrRejected = errors.New("upstream: call rejected")
)

// Handle names a prefill's KV cache, kept by the engine for under a second.
type Handle struct {
	// ID is the engine's name for the KV cache.
	ID string
	// Source is the URL from which another engine imports it.
	Source string
	// Tokens and Blocks are its size.
	Tokens contract.Tokens
	Blocks int
}

// Prefill asks an engine for the KV cache of a prompt.
type Prefill struct {
	Call     contract.CallID
	Model    contract.ModelName
	Prompt   string
	Priority int
	// Pseudonym stands for the client account.
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
	// Seed makes the output repeatable.
	Seed int64
	// Offset is the first token wanted, for streams that resume.
	Offset contract.Tokens
}

// EngineLoad is an engine's own report, which lags.
type EngineLoad struct {
	Role             upstream.Role
	Slots, UsedSlots int
	Blocks           int
	UsedBlocks       int
	QueuedTokens     contract.Tokens
	PrefillPerSecond contract.Tokens
	// LinkBlocksPerSecond is the rate of the KV import link.
	LinkBlocksPerSecond float64
	// Epoch changes when the engine restarts.
	Epoch int64
	Age   time.Duration
}

// OrderKind says what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderChangeRole  OrderKind = "change_role"
)

// Order changes an engine. Fence is the fencing number from the table.
type Order struct {
	Kind    OrderKind
	Fence   uint64
	Model   contract.ModelName
	Version string
	Role    upstream.Role
}

// EngineState is what an engine holds, re-read after each order.
type EngineState struct {
	Role   upstream.Role
	Models []contract.ModelName
	// Version is that of the model loaded last.
	Version string
	// Fence is the highest number seen by engines that check it, else 0.
	Fence uint64
	Epoch int64
}

// CacheEvent tells of a prompt prefix that entered or left the cache. Events
// come late and with gaps: Seq shows these.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Stored bool
}

// Engine is a model engine.
type Engine interface {
	// Prefill runs a prompt and returns the handle of its KV cache.
	Prefill(ctx context.Context, p Prefill) (Handle, error)
	// Decode imports, generates and calls emit for each piece of output in
	// order; the last has Done set. An error from emit ends the call.
	Decode(ctx context.Context, d Decode, emit func(contract.Chunk) error) error
	// Resume continues the output of a running decode from an offset.
	Resume(ctx context.Context, call contract.CallID, offset contract.Tokens, emit func(contract.Chunk) error) error
	// Cancel ends a call and frees its memory; an unknown call is no error.
	Cancel(ctx context.Context, call contract.CallID) error
	// Load reads the engine's report.
	Load(ctx context.Context) (EngineLoad, error)
	// Order changes the engine.
	Order(ctx context.Context, o Order) error
	// State reads what the engine holds.
	State(ctx context.Context) (EngineState, error)
	// Events reads cache events after a sequence number.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Service is a plain service.
type Service interface {
	// Call sends one call. ErrNotSent: nothing ran; ErrGone: it may have run.
	Call(ctx context.Context, call contract.CallID, pseudonym string, c contract.ServiceCall) (contract.ServiceAnswer, error)
	// Healthy reads the service's health.
	Healthy(ctx context.Context) error
}
