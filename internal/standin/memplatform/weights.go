package memplatform

import (
	"context"
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// maxWeightRead bounds the bytes that one read of weights returns.
const maxWeightRead = 64 << 10

// Weights is a store of model weights, all zeros, whose readers share one rate
// limit. It implements platform.Weights and is safe for concurrent use.
type Weights struct {
	faults *Faults

	mu    sync.Mutex
	sizes map[string]int64
	limit *rate.Limiter
}

// NewWeights returns an empty weight store without a rate limit, whose calls are
// subject to faults.
func NewWeights(faults *Faults) *Weights {
	return &Weights{faults: faults, sizes: make(map[string]int64), limit: rate.NewLimiter(rate.Inf, maxWeightRead)}
}

// SetSize adds a model, or changes the size of its weights in bytes.
func (w *Weights) SetSize(model string, size int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes[model] = size
}

// SetRate limits all readers together, in bytes per second.
func (w *Weights) SetRate(bytesPerSecond int64) {
	w.limit.SetLimit(rate.Limit(bytesPerSecond))
}

// Fetch implements platform.Weights. Reads of the body fail when ctx ends.
func (w *Weights) Fetch(ctx context.Context, model string) (body io.ReadCloser, err error) {
	err = w.faults.read(ctx, func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		size, ok := w.sizes[model]
		if !ok {
			return fmt.Errorf("%w: weights of %q", platform.ErrNotFound, model)
		}
		body = io.NopCloser(&weightReader{ctx: ctx, limit: w.limit, left: size})
		return nil
	})
	return body, err
}

// weightReader returns zeros at the store's rate.
type weightReader struct {
	ctx   context.Context
	limit *rate.Limiter
	left  int64
}

// Read implements io.Reader.
func (r *weightReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), r.left, maxWeightRead))
	if err := r.limit.WaitN(r.ctx, n); err != nil {
		return 0, err
	}
	clear(p[:n])
	r.left -= int64(n)
	return n, nil
}
