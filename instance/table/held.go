package table

// Held records the locks that one worker holds. Each worker has its own and
// passes it to every table operation; it must not be shared between goroutines.
type Held struct {
	locks []lockID
}

// lockID names one lock.
type lockID struct {
	rank   Rank
	stripe int
}

// NewHeld returns a record with no lock held.
func NewHeld() *Held {
	return &Held{}
}

// Count gives how many locks are held.
func (h *Held) Count() int {
	return len(h.locks)
}

// push records a lock that is about to be taken.
func (h *Held) push(id lockID) {
	checkOrder(h.locks, id)
	h.locks = append(h.locks, id)
}

// pop forgets the lock taken last.
func (h *Held) pop() {
	h.locks = h.locks[:len(h.locks)-1]
}
