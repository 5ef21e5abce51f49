package engineapi

import (
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Paths of an engine's API.
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

// ParamAfter is the query parameter of PathEvents for the sequence number after which
// events are returned.
const ParamAfter = "after"

// Call is the JSON form of contract.CallID.
type Call struct {
	Request contract.RequestID `json:"request"`
	Attempt contract.Attempt   `json:"attempt"`
}

// PrefillRequest is the body of PathPrefill. User is the client account's pseudonym.
type PrefillRequest struct {
	Call     Call               `json:"call"`
	Model    contract.ModelName `json:"model"`
	Prompt   string             `json:"prompt"`
	Priority int                `json:"priority"`
	User     string             `json:"user"`
}

// Handle is the JSON form of link.Handle and the reply of PathPrefill.
type Handle struct {
	ID     string          `json:"id"`
	Source string          `json:"source"`
	Tokens contract.Tokens `json:"tokens"`
	Blocks int             `json:"blocks"`
}

// DecodeRequest is the body of PathDecode. User is the client account's pseudonym.
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

// ResumeRequest is the body of PathResume. Offset is the index of the first token to
// send.
type ResumeRequest struct {
	Call   Call            `json:"call"`
	Offset contract.Tokens `json:"offset"`
}

// CancelRequest is the body of PathCancel.
type CancelRequest struct {
	Call Call `json:"call"`
}

// Event is one line of a stream. The first has only Call; each later one carries
// output, and the last has either Done or Error. Offset is the index of the first
// token of Texts.
type Event struct {
	Call   *Call           `json:"call,omitempty"`
	Offset contract.Tokens `json:"offset"`
	Texts  []string        `json:"texts,omitempty"`
	Done   bool            `json:"done,omitempty"`
	Usage  *Usage          `json:"usage,omitempty"`
	Error  *Error          `json:"error,omitempty"`
}

// Usage is the JSON form of contract.Usage.
type Usage struct {
	PromptTokens contract.Tokens `json:"prompt_tokens"`
	OutputTokens contract.Tokens `json:"output_tokens"`
}

// Load is the reply of PathLoad, the JSON form of link.EngineLoad.
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

// Order is the body of PathOrders, the JSON form of link.Order.
type Order struct {
	Kind    link.OrderKind     `json:"kind"`
	Fence   uint64             `json:"fence"`
	Model   contract.ModelName `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
	Role    string             `json:"role,omitempty"`
}

// State is the reply of PathState, the JSON form of link.EngineState.
type State struct {
	Role    string               `json:"role"`
	Models  []contract.ModelName `json:"models"`
	Version string               `json:"version"`
	Fence   uint64               `json:"fence"`
	Epoch   int64                `json:"epoch"`
}

// EventsReply is the reply of PathEvents.
type EventsReply struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent is the JSON form of link.CacheEvent.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// Code is the kind of an engine's error.
type Code string

// Codes of errors, each with its HTTP status and error in errorCodes.
const (
	CodeFull        Code = "full"
	CodeEvicted     Code = "evicted"
	CodeStaleFence  Code = "stale_fence"
	CodeUnknownCall Code = "unknown_call"
	CodeRejected    Code = "rejected"
	CodeCanceled    Code = "canceled"
)

// Error is an error that an engine reports.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// ErrorReply is the body of a response with another status than 200.
type ErrorReply struct {
	Error Error `json:"error"`
}

// errorCodes maps each code to its HTTP status and its error in package link/upstream.
var errorCodes = map[Code]struct {
	status int
	err    error
}{
	CodeFull:        {http.StatusTooManyRequests, link.ErrFull},
	CodeEvicted:     {http.StatusGone, link.ErrEvicted},
	CodeStaleFence:  {http.StatusConflict, link.ErrStaleFence},
	CodeUnknownCall: {http.StatusNotFound, link.ErrUnknownCall},
	CodeRejected:    {http.StatusBadRequest, link.ErrRejected},
	CodeCanceled:    {http.StatusConflict, link.ErrInterrupted},
}

// Status returns the HTTP status for a code; 500 for an unknown one.
func (c Code) Status() int {
	if known, ok := errorCodes[c]; ok {
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
