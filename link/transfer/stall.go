package transfer

import "time"

const (
	// stallFactor times the expected duration, and stallFloor at least, is how
	// long a transfer may take before it counts as stalled.
	stallFactor = 3
	stallFloor  = 200 * time.Millisecond
	// maxRedos bounds how often one request's prompt is run again.
	maxRedos = 1
)

// StallAfter gives how long a transfer that should take the expected time may
// go on before it counts as stalled.
func StallAfter(expected time.Duration) time.Duration {
	return max(stallFloor, stallFactor*expected)
}

// Action says what to do with a transfer.
type Action uint8

const (
	// Wait leaves the transfer alone: it is not late.
	Wait Action = iota
	// Restart begins the transfer to the same engine once more.
	Restart
	// Move sends the KV cache to another engine.
	Move
	// Redo runs the prompt again: the KV cache is lost, and paying for another
	// still meets the target.
	Redo
	// Abandon ends the request: nothing that could be done would be in time.
	Abandon
)

// Wastes reports whether the prefill that was paid for is lost.
func (a Action) Wastes() bool {
	return a == Redo || a == Abandon
}

// Progress is what is known of a transfer that has not ended.
type Progress struct {
	// Elapsed is the time since the window opened, Expected the window's length.
	Elapsed, Expected time.Duration
	// Failed means that the transfer broke off, so waiting is of no use.
	Failed bool
	// KeptFor is how much longer the prefill engine keeps the KV cache.
	KeptFor time.Duration
	// Prefill is how long it would take to run the prompt again.
	Prefill time.Duration
	// Slack is the time left to the first token's target. Patient requests have
	// no target.
	Slack   time.Duration
	Patient bool
	// Restarts and Redos count what was done for the request before.
	Restarts, Redos int
	// Elsewhere means that another engine has room.
	Elsewhere bool
}

// Decide says what to do with a transfer.
func Decide(p Progress) Action {
	if !p.Failed && p.Elapsed < StallAfter(p.Expected) {
		return Wait
	}
	if p.KeptFor > p.Expected && p.inTime(p.Expected) {
		return p.again()
	}
	if p.Redos < maxRedos && p.inTime(p.Prefill+p.Expected) {
		return Redo
	}
	return Abandon
}

// again sends a KV cache that still exists once more: first to the same engine,
// which holds the memory for it, then to another one.
func (p Progress) again() Action {
	if p.Restarts == 0 || !p.Elsewhere {
		return Restart
	}
	return Move
}

func (p Progress) inTime(needed time.Duration) bool {
	return p.Patient || needed <= p.Slack
}
