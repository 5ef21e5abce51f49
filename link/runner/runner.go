// Package runner is the interface to upstreams that admit work themselves, with
// no sidecar beside them. An implementation carries the calls; it decides
// nothing.
package runner

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Target is where a call goes. The upstream refuses it if it is another one
// that has the address now.
type Target struct {
	ID   upstream.ID
	Addr string
}

// Reach says how far a call got.
type Reach uint8

const (
	// NotSent means that no byte of the call left this process.
	NotSent Reach = iota
	// Rejected means that the upstream said that it did not run the call.
	Rejected
	// Broken means that the call may have run and that its answer is missing
	// or not whole.
	Broken
	// Answered means that the whole answer came.
	Answered
)

// String gives the word used in logs.
func (r Reach) String() string {
	return [...]string{"not_sent", "rejected", "broken", "answered"}[r]
}

// Load is an upstream's own count of its work.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Result is how a call ended.
type Result struct {
	Reach Reach
	// Status is the upstream's status, 0 if there was none.
	Status int
	Load   Load
	// Misdirected means that the address belongs to another upstream now.
	Misdirected bool
	// Refused means that nobody listens at the address.
	Refused bool
	// Stale means that an order's fencing number is lower than one already seen.
	Stale bool
	Err   error
}

// Options are what the system adds to a message.
type Options struct {
	Account contract.AccountID
	// Within is what is left of the request's time.
	Within time.Duration
	// Reservation names memory that was reserved for the message.
	Reservation string
	// Source is where the KV cache of the prompt waits.
	Source Handle
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Handle names a KV cache at the upstream that read the prompt.
type Handle struct {
	ID   string
	Addr string
}

// Answer is the whole answer to a message.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Event is one event of a stream with all its bytes.
type Event struct {
	ID  string
	Raw []byte
}

// StreamReceiver takes a stream as it arrives. An error ends the call.
type StreamReceiver interface {
	// Begin gives the head of the answer.
	Begin(status int, header map[string][]string) error
	// Event gives the next whole event.
	Event(e Event) error
}

// Client makes the calls. Each returns when it is over; when ctx ends the
// connection is closed, upon which upstreams drop the work.
type Client interface {
	// Reserve keeps a slot and memory free for a message that follows.
	Reserve(ctx context.Context, to Target, tokens contract.Tokens, ttl time.Duration) (id string, result Result)
	// Release gives up a reservation that will not be used.
	Release(ctx context.Context, to Target, id string) Result
	// Prefill reads the prompt of a message.
	Prefill(ctx context.Context, to Target, m *contract.Message, o Options) (Handle, Result)
	// FreeHandle drops a KV cache that nobody will fetch.
	FreeHandle(ctx context.Context, to Target, id string) Result
	// Call sends a message and returns its whole answer.
	Call(ctx context.Context, to Target, m *contract.Message, o Options) (Answer, Result)
	// Stream sends a message whose answer is a stream. An answer that is no
	// stream comes back whole.
	Stream(ctx context.Context, to Target, m *contract.Message, o Options, sink StreamReceiver) (Answer, Result)
	// Report asks an engine for its state.
	Report(ctx context.Context, to Target) (Report, Result)
	// SetRole orders an engine to change its role.
	SetRole(ctx context.Context, to Target, order RoleOrder) Result
	// Reachable reports whether the upstream still takes connections.
	Reachable(ctx context.Context, to Target) error
}

// Report is an engine's own account of its state, as of some hundred
// milliseconds ago.
type Report struct {
	Role upstream.Role
	// Busy means that an order is being carried out.
	Busy bool
	// Orders counts the orders that it accepted since its start.
	Orders uint64
}

// RoleOrder orders a change of role. Of two orders the one with the higher
// fencing number stands.
type RoleOrder struct {
	Role    upstream.Role
	Holder  string
	Fencing uint64
	// Orders is the count of accepted orders at which this one may be carried
	// out.
	Orders uint64
}
