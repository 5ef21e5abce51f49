package table

import "sync"

// Single is a shared table with one lock around one value.
type Single[V any] struct {
	rank  Rank
	mu    sync.Mutex
	value V
}

// NewSingle returns a table of the given rank around a value.
func NewSingle[V any](rank Rank, value V) *Single[V] {
	return &Single[V]{rank: rank, value: value}
}

// With calls f with the value while the lock is held. f must not block.
func (s *Single[V]) With(h *Held, f func(value *V)) {
	h.push(lockID{rank: s.rank})
	defer h.pop()
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.value)
}
