// Package bytebudget bounds the bytes that a process holds for others: messages that are
// being read or wait for a slow receiver. Many large ones, or many slow receivers, cannot use
// up its memory.
package bytebudget

import (
	"errors"
	"sync"
)

// ErrExhausted means that the bytes of all messages together reached the limit.
var ErrExhausted = errors.New("bytebudget: the bytes held reached the limit")

// Kind is what bytes are held for.
type Kind uint8

const (
	// Request is the body of a caller's request, held until the request ends.
	Request Kind = iota
	// Upload is the body of a request that an upstream has not read yet.
	Upload
	// Answer is an answer of an upstream that is being read.
	Answer
	// Delivery is an answer, or a part of one, that its caller has not read yet.
	Delivery
	kinds
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [kinds]string{"request", "upload", "answer", "delivery"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Request, Upload, Answer, Delivery}
}

// parts are the parts of the limit up to which bytes are charged: large is for all but the
// first bytes of a message, free for these, so that small messages are read while large ones
// hold the rest.
type parts struct {
	large, free float64
}

var (
	wholePart = parts{1, 5.0 / 3}
	// requestPart is less, so that the answers to requests that were accepted can be read,
	// and requests are refused rather than their answers given up.
	requestPart = parts{0.75, 1}
	// answerPart leaves room for the first bytes of requests while large answers hold the
	// rest. Without it small requests are refused as long as large answers fill the limit.
	answerPart = parts{15.0 / 16, 5.0 / 3}
)

// Budget bounds the bytes held. It is safe for concurrent use.
type Budget struct {
	limit int64
	// requests are the parts of the limit for requests, answers those for other kinds.
	requests, answers parts
	// onChange is called with whether bytes were refused last; see Observe.
	onChange func(full bool, held int64)

	// mu protects the fields below.
	mu        sync.Mutex
	held      [kinds]int64
	total     int64
	full      bool
	waits     uint64
	exhausted [kinds]uint64
	// freed is closed when bytes are returned; nil while nobody waits for it.
	freed chan struct{}
}

// New returns a budget of limit bytes for messages of one kind.
func New(limit int64) *Budget {
	return &Budget{limit: limit, requests: wholePart, answers: wholePart, onChange: func(bool, int64) {}}
}

// NewShared returns a budget of limit bytes for requests and their answers: requests may take
// three quarters of it, large answers fifteen sixteenths.
func NewShared(limit int64) *Budget {
	b := New(limit)
	b.requests, b.answers = requestPart, answerPart
	return b
}

// Observe sets the function to call when the budget becomes full, which means that bytes were
// refused, and when it is no longer full. It must be called before the first use.
func (b *Budget) Observe(onChange func(full bool, held int64)) {
	b.onChange = onChange
}

// Usage describes a budget at one moment.
type Usage struct {
	Limit int64
	// Held is by kind, as is Exhausted, the number of messages for which there was no room.
	Held      [kinds]int64
	Exhausted [kinds]uint64
	// Waits counts the times that reading was paused until bytes were returned.
	Waits uint64
}

// Usage returns what is held.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Limit: b.limit, Held: b.held, Exhausted: b.exhausted, Waits: b.waits}
	for i := range u.Held {
		// A body may be returned before the write of it to an upstream ends.
		u.Held[i] = max(0, u.Held[i])
	}
	return u
}

// Held returns the number of bytes that are charged.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// ceiling is the total up to which bytes are charged.
func (b *Budget) ceiling(kind Kind, free bool) int64 {
	p := b.answers
	if kind == Request {
		p = b.requests
	}
	if free {
		return int64(p.free * float64(b.limit))
	}
	return int64(p.large * float64(b.limit))
}

// acquire charges n bytes, or none if there is no room.
func (b *Budget) acquire(kind Kind, n int64, free bool) bool {
	b.mu.Lock()
	if b.total+n > b.ceiling(kind, free) {
		changed := !b.full
		b.full = true
		held := b.total
		b.mu.Unlock()
		if changed {
			b.onChange(true, held)
		}
		return false
	}
	b.held[kind] += n
	b.total += n
	b.mu.Unlock()
	return true
}

// normalPart is the part of the limit below which a full budget is no longer full.
const normalPart = 0.5

// release returns n bytes.
func (b *Budget) release(kind Kind, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	b.held[kind] -= n
	b.total -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
	held := b.total
	changed := b.full && float64(held) < normalPart*float64(b.limit)
	if changed {
		b.full = false
	}
	b.mu.Unlock()
	if changed {
		b.onChange(false, held)
	}
}

// Move changes what n bytes are held for.
func (b *Budget) Move(from, to Kind, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[from] -= n
	b.held[to] += n
}

// awaitFreed returns a channel that is closed when bytes are returned.
func (b *Budget) awaitFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

func (b *Budget) countWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waits++
}

func (b *Budget) countExhausted(kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exhausted[kind]++
}
