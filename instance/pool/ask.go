package pool

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Ask submits a step and blocks until the step, or a step that follows from it,
// passes a result to answer; only the first result counts. It fails with the
// error of Submit, with the cause of ctx when ctx ends first, or with ErrClosed.
// A goroutine that serves a connection calls it to have a worker make a decision;
// steps must not call it.
func Ask[R any](ctx context.Context, p *Pool, step func(h *table.HeldLocks, answer func(R)) []Effect) (R, error) {
	result := make(chan R, 1)
	deliver := func(r R) {
		select {
		case result <- r:
		default:
		}
	}
	var zero R
	err := p.Submit(func(h *table.HeldLocks) []Effect { return step(h, deliver) })
	if err != nil {
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	case <-p.ctx.Done():
		return zero, ErrClosed
	}
}
