package engineapi

import (
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Paths of an engine.
const (
	PathPrefill = "/v1/prefill"
	PathDecode  = "/v1/decode"
	PathResume  = "/v1/resume"
	PathCancel  = "/v1/cancel"
	PathLoad    = "/v1/load"
	PathState   = "/v1/state"
	PathOrders  = "/v1/orders"
	PathEvents  = "/v1/events"
	PathHealth  = "/health"
)

// ParamAfter is the query parameter of PathEvents.
const ParamAfter = "after"

// Call is contract.CallID in JSON.
type Call struct {
	Request contract.RequestID `json:"request"`
	Attempt contract.Attempt   `json:"attempt"`
}

// PrefillRequest asks for the KV cache of a prompt.
type PrefillRequest struct {
	Call     Call               `json:"call"`
	Model    contract.ModelName `json:"model"`
	Prompt   string             `json:"prompt"`
	Priority int                `json:"priority"`
	User     string             `json:"user"`
}

// Handle names a KV cache.
type Handle struct {
	ID     string          `json:"id"`
	Source string          `json:"source"`
	Tokens contract.Tokens `json:"tokens"`
	Blocks int             `json:"blocks"`
}

// DecodeRequest asks for output.
type DecodeRequest struct {
	Call      Call               `json:"call"`
	Model     contract.ModelName `json:"model"`
	Handle    Handle             `json:"handle"`
	MaxTokens contract.Tokens    `json:"max_tokens"`
	Priority  int                `json:"priority"`
	User      string             `json:"user"`
	Seed      int64              `json:"seed"`
	Offset    contract.Tokens    `json:"offset"`
}

// ResumeRequest asks for the rest of a running decode.
type ResumeRequest struct {
	Call   Call            `json:"call"`
	Offset contract.Tokens `json:"offset"`
}

// CancelRequest ends a call.
type CancelRequest struct {
	Call Call `json:"call"`
}

// Event is one line of a stream. The first has only Call; each after it carries
// output, and the last has either Done or Error.
type Event struct {
	Call   *Call           `json:"call,omitempty"`
	Offset contract.Tokens `json:"offset"`
	Texts  []string        `json:"texts,omitempty"`
	Done   bool            `json:"done,omitempty"`
	Usage  *Usage          `json:"usage,omitempty"`
	Error  *Error          `json:"error,omitempty"`
}

// Usage is contract.Usage in JSON.
type Usage struct {
	PromptTokens contract.Tokens `json:"prompt_tokens"`
	OutputTokens contract.Tokens `json:"output_tokens"`
}

// Load is an engine's report.
type Load struct {
	Role                string          `json:"role"`
	Slots               int             `json:"slots"`
	UsedSlots           int             `json:"used_slots"`
	Blocks              int             `json:"blocks"`
	UsedBlocks          int             `json:"used_blocks"`
	QueuedTokens        contract.Tokens `json:"queued_tokens"`
	PrefillPerSecond    contract.Tokens `json:"prefill_per_second"`
	LinkBlocksPerSecond float64         `json:"link_blocks_per_second"`
	Epoch               int64           `json:"epoch"`
	AgeMillis           int64           `json:"age_ms"`
}

// Order changes an engine.
type Order struct {
	Kind    link.OrderKind     `json:"kind"`
	Fence   uint64             `json:"fence"`
	Model   contract.ModelName `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
	Role    string             `json:"role,omitempty"`
}

// State is what an engine holds.
type State struct {
	Role    string               `json:"role"`
	Models  []contract.ModelName `json:"models"`
	Version string               `json:"version"`
	Fence   uint64               `json:"fence"`
	Epoch   int64                `json:"epoch"`
}

// EventsReply carries cache events.
type EventsReply struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent is link.CacheEvent in JSON.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// Code names an engine's error.
type Code string

// Codes of errors.
const (
	CodeFull        Code = "full"
	CodeEvicted     Code = "evicted"
	CodeStaleFence  Code = "stale_fence"
	CodeUnknownCall Code = "unknown_call"
	CodeRejected    Code = "rejected"
	CodeCanceled    Code = "canceled"
)

// Error is an engine's error.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// ErrorReply is the body of an answer that is not a success.
type ErrorReply struct {
	Error Error `json:"error"`
}

// codes pairs an engine's codes with HTTP statuses and the errors of this layer.
var codes = map[Code]struct {
	status int
	err    error
}{
	CodeFull:        {http.StatusTooManyRequests, link.ErrFull},
	CodeEvicted:     {http.StatusGone, link.ErrEvicted},
	CodeStaleFence:  {http.StatusConflict, link.ErrStaleFence},
	CodeUnknownCall: {http.StatusNotFound, link.ErrUnknownCall},
	CodeRejected:    {http.StatusBadRequest, link.ErrRejected},
	CodeCanceled:    {http.StatusConflict, link.ErrGone},
}

// Status gives the HTTP status that goes with a code.
func (c Code) Status() int {
	if known, ok := codes[c]; ok {
		return known.status
	}
	return http.StatusInternalServerError
}

func encodeOrder(o link.Order) Order {
	q := Order{Kind: o.Kind, Fence: o.Fence, Model: o.Model, Version: o.Version}
	if o.Role != 0 {
		q.Role = o.Role.String()
	}
	return q
}

func (l Load) decode() link.EngineLoad {
	role, _ := upstream.ParseRole(l.Role)
	return link.EngineLoad{
		Role:                role,
		Slots:               l.Slots,
		UsedSlots:           l.UsedSlots,
		Blocks:              l.Blocks,
		UsedBlocks:          l.UsedBlocks,
		QueuedTokens:        l.QueuedTokens,
		PrefillPerSecond:    l.PrefillPerSecond,
		LinkBlocksPerSecond: l.LinkBlocksPerSecond,
		Epoch:               l.Epoch,
		Age:                 time.Duration(l.AgeMillis) * time.Millisecond,
	}
}

func (s State) decode() link.EngineState {
	role, _ := upstream.ParseRole(s.Role)
	return link.EngineState{Role: role, Models: s.Models, Version: s.Version, Fence: s.Fence, Epoch: s.Epoch}
}
