// Package transfer decides when a KV cache transfer may use the link into a decode
// engine, and what to do with a transfer that stalls. One transfer at a time uses
// the link at its full rate, so that each ends sooner than on a shared link. A
// sidecar keeps the Schedule of its engine's link, entries call Decide, and the
// engines make the transfers. A Schedule is not safe for concurrent use.
package transfer

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Window is the time for which the link is reserved for one transfer.
type Window struct {
	Call       contract.CallID
	Start, End time.Time
}

// Schedule holds the reserved windows of one link, in order of their start and
// without overlap.
type Schedule struct {
	blocksPerSecond float64
	windows         []Window
}

// NewSchedule returns an empty schedule for a link with the given rate in KV blocks
// per second; 0 means that the rate is unlimited.
func NewSchedule(blocksPerSecond float64) *Schedule {
	return &Schedule{blocksPerSecond: blocksPerSecond}
}

// SetRate changes the rate for later calls; windows already reserved keep their
// length.
func (s *Schedule) SetRate(blocksPerSecond float64) {
	s.blocksPerSecond = blocksPerSecond
}

// Duration returns the transfer time of KV blocks at the link's rate.
func (s *Schedule) Duration(blocks int) time.Duration {
	if s.blocksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(blocks) / s.blocksPerSecond * float64(time.Second))
}

// Find returns the first free window that is long enough for the blocks and starts
// at ready or later. It does not reserve the window.
func (s *Schedule) Find(call contract.CallID, blocks int, ready time.Time) Window {
	length := s.Duration(blocks)
	start := ready
	for _, w := range s.windows {
		if !w.Start.Before(start.Add(length)) {
			break
		}
		if w.End.After(start) {
			start = w.End
		}
	}
	return Window{Call: call, Start: start, End: start.Add(length)}
}

// Add reserves a window returned by Find, if the schedule has not changed since then.
// An empty window is not stored.
func (s *Schedule) Add(w Window) {
	if !w.End.After(w.Start) {
		return
	}
	at, _ := slices.BinarySearchFunc(s.windows, w.Start, func(x Window, start time.Time) int {
		return x.Start.Compare(start)
	})
	s.windows = slices.Insert(s.windows, at, w)
}

// Release frees the window of a call, if it has one.
func (s *Schedule) Release(call contract.CallID) {
	s.windows = slices.DeleteFunc(s.windows, func(w Window) bool { return w.Call == call })
}

// Clear frees all windows.
func (s *Schedule) Clear() {
	s.windows = nil
}

// Backlog returns the sum of the reserved time after now. It drops windows that have
// ended.
func (s *Schedule) Backlog(now time.Time) time.Duration {
	s.prune(now)
	sum := time.Duration(0)
	for _, w := range s.windows {
		start := w.Start
		if start.Before(now) {
			start = now
		}
		sum += w.End.Sub(start)
	}
	return sum
}

// Windows returns the reserved windows in order. The slice belongs to the schedule
// and must not be modified.
func (s *Schedule) Windows() []Window {
	return s.windows
}

// prune drops windows that have ended.
func (s *Schedule) prune(now time.Time) {
	over := 0
	for over < len(s.windows) && !s.windows[over].End.After(now) {
		over++
	}
	s.windows = s.windows[over:]
}
