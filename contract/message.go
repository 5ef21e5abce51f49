package contract

import (
	"context"
	"time"
)

// Message is a caller's request that is passed on to an upstream as it came,
// whatever its content. A front end decodes only what decisions need.
type Message struct {
	// ID is the caller's own identifier of this attempt.
	ID RequestID
	// Host and Path select the route.
	Host, Path string
	// Method, Target, Header and Body are passed on unchanged. Header has no
	// field that concerns one connection only or that the system sets itself.
	Method, Target string
	Header         map[string][]string
	Body           []byte
	// Key is the caller's key in clear; it must not leave the process and must
	// not be logged.
	Key string
	// Patience is how long the caller will wait; 0 if it did not say.
	Patience time.Duration
	// Prompt and MaxOutput are the sizes that the caller declares.
	Prompt, MaxOutput Tokens
	// ExpectedOutput is the caller's own estimate of the output; 0 if none.
	ExpectedOutput Tokens
	// Sized means that Prompt and MaxOutput were declared.
	Sized bool
	// ResumeAfter is the last event that the caller has of an earlier attempt.
	ResumeAfter string
}

// MessageSink takes the answer to a Message. Its methods are called from one
// goroutine at a time; an error means that the caller is gone.
type MessageSink interface {
	// Begin gives the status and headers, before anything else.
	Begin(status int, header map[string][]string) error
	// Write gives the next bytes of the body and sends them at once.
	Write(p []byte) error
}

// Forwarder serves messages for any front end.
type Forwarder interface {
	// Forward passes one message on and returns when it is over. When ctx ends
	// the caller is gone and its work is canceled. A nil result means that the
	// sink got the whole answer; after Begin was called any other result means
	// that the answer is incomplete.
	Forward(ctx context.Context, m *Message, sink MessageSink) *Refusal
}
