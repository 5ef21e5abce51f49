package engine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const (
	// aheadBy is how much later than the KV cache a place may become free for a
	// grant that is made ahead. The cache itself lives for under a second.
	aheadBy = 100 * time.Millisecond
	// soonWithin is the time in which places that become free count as free
	// soon: about a prefill.
	soonWithin = 250 * time.Millisecond
	// assumedStep is the time for a token until one was measured.
	assumedStep = 40 * time.Millisecond
)

// Progress notes that a running call has at most so many tokens left, and how
// long each takes; 0 when that is not known yet. From this the ledger tells when
// places become free, and grants them ahead.
func (l *Ledger) Progress(now time.Time, call contract.CallID, left contract.Tokens, step time.Duration) {
	held, ok := l.grants[call]
	if !ok {
		return
	}
	if step <= 0 {
		step = assumedStep
	}
	held.ends = now.Add(time.Duration(left) * step)
}

// hasRoom reports whether the ask finds room now.
func (l *Ledger) hasRoom(a Ask) bool {
	return len(l.grants) < l.limits.Slots && (a.Blocks == 0 || l.blocks+a.Blocks <= l.limits.Blocks)
}

// roomAt gives when the ask finds room because running calls have ended; ok is
// false if that cannot be told. Grants that wait for a place come first.
func (l *Ledger) roomAt(a Ask) (at time.Time, ok bool) {
	slots := l.limits.Slots - len(l.grants)
	blocks := l.limits.Blocks - l.blocks
	fits := func() bool { return slots > 0 && (a.Blocks == 0 || blocks >= a.Blocks) }
	for _, held := range l.ending() {
		slots++
		blocks += held.ask.Blocks
		if fits() {
			return held.ends, true
		}
	}
	return time.Time{}, false
}

// ending lists the running calls whose end is foreseen, soonest first.
func (l *Ledger) ending() []*grant {
	var ending []*grant
	for _, held := range l.grants {
		if held.running && !held.ends.IsZero() {
			ending = append(ending, held)
		}
	}
	slices.SortFunc(ending, func(a, b *grant) int { return a.ends.Compare(b.ends) })
	return ending
}

// soon gives the slots and blocks beyond the free ones that will be free soon.
func (l *Ledger) soon(now time.Time) (slots, blocks int) {
	slots = min(0, l.limits.Slots-len(l.grants))
	blocks = min(0, l.limits.Blocks-l.blocks)
	for _, held := range l.ending() {
		if held.ends.Sub(now) > soonWithin {
			break
		}
		slots++
		blocks += held.ask.Blocks
	}
	return max(0, slots), max(0, blocks)
}

// Admit decides whether a granted call may be sent to the upstream now. One
// that was granted ahead of a place waits; Next tells when it may go.
func (l *Ledger) Admit(now time.Time, call contract.CallID) bool {
	held, ok := l.grants[call]
	if !ok || !now.Before(held.expires) {
		return false
	}
	if held.running {
		return true
	}
	if !l.takes(held) {
		l.waiting = append(l.waiting, call)
		return false
	}
	held.running = true
	return true
}

// takes reports whether the upstream has room for a grant beside what it runs
// and what was granted before.
func (l *Ledger) takes(g *grant) bool {
	slots, blocks := 0, 0
	for _, held := range l.grants {
		if held != g && (held.running || held.number < g.number) {
			slots++
			blocks += held.ask.Blocks
		}
	}
	return slots < l.limits.Slots && (g.ask.Blocks == 0 || blocks+g.ask.Blocks <= l.limits.Blocks)
}

// Next returns the calls that waited for a place and may be sent now, in the
// order in which they came.
func (l *Ledger) Next() (calls []contract.CallID) {
	for len(l.waiting) > 0 {
		held, ok := l.grants[l.waiting[0]]
		if ok && !l.takes(held) {
			return calls
		}
		if ok {
			held.running = true
			calls = append(calls, l.waiting[0])
		}
		l.waiting = l.waiting[1:]
	}
	return calls
}
