package soak

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// What the services state of their cold runners, and the users' bound on the requests that
// reach one in any second.
const (
	coldFor       = 3 * time.Second
	coldPerSecond = 20
	coldOver      = 1.5
	coldSlack     = 5
	coldMost      = coldPerSecond*coldOver + coldSlack
)

// plainKinds is the number of kinds of plain requests, the first ones of kinds; in a rush,
// callers send one of these each rushInterval in all.
const (
	plainKinds   = 2
	rushInterval = 3 * time.Millisecond
)

// startCold starts all runners of a phase again, which are then cold and crash above the
// bound. If they are plain services, callers send more meanwhile than the runners can handle.
func (s *soak) startCold(phase string) {
	for _, r := range s.runners {
		if r.phase == phase {
			s.restart(r)
			r.runner.StartCold(userplatform.Cold{Until: time.Now().Add(coldFor), Most: coldMost})
		}
	}
	if phase == "" {
		s.rush.Store(time.Now().Add(coldFor).UnixNano())
	}
}

// checkCold checks that no cold runner crashed. Requests that a faulty link held back were
// not sent in the second in which they arrived.
func (s *soak) checkCold() {
	for _, r := range s.runners {
		for _, at := range r.runner.Crashes() {
			if !r.linkDisturbed(at.Add(-2*time.Second), at) {
				s.failCheck("more than %v requests reached runner %s within a second while it was cold", float64(coldMost), r.ids[0])
			}
		}
	}
}
