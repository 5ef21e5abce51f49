//go:build lockcheck

package table

import "fmt"

// OrderChecked reports whether this build checks the lock order.
const OrderChecked = true

// checkOrder panics if next may not be taken while the locks in held are held.
func checkOrder(held []lockID, next lockID) {
	if len(held) == 0 {
		return
	}
	last := held[len(held)-1]
	inOrder := next.rank > last.rank || (next.rank == last.rank && next.stripe > last.stripe)
	if !inOrder {
		panic(fmt.Sprintf("lock order: %v stripe %d taken while %v stripe %d is held",
			next.rank, next.stripe, last.rank, last.stripe))
	}
}
