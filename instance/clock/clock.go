// Package clock abstracts the current time and timers. Code that makes decisions
// takes a Clock as a parameter, so that tests can control the time.
package clock

import (
	"context"
	"time"
)

// Clock provides the current time and one-shot timers.
type Clock interface {
	// Now returns the local time of this instance; instances are not
	// synchronized by it.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d, unless the returned
	// timer is stopped first.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call scheduled with AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// System is the clock of package time. In a testing/synctest bubble that is the
// bubble's fake clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time {
	return time.Now()
}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(d, f)
}

// Wait blocks for d on the system clock and returns false if ctx ends first.
// Steps of the worker pool must not call it, because it would block a worker.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
