// Package fair orders the requests that wait at an entry for capacity of the
// upstreams. Queues are plain objects: they live in the shared table of rank
// queue and are called while its lock is held.
package fair

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Item is a waiting request.
type Item struct {
	Request contract.RequestID
	Account contract.AccountID
	// Weight is the account's share where upstreams are full; under 1 counts
	// as 1.
	Weight int
	Cost   contract.Tokens
	// Arrived is when the request came.
	Arrived time.Time
	// StartBy is the latest start that still meets the latency target; zero
	// means that there is no target.
	StartBy time.Time
	// GiveUpAt is when the request must be refused; zero means never.
	GiveUpAt time.Time
	// Patient requests stay in the queue after StartBy.
	Patient bool
	// Resumed requests have part of their answer already: they come first in
	// their account's line and are never late.
	Resumed bool
}

// late reports whether the item can no longer meet its target.
func (i *Item) late(now time.Time) bool {
	return !i.Resumed && !i.StartBy.IsZero() && now.After(i.StartBy)
}

// over reports whether the item must be refused.
func (i *Item) over(now time.Time) bool {
	if !i.GiveUpAt.IsZero() && !now.Before(i.GiveUpAt) {
		return true
	}
	return !i.Patient && i.late(now)
}

// Queue holds waiting requests. Requests that Expire returns did not run.
type Queue interface {
	// Push adds a request, or refuses it when the queue is full.
	Push(now time.Time, item Item) *contract.Refusal
	// Pop takes the request that is next; ok is false if none may start.
	Pop(now time.Time) (item Item, ok bool)
	// Remove takes out a request whose caller left.
	Remove(id contract.RequestID) bool
	// Expire takes out the requests to refuse: those whose GiveUpAt has passed,
	// those that can no longer meet their target and are not patient, and those
	// that had to make room for another account.
	Expire(now time.Time) []Item
	// Len counts the waiting requests.
	Len() int
}

// Names of the queues.
const (
	QueueWeighted = "weighted"
	QueueFIFO     = "fifo"
)

// DefaultLimit is the number of waiting requests at one entry.
const DefaultLimit = 1024

// ErrUnknownQueue means that the settings name a queue that does not exist.
var ErrUnknownQueue = errors.New("fair: unknown queue")

// New returns the queue of the given name; a limit under 1 means DefaultLimit.
func New(name string, limit int) (Queue, error) {
	if limit < 1 {
		limit = DefaultLimit
	}
	switch name {
	case QueueWeighted:
		return NewWeighted(limit), nil
	case QueueFIFO:
		return NewFIFO(limit), nil
	default:
		return nil, fmt.Errorf("%w: %q", ErrUnknownQueue, name)
	}
}

// Maker returns a function that makes queues of the given name.
func Maker(name string, limit int) (func() Queue, error) {
	if _, err := New(name, limit); err != nil {
		return nil, err
	}
	return func() Queue {
		queue, _ := New(name, limit)
		return queue
	}, nil
}

// RepeatAfter is the wait asked of callers that are refused by a full queue.
const RepeatAfter = time.Second

// full is the refusal of a request that finds no room.
func full() *contract.Refusal {
	return contract.RefuseRepeat(contract.CodeOverCapacity, RepeatAfter, "too many requests wait for capacity")
}
