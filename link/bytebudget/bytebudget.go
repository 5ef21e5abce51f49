// Package bytebudget bounds the bytes that a process holds of all messages that are being
// read at the same time, so that many large ones cannot use up its memory.
package bytebudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted means that the bytes of all messages together reached the limit.
var ErrExhausted = errors.New("bytebudget: the bytes held reached the limit")

// Budget bounds the bytes held. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Held returns the number of bytes that are charged.
func (b *Budget) Held() int64 {
	return b.held.Load()
}

// acquire charges n bytes, or charges none and returns ErrExhausted.
func (b *Budget) acquire(n int64) error {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return ErrExhausted
	}
	return nil
}

// readBytes bounds one read, so that a large buffer does not need much of the budget.
const readBytes = 32 << 10

// Reader charges what it reads to a budget. It acquires the whole buffer before a read and
// returns the unused part after it. It is not safe for concurrent use.
type Reader struct {
	source  io.Reader
	budget  *Budget
	free    int64
	charged int64
}

// NewReader returns a reader of source that charges all bytes but the first free ones, so
// that small messages are read whatever others hold.
func NewReader(source io.Reader, budget *Budget, free int64) *Reader {
	return &Reader{source: source, budget: budget, free: free}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.free > 0 {
		n, err := r.source.Read(p[:min(int64(len(p)), r.free)])
		r.free -= int64(n)
		return n, err
	}
	p = p[:min(len(p), readBytes)]
	if err := r.budget.acquire(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.charged += int64(n)
	r.budget.held.Add(int64(n - len(p)))
	return n, err
}

// Release returns all charged bytes to the budget.
func (r *Reader) Release() {
	r.budget.held.Add(-r.charged)
	r.charged = 0
}
