package contract

import "context"

// Incoming is a caller's request as decoded by a front end, before
// authentication and routing. Exactly one of Generate and Call is set.
type Incoming struct {
	// Key is the caller's key in plain text; it must not leave the entry or be
	// logged. It is empty if none was sent.
	Key string
	// Generate is set for requests to a model.
	Generate *Generate
	// Call is set for requests to a plain service; its Path is the whole path
	// of the request, route prefix included.
	Call *ServiceCall
	// IdempotencyKey is chosen by the caller; empty if none was sent.
	IdempotencyKey string
	// Refused is set if the front end refuses the request. The server does not run it: it
	// returns the outcome of an earlier request that this one repeats, or the refusal.
	Refused *Refusal
}

// Sink writes the answer to an Incoming to the caller. All methods are called
// from the goroutine that called Serve. An error means that the caller has
// disconnected.
type Sink interface {
	// WriteRequestID passes on the request's identifier. It is called first.
	WriteRequestID(id RequestID)
	// WriteChunk writes a piece of output. Chunks come in order without gaps.
	WriteChunk(chunk Chunk) error
	// WriteAnswer writes the whole answer of a plain service.
	WriteAnswer(answer ServiceAnswer) error
}

// Server serves requests for any front end.
type Server interface {
	// Serve runs one request and returns when its answer is complete or has
	// failed. The end of ctx means that the caller has disconnected; everything
	// that the request holds is then released. A nil result means that the sink
	// received the whole answer.
	Serve(ctx context.Context, in Incoming, sink Sink) *Refusal
}
