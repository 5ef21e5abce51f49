package table

// HeldLocks records the table locks that one goroutine holds, in the order in which
// they were taken. Each worker has its own and passes it to every table operation;
// it must not be shared between goroutines. The zero value holds no lock.
type HeldLocks struct {
	locks []lockID
}

// lockID identifies a lock. The stripe of a Single table is 0.
type lockID struct {
	rank   Rank
	stripe int
}

// NewHeldLocks returns an empty record, for a goroutine that holds no table lock.
func NewHeldLocks() *HeldLocks {
	return &HeldLocks{}
}

// Count returns the number of locks held.
func (h *HeldLocks) Count() int {
	return len(h.locks)
}

// push records a lock. It is called before locking, so that the check of the order
// panics instead of a deadlock.
func (h *HeldLocks) push(id lockID) {
	checkOrder(h.locks, id)
	h.locks = append(h.locks, id)
}

// pop removes the most recently taken lock from the record.
func (h *HeldLocks) pop() {
	h.locks = h.locks[:len(h.locks)-1]
}
