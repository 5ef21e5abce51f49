package table

import "sync"

// Single is a shared table of one value guarded by one lock. Create it with
// NewSingle.
type Single[V any] struct {
	rank  Rank
	mu    sync.Mutex
	value V
}

// NewSingle returns a table of the given rank that holds value. The caller must not
// access what value refers to except through With.
func NewSingle[V any](rank Rank, value V) *Single[V] {
	return &Single[V]{rank: rank, value: value}
}

// With calls f with the value while the lock is held. f must not block and must not
// keep the pointer. The lock is released when f panics, too.
func (s *Single[V]) With(h *HeldLocks, f func(value *V)) {
	h.push(lockID{rank: s.rank})
	defer h.pop()
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.value)
}
