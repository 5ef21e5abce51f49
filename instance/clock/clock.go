// Package clock gives time to decisions, so that tests can drive it.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and calls back after a while.
type Clock interface {
	// Now is the time by this instance's clock.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d, unless stopped before.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call.
type Timer interface {
	// Stop reports whether it kept the call from being made.
	Stop() bool
}

// System is the machine's clock. Inside testing/synctest it is the fake one.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time {
	return time.Now()
}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(d, f)
}

// Wait lets the goroutine of a link wait for d; it reports false if ctx ended
// before. Steps of the worker pool must not call it.
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
