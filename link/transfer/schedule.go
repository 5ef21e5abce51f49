// Package transfer decides about the link over which KV blocks come to a decode
// engine: when a transfer may use it and what to do with one that stalls. The
// link is used by one transfer at a time at its full rate, which brings each of
// them sooner to its end than sharing would.
package transfer

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Window is the time during which a transfer has the link.
type Window struct {
	Call       contract.CallID
	Start, End time.Time
}

// Schedule holds the reserved windows of one link, in order and without
// overlap.
type Schedule struct {
	blocksPerSecond float64
	windows         []Window
}

// NewSchedule returns an empty schedule of a link of the given rate in blocks a
// second; 0 means that the link has no limit.
func NewSchedule(blocksPerSecond float64) *Schedule {
	return &Schedule{blocksPerSecond: blocksPerSecond}
}

// SetRate changes the rate for windows reserved from now on.
func (s *Schedule) SetRate(blocksPerSecond float64) {
	s.blocksPerSecond = blocksPerSecond
}

// Duration gives how long blocks take at the link's rate.
func (s *Schedule) Duration(blocks int) time.Duration {
	if s.blocksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(blocks) / s.blocksPerSecond * float64(time.Second))
}

// Find gives the first window that is free for the blocks and starts at ready
// or later. It reserves nothing.
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

// Add reserves a window given by Find.
func (s *Schedule) Add(w Window) {
	if !w.End.After(w.Start) {
		return
	}
	at, _ := slices.BinarySearchFunc(s.windows, w.Start, func(x Window, start time.Time) int {
		return x.Start.Compare(start)
	})
	s.windows = slices.Insert(s.windows, at, w)
}

// Release gives back what is left of a call's window.
func (s *Schedule) Release(call contract.CallID) {
	s.windows = slices.DeleteFunc(s.windows, func(w Window) bool { return w.Call == call })
}

// Clear gives all windows back.
func (s *Schedule) Clear() {
	s.windows = nil
}

// Backlog gives how much of the time from now on is reserved.
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

// Windows lists the reserved windows in order; the slice must not be changed.
func (s *Schedule) Windows() []Window {
	return s.windows
}

// prune forgets windows that are over.
func (s *Schedule) prune(now time.Time) {
	over := 0
	for over < len(s.windows) && !s.windows[over].End.After(now) {
		over++
	}
	s.windows = s.windows[over:]
}
