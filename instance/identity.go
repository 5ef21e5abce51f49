// Package instance identifies the machines that run the system's processes and
// tracks the life cycle of a process. The processes themselves (entry, gateway
// and sidecar) and the worker pool and shared tables that they are built on are
// in its sub-packages.
package instance

import (
	"fmt"
	"sync/atomic"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Name is the configured name of an instance. It is unique in the fleet.
type Name string

// Incarnation distinguishes the runs of one instance. It is the start time of
// the process in nanoseconds, so a later run has a higher incarnation.
type Incarnation int64

// Identity identifies the sender of a message: an instance, its current run and
// its location.
type Identity struct {
	Name        Name
	Incarnation Incarnation
	Place       zone.Place
}

// String returns "name.incarnation" with the incarnation in hexadecimal. Logs
// and request identifiers use this form.
func (i Identity) String() string {
	return fmt.Sprintf("%s.%x", i.Name, int64(i.Incarnation))
}

// State is a stage in the life cycle of a process. The zero value is Starting;
// later stages have higher values.
type State int32

const (
	// Starting processes are not ready for work.
	Starting State = iota
	// Serving processes accept new work.
	Serving
	// Draining processes accept no new work and finish the running work.
	Draining
	// Gone processes have stopped.
	Gone
)

// String returns the name of the state in logs and operator output.
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

// LifeCycle holds the state of a process, which only moves forward. The zero
// value is in state Starting. It is safe for concurrent use.
type LifeCycle struct {
	state atomic.Int32
}

// State returns the current state; another goroutine may advance it at any time.
func (l *LifeCycle) State() State {
	return State(l.state.Load())
}

// Advance moves to the given state and reports whether it did. It does nothing
// if that state or a later one is already reached.
func (l *LifeCycle) Advance(to State) bool {
	for {
		current := l.state.Load()
		if State(current) >= to {
			return false
		}
		if l.state.CompareAndSwap(current, int32(to)) {
			return true
		}
	}
}
