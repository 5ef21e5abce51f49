//go:build !lockcheck

package table

// OrderChecked reports whether this build checks the lock order.
const OrderChecked = false

// checkOrder does nothing without the lockcheck build tag.
func checkOrder([]lockID, lockID) {}
