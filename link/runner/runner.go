// Package runner defines the interface to upstreams that admit work themselves and
// have no sidecar, called runners. Gateways call it. An implementation makes the calls and reports
// their results; decisions such as retries are left to the caller.
package runner

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Target identifies the upstream of a call. If another upstream has taken over the
// address, it rejects the call.
type Target struct {
	ID   upstream.ID
	Addr string
	// Born is the incarnation of its registration, see registry.Record; 0 if unknown.
	Born int64
}

// Notice is what an upstream says of itself beside an answer.
type Notice struct {
	// Leaving means that it is about to shut down.
	Leaving bool
	// Pause is how long it wants no requests, after it turned one away; 0 for no wish.
	Pause time.Duration
}

// Reach is how far a call got, which decides whether it may be repeated.
type Reach uint8

const (
	// NotSent means that no byte of the call left this process.
	NotSent Reach = iota
	// Rejected means that the upstream answered that it did not run the call.
	Rejected
	// Broken means that the call may have run, but its answer is missing or
	// incomplete.
	Broken
	// Answered means that the complete answer was received.
	Answered
)

// String returns the name used in logs.
func (r Reach) String() string {
	return [...]string{"not_sent", "rejected", "broken", "answered"}[r]
}

// Load is the load that an upstream reported with an answer.
type Load struct {
	// Running and Waiting count requests, Slots those that can run at once.
	Running, Waiting, Slots int
	// Slowness is how long work takes there at the moment, relative to the usual time: 1
	// is as usual, also for an upstream that does not report it. 0 only if not Known.
	Slowness float64
	// Known is false if the answer carried no load.
	Known bool
}

// Result is the outcome of a call.
type Result struct {
	Reach Reach
	// Status is the answer's HTTP status; 0 without an answer.
	Status int
	// Load is what the answer reported. It is empty after a stream, whose load is
	// passed to StreamReceiver.Begin.
	Load Load
	// Misdirected means that another upstream now has the address.
	Misdirected bool
	// Refused means that the TCP connection was refused: no process listens at the
	// address.
	Refused bool
	// NoRoom means that the call was not sent because this process has no room for the
	// answer.
	NoRoom bool
	// Stale means that an order's fencing number is lower than one already seen.
	Stale bool
	// Err is the cause of a failure, for logs.
	Err error
}

// Options hold what the router adds to a client's message.
type Options struct {
	Account contract.AccountID
	// Within is the time left until the request's deadline.
	Within time.Duration
	// Reservation is the id returned by Reserve; empty for none.
	Reservation string
	// Source is the KV cache of the prompt, to be fetched from the prefill engine;
	// the zero value means that there is none.
	Source Handle
	// ResumeAfter is the id of the last event that the caller received; the stream
	// continues after it. Empty starts at the beginning.
	ResumeAfter string
}

// Handle identifies a KV cache at the engine that ran the prefill.
type Handle struct {
	ID   string
	Addr string
	// Engine is the engine that keeps the KV cache, while it has the address.
	Engine upstream.ID
}

// Answer is the complete answer to a message.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Release returns what the answer holds of the process's memory. It is called once the
	// answer is delivered or dropped, at least once; nil if the answer holds nothing.
	Release func()
}

// Event is one event of a stream.
type Event struct {
	ID string
	// Raw holds the event's bytes as they were received.
	Raw []byte
}

// StreamReceiver receives a stream as it arrives. An error from a method ends the
// call.
type StreamReceiver interface {
	// Begin is called once, with the status and header of the answer and the load
	// that the upstream reported with it.
	Begin(status int, header map[string][]string, load Load) error
	// Event is called with each complete event, in order.
	Event(e Event) error
}

// Client makes calls to upstreams. Each method returns when its call has ended. When
// ctx ends, the connection is closed, and the upstream then drops the work.
type Client interface {
	// Observe sets the function that is called with each notice of an upstream, on the
	// goroutine of the call. It is called before the other methods.
	Observe(func(from Target, n Notice))
	// Reserve reserves a slot and memory for a later message, for the time ttl.
	Reserve(ctx context.Context, to Target, tokens contract.Tokens, ttl time.Duration) (id string, result Result)
	// Release ends a reservation that will not be used.
	Release(ctx context.Context, to Target, id string) Result
	// Prefill runs the prompt of a message and returns the handle of its KV cache.
	Prefill(ctx context.Context, to Target, m *contract.Message, o Options) (Handle, Result)
	// FreeHandle frees a KV cache that will not be fetched.
	FreeHandle(ctx context.Context, to Target, id string) Result
	// Call sends a message and returns its complete answer.
	Call(ctx context.Context, to Target, m *contract.Message, o Options) (Answer, Result)
	// Stream sends a message and passes the streamed answer to sink. An answer
	// that is not a stream is returned as by Call.
	Stream(ctx context.Context, to Target, m *contract.Message, o Options, sink StreamReceiver) (Answer, Result)
	// Report reads an engine's role state.
	Report(ctx context.Context, to Target) (Report, Result)
	// SetRole orders an engine to change its role.
	SetRole(ctx context.Context, to Target, order RoleOrder) Result
	// Reachable opens and closes a connection. The result is Answered if that succeeds, else
	// NotSent.
	Reachable(ctx context.Context, to Target) Result
}

// Report is the role state that an engine reports. It is some hundred milliseconds
// old.
type Report struct {
	Role upstream.Role
	// Busy means that the engine is carrying out an order.
	Busy bool
	// Orders is the number of orders that the engine accepted since its start.
	Orders uint64
}

// RoleOrder orders an engine to change its role. Of two orders, the one with the
// higher fencing number is valid.
type RoleOrder struct {
	Role upstream.Role
	// Holder and Fencing are those of the lease under which the order is sent.
	Holder  string
	Fencing uint64
	// Orders is the engine's Report.Orders on which the order is based. The engine
	// carries the order out only if its count is still the same.
	Orders uint64
}
