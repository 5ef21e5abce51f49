package pool

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Ask queues a step from outside and waits for the value it leads to, which the
// step or one of its later steps gives to answer, once. Links use it: the
// goroutine that serves a connection waits, the workers decide.
func Ask[R any](ctx context.Context, p *Pool, step func(h *table.Held, answer func(R)) []Effect) (R, error) {
	answers := make(chan R, 1)
	give := func(r R) {
		select {
		case answers <- r:
		default:
		}
	}
	var none R
	err := p.Submit(func(h *table.Held) []Effect { return step(h, give) })
	if err != nil {
		return none, err
	}
	select {
	case r := <-answers:
		return r, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	case <-p.ctx.Done():
		return none, ErrClosed
	}
}
