package bytebudget

import (
	"io"
	"sync/atomic"
	"time"
)

// readBytes bounds one read, so that a large buffer does not need much of the budget.
const readBytes = 32 << 10

// Reader charges what it reads to a budget. It acquires the whole buffer before a read and
// returns the unused part after it. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	budget *Budget
	kind   Kind
	// free is the number of bytes of each message that are read although large messages
	// hold the rest, used how many of them were read.
	free, used int64
	charged    int64
	// prepaid bytes are charged and not read yet.
	prepaid int64
	// patience is how long the reader waits for room for a message, left how long it still
	// does for this one, at most until done.
	patience, left time.Duration
	done           <-chan struct{}
	// pause is pauseFor, except in tests.
	pause func(most time.Duration, freed, done <-chan struct{}) (took time.Duration, ended bool)
}

// NewReader returns a reader of source. The first free bytes are read although large messages
// hold the rest of the budget, so that small messages are.
func NewReader(source io.Reader, budget *Budget, kind Kind, free int64) *Reader {
	return &Reader{source: source, budget: budget, kind: kind, free: free, pause: pauseFor}
}

// WaitForRoom makes the reader pause when there is no room, for at most patience in all for
// each message and until done is closed. The sender is not read meanwhile.
func (r *Reader) WaitForRoom(patience time.Duration, done <-chan struct{}) *Reader {
	r.patience, r.left, r.done = patience, patience, done
	return r
}

// SetSource sets what to read from, for a reader that was made before it is known.
func (r *Reader) SetSource(source io.Reader) {
	r.source = source
}

// Prepay charges n bytes in all before the message is read, and reports false and charges none
// of them if there is no room. The reader does not wait for it.
func (r *Reader) Prepay(n int64) bool {
	more := n - r.prepaid
	if more > 0 && !r.budget.acquire(r.kind, more, n <= r.free) {
		return false
	}
	r.prepaid = max(n, r.prepaid)
	return true
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	free := r.free > 0 && r.used <= r.free
	most := int64(readBytes)
	if free {
		// One byte more shows the end of a message that has just the free bytes.
		most = min(most, r.free-r.used+1)
	}
	p = p[:min(int64(len(p)), most)]
	prepaid := min(r.prepaid, int64(len(p)))
	if err := r.acquire(int64(len(p))-prepaid, free); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.charged += int64(n)
	if free {
		r.used += int64(n)
	}
	r.prepaid -= min(prepaid, int64(n))
	r.budget.release(r.kind, int64(len(p))-max(prepaid, int64(n)))
	return n, err
}

// acquire charges n bytes, after a wait if the reader may wait.
func (r *Reader) acquire(n int64, free bool) error {
	if n == 0 || r.budget.acquire(r.kind, n, free) {
		return nil
	}
	if r.charged+r.prepaid+n > r.budget.ceiling(r.kind, free) {
		r.left = 0 // there is no room even if all others return theirs
	}
	if r.left > 0 {
		r.budget.countWait()
	}
	for r.left > 0 {
		// The channel is taken before the next attempt, so that no return is missed.
		freed := r.budget.awaitFreed()
		if r.budget.acquire(r.kind, n, free) {
			return nil
		}
		took, ended := r.pause(r.left, freed, r.done)
		r.left -= took
		if ended {
			r.left = 0
			break
		}
		// The pause may take longer than the time left on a busy machine, although room
		// was returned in time.
		if r.left <= 0 && r.budget.acquire(r.kind, n, free) {
			return nil
		}
	}
	r.budget.countExhausted(r.kind)
	return ErrExhausted
}

// pauseFor waits until freed is closed, for at most the given time. It reports how long that
// took, and whether done was closed instead.
func pauseFor(most time.Duration, freed, done <-chan struct{}) (took time.Duration, ended bool) {
	start := time.Now()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	case <-done:
		ended = true
	}
	return time.Since(start), ended
}

// Charged returns the number of bytes that the reader holds.
func (r *Reader) Charged() int64 {
	return r.charged
}

// PrepayOrWait is like Prepay for a message whose length is known, and waits for room. Then no
// part of a message is held while the rest waits.
func (r *Reader) PrepayOrWait(n int64) error {
	if err := r.acquire(max(0, n-r.prepaid), false); err != nil {
		return err
	}
	r.prepaid = max(n, r.prepaid)
	return nil
}

// Release returns all charged bytes to the budget. The next message has its free bytes and its
// patience again: a long stream is not given up for the sum of its waits.
func (r *Reader) Release() {
	r.budget.release(r.kind, r.charged+r.prepaid)
	r.charged, r.used, r.prepaid, r.left = 0, 0, 0, r.patience
}

// Keep takes the bytes that were read from the reader and holds them for another kind.
func (r *Reader) Keep(kind Kind) *Hold {
	h := &Hold{budget: r.budget, kind: kind}
	h.bytes.Store(r.charged)
	r.budget.Move(r.kind, kind, r.charged)
	r.charged = 0
	r.Release()
	return h
}

// Hold is a number of charged bytes. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	kind   Kind
	bytes  atomic.Int64
}

// Release returns the bytes; a second call has no effect.
func (h *Hold) Release() {
	h.budget.release(h.kind, h.bytes.Swap(0))
}
