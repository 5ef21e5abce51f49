package fair

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// FIFO is the baseline: first come first served, whoever asks.
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
		return full()
	}
	f.items = append(f.items, item)
	return nil
}

// Pop implements Queue.
func (f *FIFO) Pop(now time.Time) (item Item, ok bool) {
	for i := range f.items {
		if !f.items[i].over(now) {
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
	var over []Item
	f.items = slices.DeleteFunc(f.items, func(i Item) bool {
		if i.over(now) {
			over = append(over, i)
			return true
		}
		return false
	})
	return over
}

// Len implements Queue.
func (f *FIFO) Len() int {
	return len(f.items)
}
