// Package descriptors keeps the open connections of a process within a budget of file
// descriptors. Near the budget idle connections to upstreams are closed; if that is not
// enough, the process counts as short, so that it can report that it is not ready, and last
// it accepts no connections.
package descriptors

import (
	"math"
	"sync"
	"time"
)

// Kind is what a descriptor is used for.
type Kind int

// Kinds of counted descriptors.
const (
	// Callers are connections accepted from callers.
	Callers Kind = iota
	// Upstreams are connections to upstreams, idle and in use.
	Upstreams
	// Peers are connections to and from other gateways.
	Peers
	kinds
)

// String returns the name used in metrics and logs.
func (k Kind) String() string {
	return [...]string{"callers", "upstreams", "peers"}[k]
}

// Descriptors that are not counted.
const (
	// ReservedForFiles is what the platform keeps for files.
	ReservedForFiles = 200
	// ReservedForControl is for the listeners, the connections to the store (at most eight
	// calls at a time and as many idle), and those to the readiness and metrics listeners.
	ReservedForControl = 64
)

// Levels, as shares of the budget.
const (
	// acceptShare is where connections are no longer accepted. The rest is for calls to
	// upstreams, so that the callers already accepted are served.
	acceptShare = 0.97
	// shortShare is where the process counts as short. From there to acceptShare it still
	// accepts connections while load balancers find out: they ask about once a second.
	shortShare = 0.92
	// reclaimShare is where idle connections are closed, down to recoverShare.
	reclaimShare = 0.85
	// recoverShare is where the process is no longer short.
	recoverShare = 0.8
)

// Event is a change in the state of a budget.
type Event int

// Events.
const (
	// BecameShort and Recovered: the process is short, or no longer.
	BecameShort Event = iota
	Recovered
	// AcceptStopped and AcceptResumed: a listener waits for a descriptor, or no longer.
	AcceptStopped
	AcceptResumed
)

// Status describes a budget at one moment.
type Status struct {
	// Limit is the number of descriptors that may be counted, 0 if there is no limit.
	Limit int
	// Open counts the open descriptors by kind.
	Open [kinds]int
	// Short means that the process should get no new connections.
	Short bool
	// ShortCount counts how often it became short, StopCount how often a listener had to
	// wait, and RefusedCount the calls that got no descriptor.
	ShortCount, StopCount, RefusedCount uint64
}

// Total is the number of open descriptors.
func (s Status) Total() (n int) {
	for _, open := range s.Open {
		n += open
	}
	return n
}

// Options configure a budget.
type Options struct {
	// Total is the number of descriptors that the process may open, with those reserved;
	// 0 for no limit.
	Total int
	// Reclaim closes up to n idle connections. It must not be nil.
	Reclaim func(n int) (closed int)
	// Observe is called after each event, with the status. It must not be nil.
	Observe func(Event, Status)
}

// Budget counts descriptors. It is safe for concurrent use.
type Budget struct {
	options Options

	mu     sync.Mutex
	status Status
	// returned is closed and replaced when a descriptor is returned that a listener may
	// wait for.
	returned chan struct{}
	waiting  int
}

// New returns a budget of which nothing is used.
func New(o Options) *Budget {
	b := &Budget{options: o, returned: make(chan struct{})}
	if o.Total > 0 {
		// Of a small total, half is counted.
		b.status.Limit = max(1, o.Total-min(o.Total/2, ReservedForFiles+ReservedForControl))
	}
	return b
}

// level is the number of descriptors at a share of the budget, without a limit one that is
// never reached. The lock must be held.
func (b *Budget) level(share float64) int {
	if b.status.Limit == 0 {
		return math.MaxInt
	}
	return int(share * float64(b.status.Limit))
}

// take counts a descriptor. Unless forced, it does not if none is left.
func (b *Budget) take(k Kind, forced bool) (taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.status.Total() >= b.level(reclaimShare) {
		b.reclaim(b.status.Total() + 1 - b.level(recoverShare))
	}
	if !forced && b.status.Total() >= b.level(1) {
		b.status.RefusedCount++
		return false
	}
	b.status.Open[k]++
	if !b.status.Short && b.status.Total() >= b.level(shortShare) {
		b.status.Short = true
		b.status.ShortCount++
		b.observe(BecameShort)
	}
	return true
}

// reclaim closes up to n idle connections. The lock must be held; it is released during the
// call, since closed connections return their descriptors.
func (b *Budget) reclaim(n int) {
	b.mu.Unlock()
	defer b.mu.Lock()
	b.options.Reclaim(n)
}

// giveBack uncounts a descriptor.
func (b *Budget) giveBack(k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Open[k]--
	if b.waiting > 0 && b.status.Total() < b.level(acceptShare) {
		close(b.returned)
		b.returned = make(chan struct{})
	}
	if b.status.Short && b.status.Total() <= b.level(recoverShare) {
		b.status.Short = false
		b.observe(Recovered)
	}
}

// observe reports an event. The lock must be held, so that events are in order.
func (b *Budget) observe(e Event) {
	b.options.Observe(e, b.status)
}

// reclaimEvery is the time between two reclaims while a listener waits: connections that
// become idle are not reported to the budget, and nobody takes a descriptor meanwhile.
const reclaimEvery = 250 * time.Millisecond

// awaitAccept waits until a connection may be accepted. It returns false if done is closed
// before.
func (b *Budget) awaitAccept(done <-chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.status.Total() >= b.level(acceptShare) {
		b.reclaim(b.status.Total() - b.level(recoverShare))
	}
	if b.status.Total() < b.level(acceptShare) {
		return true
	}
	ticker := time.NewTicker(reclaimEvery)
	defer ticker.Stop()
	b.status.StopCount++
	b.observe(AcceptStopped)
	b.waiting++
	defer func() { b.waiting-- }()
	for b.status.Total() >= b.level(acceptShare) {
		returned := b.returned
		b.mu.Unlock()
		select {
		case <-returned:
			b.mu.Lock()
		case <-ticker.C:
			b.mu.Lock()
			b.reclaim(b.status.Total() - b.level(recoverShare))
		case <-done:
			b.mu.Lock()
			return false
		}
	}
	b.observe(AcceptResumed)
	return true
}

// Short reports whether the process should get no new connections. While it is short, idle
// connections are closed first: it gets no callers, so that take may not be called for long.
func (b *Budget) Short() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if surplus := b.status.Total() - b.level(recoverShare); b.status.Short && surplus > 0 {
		b.reclaim(surplus)
	}
	return b.status.Short
}

// Status returns the state of the budget.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}

// Counter counts the descriptors of one kind.
type Counter struct {
	budget *Budget
	kind   Kind
}

// Of returns the counter of a kind.
func (b *Budget) Of(k Kind) Counter {
	return Counter{b, k}
}

// Take counts a descriptor that is to be opened, and reports false if none is left.
func (c Counter) Take() bool {
	return c.budget.take(c.kind, false)
}

// Return uncounts a descriptor.
func (c Counter) Return() {
	c.budget.giveBack(c.kind)
}
