package table

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// DefaultStripes is the usual number of stripes of a striped table.
const DefaultStripes = 64

// Striped is a shared map from keys to rows, divided by the hash of the key into
// stripes with one lock each. Create it with NewStriped.
type Striped[K ~string, V any] struct {
	rank    Rank
	stripes []stripe[K, V]
}

type stripe[K ~string, V any] struct {
	mu   sync.Mutex
	rows map[K]V
}

// NewStriped returns an empty table of the given rank. stripes must be at least 1.
func NewStriped[K ~string, V any](rank Rank, stripes int) *Striped[K, V] {
	t := &Striped[K, V]{rank: rank, stripes: make([]stripe[K, V], stripes)}
	for i := range t.stripes {
		t.stripes[i].rows = make(map[K]V)
	}
	return t
}

// stripeIndex returns the index of the stripe that holds the key.
func (t *Striped[K, V]) stripeIndex(key K) int {
	return int(xxhash.Sum64String(string(key)) % uint64(len(t.stripes)))
}

// With calls f with the rows of the key's stripe while its lock is held. f must
// access only the row of the key and must not block. The lock is released when f
// panics, too.
func (t *Striped[K, V]) With(h *HeldLocks, key K, f func(rows map[K]V)) {
	t.withStripe(h, t.stripeIndex(key), f)
}

// Each calls f with the rows of each stripe in turn. It holds one stripe's lock at a
// time, so the calls together are not a consistent snapshot of the table.
func (t *Striped[K, V]) Each(h *HeldLocks, f func(rows map[K]V)) {
	for i := range t.stripes {
		t.withStripe(h, i, f)
	}
}

// Len returns the number of rows. Like Each, it locks one stripe at a time, so the
// number is approximate while other goroutines write.
func (t *Striped[K, V]) Len(h *HeldLocks) int {
	n := 0
	t.Each(h, func(rows map[K]V) { n += len(rows) })
	return n
}

func (t *Striped[K, V]) withStripe(h *HeldLocks, i int, f func(rows map[K]V)) {
	h.push(lockID{rank: t.rank, stripe: i})
	defer h.pop()
	s := &t.stripes[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rows)
}
