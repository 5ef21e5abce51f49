package fair

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// FIFO serves requests in the order of their arrival, regardless of account and
// target. It is the baseline for comparison with Weighted.
type FIFO struct {
	limit int
	items []Item
}

// NewFIFO returns an empty queue.
func NewFIFO(limit int) *FIFO {
	return &FIFO{limit: limit}
}

// Push implements Queue.
func (f *FIFO) Push(_ time.Time, item Item) *contract.Refusal {
	if len(f.items) >= f.limit {
		return refuseFull()
	}
	f.items = append(f.items, item)
	return nil
}

// Pop implements Queue.
func (f *FIFO) Pop(now time.Time) (item Item, ok bool) {
	for i := range f.items {
		if !f.items[i].expired(now) {
			item = f.items[i]
			f.items = slices.Delete(f.items, i, i+1)
			return item, true
		}
	}
	return Item{}, false
}

// Remove implements Queue.
func (f *FIFO) Remove(id contract.RequestID) bool {
	before := len(f.items)
	f.items = slices.DeleteFunc(f.items, func(i Item) bool { return i.Request == id })
	return len(f.items) < before
}

// Expire implements Queue.
func (f *FIFO) Expire(now time.Time) []Item {
	var expired []Item
	f.items = slices.DeleteFunc(f.items, func(i Item) bool {
		if i.expired(now) {
			expired = append(expired, i)
			return true
		}
		return false
	})
	return expired
}

// Len implements Queue.
func (f *FIFO) Len() int {
	return len(f.items)
}
