//go:build lockcheck

package table

import "fmt"

// OrderChecked says whether this build checks the order of locks.
const OrderChecked = true

// checkOrder panics when a lock is taken out of order.
func checkOrder(held []lockID, next lockID) {
	if len(held) == 0 {
		return
	}
	last := held[len(held)-1]
	rising := next.rank > last.rank || (next.rank == last.rank && next.stripe > last.stripe)
	if !rising {
		panic(fmt.Sprintf("lock order: %v stripe %d taken while %v stripe %d is held",
			next.rank, next.stripe, last.rank, last.stripe))
	}
}
