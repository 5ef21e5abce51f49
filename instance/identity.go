// Package instance describes the machines that run the system's processes:
// their identity, incarnation and life cycle. Its sub-packages hold the worker
// pool, the shared tables and the two long-running processes.
package instance

import (
	"fmt"
	"sync/atomic"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Name is an instance's name from its settings, unique in the fleet.
type Name string

// Incarnation tells two runs of one instance apart. It is the start time in
// nanoseconds, so a later run has a higher one.
type Incarnation int64

// Identity is who sent a message.
type Identity struct {
	Name        Name
	Incarnation Incarnation
	Place       zone.Place
}

// String gives the form used in logs and request identifiers.
func (i Identity) String() string {
	return fmt.Sprintf("%s.%x", i.Name, int64(i.Incarnation))
}

// State is where a process stands in its life.
type State int32

const (
	// Starting processes are not ready yet.
	Starting State = iota
	// Serving processes take new work.
	Serving
	// Draining processes finish what they have.
	Draining
	// Gone processes have nothing left.
	Gone
)

// String gives the word used in logs and by operators.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	default:
		return "gone"
	}
}

// LifeCycle holds a process's state, which only moves forward.
type LifeCycle struct {
	state atomic.Int32
}

// State returns the current state.
func (l *LifeCycle) State() State {
	return State(l.state.Load())
}

// Advance moves to a later state and reports whether it did.
func (l *LifeCycle) Advance(to State) bool {
	for {
		now := l.state.Load()
		if State(now) >= to {
			return false
		}
		if l.state.CompareAndSwap(now, int32(to)) {
			return true
		}
	}
}
