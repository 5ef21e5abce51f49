// Package fair holds the requests that wait at an entry for upstream capacity and
// decides which one starts next, which expire, and which are refused because the
// queue is full. Queues have no locks: an entry keeps its queues in a shared table
// and calls them while it holds that table's lock.
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
	// Weight is the account's share of capacity relative to other accounts that
	// wait; values under 1 count as 1.
	Weight int
	// Cost is charged to the account's share when the request is popped; values
	// under 1 count as 1.
	Cost contract.Tokens
	// Arrived orders requests with the same StartBy.
	Arrived time.Time
	// StartBy is the latest start that still meets the latency target; zero
	// means no target.
	StartBy time.Time
	// Deadline is the request's deadline, at which it must be refused; zero means
	// none.
	Deadline time.Time
	// Patient requests stay in the queue after StartBy.
	Patient bool
	// Resumed requests have already delivered part of their answer. They come
	// first in their account's queue and are never late.
	Resumed bool
}

// late reports whether the item can no longer meet its latency target.
func (i *Item) late(now time.Time) bool {
	return !i.Resumed && !i.StartBy.IsZero() && now.After(i.StartBy)
}

// expired reports whether the item must be refused.
func (i *Item) expired(now time.Time) bool {
	if !i.Deadline.IsZero() && !now.Before(i.Deadline) {
		return true
	}
	return !i.Patient && i.late(now)
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue interface {
	// Push adds a request, or refuses it if the queue is full.
	Push(now time.Time, item Item) *contract.Refusal
	// Pop removes and returns the next request; ok is false if none may start.
	// Requests that must be refused stay for Expire.
	Pop(now time.Time) (item Item, ok bool)
	// Remove removes a request whose caller disconnected. It reports whether the
	// request was in the queue.
	Remove(id contract.RequestID) bool
	// Expire removes and returns the requests to refuse, none of which ran: those
	// whose Deadline has passed, those that can no longer meet their target and
	// are not patient, and those evicted in favor of another account since the
	// last call.
	Expire(now time.Time) []Item
	// Len is the number of waiting requests, without evicted ones.
	Len() int
}

// Names of the queues in the settings.
const (
	QueueWeighted = "weighted"
	QueueFIFO     = "fifo"
)

// DefaultLimit is the default maximum of waiting requests in one queue.
const DefaultLimit = 1024

// ErrUnknownQueue is returned for a name that is none of the Queue constants.
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

// NewFactory returns a function that creates empty queues of the given name. It checks
// the name as New does.
func NewFactory(name string, limit int) (func() Queue, error) {
	if _, err := New(name, limit); err != nil {
		return nil, err
	}
	return func() Queue {
		queue, _ := New(name, limit)
		return queue
	}, nil
}

// RetryAfter is the retry delay in the refusal by a full queue.
const RetryAfter = time.Second

// refuseFull is the refusal by a full queue.
func refuseFull() *contract.Refusal {
	return contract.RefuseRetryable(contract.CodeOverCapacity, RetryAfter, "too many requests are waiting for capacity")
}
