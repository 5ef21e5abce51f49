// Package progress bounds calls whose answers may be long: a call ends when no part of its answer
// has arrived for some time, not when the whole answer takes longer than expected.
package progress

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits bound a call.
type Limits struct {
	// First is the time until the first part of the answer, Quiet that between two parts and
	// Total that from the first part to the end.
	First, Quiet, Total time.Duration
}

// ErrStalled is the cause of the end of a call that exceeded its limits. It wraps
// context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("progress: no part of the answer in time: %w", context.DeadlineExceeded)

// Call follows one call. It is safe for concurrent use; a nil Call has no answer.
type Call struct {
	limits Limits
	cancel context.CancelCauseFunc
	// outer is the call that this one is part of; nil if there is none.
	outer *Call

	mu    sync.Mutex
	timer *time.Timer
	// first is when the first part of the answer arrived, zero before.
	first time.Time
	ended bool
}

type callKey struct{}

// Start returns a context that ends when the call exceeds its limits, with ErrStalled as its
// cause. End must be called.
func Start(parent context.Context, limits Limits) (context.Context, *Call) {
	c := &Call{limits: limits, outer: callOf(parent)}
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, callKey{}, c))
	c.cancel = cancel
	c.timer = time.AfterFunc(limits.First, func() { cancel(ErrStalled) })
	return ctx, c
}

// callOf returns the innermost call of a context, nil if there is none.
func callOf(ctx context.Context) *Call {
	c, _ := ctx.Value(callKey{}).(*Call)
	return c
}

// Report records that a part of the answer to the call of ctx has arrived, and so for the calls
// that it is part of. Without a call it does nothing.
func Report(ctx context.Context) {
	now := time.Now()
	for c := callOf(ctx); c != nil; c = c.outer {
		c.report(now)
	}
}

func (c *Call) report(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.first.IsZero() {
		c.first = now
	}
	c.timer.Reset(min(c.limits.Quiet, c.limits.Total-now.Sub(c.first)))
}

// Begun reports whether part of the answer has arrived.
func (c *Call) Begun() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.first.IsZero()
}

// Took returns the time since the first part of the answer arrived, 0 if none has.
func (c *Call) Took() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first.IsZero() {
		return 0
	}
	return time.Since(c.first)
}

// End ends the call and its context.
func (c *Call) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.timer.Stop()
	c.cancel(context.Canceled)
}

// Reader returns a reader that reports what it reads from an answer to the call of ctx.
func Reader(ctx context.Context, from io.Reader) io.Reader {
	return &reader{from, ctx}
}

type reader struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		Report(r.ctx)
	}
	return n, err
}
