package table

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// DefaultStripes is the number of locks of a striped table.
const DefaultStripes = 64

// Striped is a shared table of rows by key, with one lock a stripe.
type Striped[K ~string, V any] struct {
	rank    Rank
	stripes []stripe[K, V]
}

type stripe[K ~string, V any] struct {
	mu   sync.Mutex
	rows map[K]V
}

// NewStriped returns an empty table of the given rank and number of stripes.
func NewStriped[K ~string, V any](rank Rank, stripes int) *Striped[K, V] {
	t := &Striped[K, V]{rank: rank, stripes: make([]stripe[K, V], stripes)}
	for i := range t.stripes {
		t.stripes[i].rows = make(map[K]V)
	}
	return t
}

// index gives the stripe of a key.
func (t *Striped[K, V]) index(key K) int {
	return int(xxhash.Sum64String(string(key)) % uint64(len(t.stripes)))
}

// With calls f with the rows of the key's stripe while its lock is held. f must
// touch only the key's own row and must not block.
func (t *Striped[K, V]) With(h *Held, key K, f func(rows map[K]V)) {
	t.withStripe(h, t.index(key), f)
}

// Each calls f for the rows of each stripe in turn, one lock at a time, so it
// sees no single moment of the whole table.
func (t *Striped[K, V]) Each(h *Held, f func(rows map[K]V)) {
	for i := range t.stripes {
		t.withStripe(h, i, f)
	}
}

// Len counts the rows, stripe by stripe.
func (t *Striped[K, V]) Len(h *Held) int {
	n := 0
	t.Each(h, func(rows map[K]V) { n += len(rows) })
	return n
}

func (t *Striped[K, V]) withStripe(h *Held, i int, f func(rows map[K]V)) {
	h.push(lockID{rank: t.rank, stripe: i})
	defer h.pop()
	s := &t.stripes[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rows)
}
