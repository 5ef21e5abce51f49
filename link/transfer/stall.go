package transfer

import "time"

const (
	// A transfer counts as stalled after stallFactor times its expected duration,
	// but not before minStallTime.
	stallFactor  = 3
	minStallTime = 200 * time.Millisecond
	// maxRedos limits how often the prompt of one request is run again.
	maxRedos = 1
)

// StallAfter returns the time after which a transfer with the expected duration
// counts as stalled.
func StallAfter(expected time.Duration) time.Duration {
	return max(minStallTime, stallFactor*expected)
}

// Action is a decision on a transfer.
type Action uint8

const (
	// Wait lets the transfer continue: it has not stalled.
	Wait Action = iota
	// Restart starts the transfer to the same engine again.
	Restart
	// TransferElsewhere transfers the KV cache to another engine.
	TransferElsewhere
	// RepeatPrefill runs the prompt again: the KV cache is evicted before a transfer could
	// end, and a second prefill still meets the target.
	RepeatPrefill
	// Abandon ends the request: no action meets the target, or the prompt was run
	// again maxRedos times.
	Abandon
)

// DiscardsPrefill reports whether the action discards the result of the prefill.
func (a Action) DiscardsPrefill() bool {
	return a == RepeatPrefill || a == Abandon
}

// Progress is the state of a transfer that has not ended, as Decide needs it.
type Progress struct {
	// Elapsed is the time since the window's start, Expected the window's length.
	Elapsed, Expected time.Duration
	// Failed means that the transfer was interrupted, so Wait is not an option.
	Failed bool
	// KeptFor is the time left for which the prefill engine keeps the KV cache.
	KeptFor time.Duration
	// Prefill is the expected duration of running the prompt again.
	Prefill time.Duration
	// Slack is the time left until the target for the first token. Requests with
	// Patient set have no such target, and Slack is ignored.
	Slack   time.Duration
	Patient bool
	// Restarts counts the request's earlier retransmissions of either kind,
	// RepeatedPrefills its earlier repeated prefills.
	Restarts, RepeatedPrefills int
	// OtherEngineHasRoom means that another decode engine has room for the request.
	OtherEngineHasRoom bool
}

// Decide returns the action for a transfer.
func Decide(p Progress) Action {
	if !p.Failed && p.Elapsed < StallAfter(p.Expected) {
		return Wait
	}
	if p.KeptFor > p.Expected && p.meetsTarget(p.Expected) {
		return p.retransmit()
	}
	if p.RepeatedPrefills < maxRedos && p.meetsTarget(p.Prefill+p.Expected) {
		return RepeatPrefill
	}
	return Abandon
}

// retransmit chooses the engine for another transfer of a KV cache that still
// exists: first the same one, which has reserved memory for it, then another.
func (p Progress) retransmit() Action {
	if p.Restarts == 0 || !p.OtherEngineHasRoom {
		return Restart
	}
	return TransferElsewhere
}

// meetsTarget reports whether the request's target can be met with an action that
// takes the needed time.
func (p Progress) meetsTarget(needed time.Duration) bool {
	return p.Patient || needed <= p.Slack
}
