package contract

import (
	"context"
	"slices"
	"time"
)

// Message is a caller's request that a gateway forwards to an upstream unchanged.
// The front end decodes only the fields that routing and admission need. Entries
// use Incoming and Request instead.
type Message struct {
	// ID is the caller's identifier of this attempt; it differs if the caller
	// sends the same request again.
	ID RequestID
	// Host and Path select the route.
	Host, Path string
	// Method, Target, Header and Body are forwarded unchanged. Header contains
	// no hop-by-hop fields and none that the gateway adds for the upstream.
	Method, Target string
	Header         map[string][]string
	Body           []byte
	// Key is the caller's key in plain text; it must not leave the process or
	// be logged.
	Key string
	// CallerTimeout is the timeout that the caller declares, after which it no longer
	// waits for the answer; 0 if the caller sent none.
	CallerTimeout time.Duration
	// Prompt and MaxOutput are the sizes that the caller declares, valid if
	// Sized is set.
	Prompt, MaxOutput Tokens
	// ExpectedOutput is the caller's estimate of the output; 0 if none.
	ExpectedOutput Tokens
	// Sized reports whether the caller declared Prompt and MaxOutput.
	Sized bool
	// Parts lists the parts of the prompt that the caller declares, in order. Requests
	// share parts; the last one belongs to the request or its session alone.
	Parts []PromptPart
	// ResumeAfter is the identifier of the last event that the caller received
	// in an earlier attempt; empty if none.
	ResumeAfter string
}

// MaxPromptParts bounds the parts kept of a message; the last one is always kept.
const MaxPromptParts = 64

// PromptPart is one part of a prompt. Equal parts of different requests have the same ID.
type PromptPart struct {
	ID     PartID
	Tokens Tokens
}

// SharedParts returns the IDs of the parts that other requests may have too, without
// repeats, in ascending order.
func (m *Message) SharedParts() []PartID {
	if len(m.Parts) < 2 {
		return nil
	}
	ids := make([]PartID, 0, len(m.Parts)-1)
	for _, part := range m.Parts[:len(m.Parts)-1] {
		ids = append(ids, part.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// MessageSink writes the answer to a Message to the caller. Its methods are
// called from one goroutine at a time; an error means that the caller has
// disconnected.
type MessageSink interface {
	// Begin writes the status and headers. It is called once, before Write.
	Begin(status int, header map[string][]string) error
	// Write sends the next bytes of the body without buffering them.
	Write(p []byte) error
}

// Forwarder forwards messages to upstreams for any front end.
type Forwarder interface {
	// Forward forwards one message and returns when its answer is complete or
	// has failed. The end of ctx means that the caller has disconnected and
	// cancels the work. A nil result means that the sink received the whole
	// answer; any other result after Begin means that the answer is incomplete.
	Forward(ctx context.Context, m *Message, sink MessageSink) *Refusal
}
