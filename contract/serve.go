package contract

import "context"

// Incoming is a caller's request as a front end decoded it, before any decision
// was made about it. Exactly one of Generate and Call is set.
type Incoming struct {
	// Key is the caller's key in clear; it must not leave the entry and must
	// not be logged. Empty when none came.
	Key string
	// Generate asks a model for output.
	Generate *Generate
	// Call asks a plain service; its Path is the whole path of the request.
	Call *ServiceCall
	// IdempotencyKey is the caller's, empty when none came.
	IdempotencyKey string
}

// Sink takes what a front end has to write to its caller. All its methods are
// called from the goroutine that called Serve. An error means that the caller
// is gone.
type Sink interface {
	// Accepted gives the request's identifier, before anything else.
	Accepted(id RequestID)
	// Generated gives a piece of output, in order and without gaps.
	Generated(chunk Chunk) error
	// Answered gives the whole answer of a plain service.
	Answered(answer ServiceAnswer) error
}

// Server serves requests for any front end.
type Server interface {
	// Serve runs one request and returns when it is over. When ctx ends the
	// caller is gone and all that the request holds is freed. A nil result
	// means that the sink got the whole answer.
	Serve(ctx context.Context, in Incoming, sink Sink) *Refusal
}
