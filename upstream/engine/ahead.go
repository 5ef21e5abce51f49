package engine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const (
	// maxCapacityDelay is how long a KV cache may have to wait for the slot and blocks
	// of a call that is granted before they are free. The cache is kept for less than
	// a second.
	maxCapacityDelay = 100 * time.Millisecond
	// soonWindow is how far ahead expected ends of calls count as free soon. It
	// is about the duration of a prefill.
	soonWindow = 250 * time.Millisecond
	// defaultTokenTime is the time per output token of a call that has no
	// measurement yet.
	defaultTokenTime = 40 * time.Millisecond
)

// UpdateExpectedEnd updates the expected end of a call from the maximum number of tokens
// left and the time per token; 0 means that the time is not known yet. Calls
// without a grant are ignored. Expected ends let Reserve grant slots and blocks
// before they are free.
func (l *Ledger) UpdateExpectedEnd(now time.Time, call contract.CallID, left contract.Tokens, tokenTime time.Duration) {
	held, ok := l.grants[call]
	if !ok {
		return
	}
	if tokenTime <= 0 {
		tokenTime = defaultTokenTime
	}
	held.expectedEnd = now.Add(time.Duration(left) * tokenTime)
}

// fitsNow reports whether the free slots and blocks are enough for the ask.
func (l *Ledger) fitsNow(a Ask) bool {
	return len(l.grants) < l.limits.Slots && (a.Blocks == 0 || l.blocks+a.Blocks <= l.limits.Blocks)
}

// fitsAt returns when enough running calls are expected to have ended for the
// ask to fit; ok is false if the expected ends free too little. Slots and
// blocks go to earlier grants first, including those still waiting for them.
func (l *Ledger) fitsAt(a Ask) (at time.Time, ok bool) {
	slots := l.limits.Slots - len(l.grants)
	blocks := l.limits.Blocks - l.blocks
	fits := func() bool { return slots > 0 && (a.Blocks == 0 || blocks >= a.Blocks) }
	for _, held := range l.byExpectedEnd() {
		slots++
		blocks += held.ask.Blocks
		if fits() {
			return held.expectedEnd, true
		}
	}
	return time.Time{}, false
}

// byExpectedEnd returns the running calls with a known expected end, earliest first.
func (l *Ledger) byExpectedEnd() []*heldCall {
	var byExpectedEnd []*heldCall
	for _, held := range l.grants {
		if held.running && !held.expectedEnd.IsZero() {
			byExpectedEnd = append(byExpectedEnd, held)
		}
	}
	slices.SortFunc(byExpectedEnd, func(a, b *heldCall) int { return a.expectedEnd.Compare(b.expectedEnd) })
	return byExpectedEnd
}

// freeSoon returns the slots and blocks that become free within soonWindow, in
// addition to those free now.
func (l *Ledger) freeSoon(now time.Time) (slots, blocks int) {
	slots = min(0, l.limits.Slots-len(l.grants))
	blocks = min(0, l.limits.Blocks-l.blocks)
	for _, held := range l.byExpectedEnd() {
		if held.expectedEnd.Sub(now) > soonWindow {
			break
		}
		slots++
		blocks += held.ask.Blocks
	}
	return max(0, slots), max(0, blocks)
}

// Admit reports whether a granted call may be sent to the upstream now, and if so
// counts it as running. It is false without a live grant. A call that was granted
// in advance and must still wait for its slot and blocks becomes a waiter; AdmitWaiters
// returns it once they are free.
func (l *Ledger) Admit(now time.Time, call contract.CallID) bool {
	held, ok := l.grants[call]
	if !ok || !now.Before(held.expires) {
		return false
	}
	if held.running {
		return true
	}
	if !l.canRun(held) {
		l.waiters = append(l.waiters, call)
		return false
	}
	held.running = true
	return true
}

// canRun reports whether the call fits on the upstream together with the
// running calls and all earlier grants.
func (l *Ledger) canRun(h *heldCall) bool {
	slots, blocks := 0, 0
	for _, held := range l.grants {
		if held != h && (held.running || held.number < h.number) {
			slots++
			blocks += held.ask.Blocks
		}
	}
	return slots < l.limits.Slots && (h.ask.Blocks == 0 || blocks+h.ask.Blocks <= l.limits.Blocks)
}

// AdmitWaiters removes and returns the waiters that fit now, first in, first out, and
// counts them as running. A waiter that does not fit blocks those behind it.
// Call it after each Release.
func (l *Ledger) AdmitWaiters() (calls []contract.CallID) {
	for len(l.waiters) > 0 {
		held, ok := l.grants[l.waiters[0]]
		if ok && !l.canRun(held) {
			return calls
		}
		if ok {
			held.running = true
			calls = append(calls, l.waiters[0])
		}
		l.waiters = l.waiters[1:]
	}
	return calls
}
