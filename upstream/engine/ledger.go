// Package engine is the admission control of a sidecar for its upstream. A Ledger
// holds the grants of slots, KV blocks and windows on the import link, and the
// prefill queue; sidecars of plain services use only the slots. The sidecar is
// the only grantor for its upstream, so its ledger is authoritative. Sending and
// canceling calls is left to the sidecar. A ledger has no lock of its own: it
// lives in a shared table of rank RankLedger.
package engine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/transfer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// DefaultLease is how long a grant is valid without a renewal.
const DefaultLease = 1500 * time.Millisecond

// Limits are the capacities and rates of an upstream. Zero rates, queue sizes and
// waits mean no limit; a zero Lease means DefaultLease.
type Limits struct {
	Role          upstream.Role
	Slots, Blocks int
	// LinkBlocksPerSecond is the rate of the KV import link in blocks per second.
	LinkBlocksPerSecond float64
	// PrefillPerSecond is the prefill rate in prompt tokens per second.
	PrefillPerSecond contract.Tokens
	// MaxQueuedTokens bounds the prompt tokens accepted and not yet prefilled.
	MaxQueuedTokens contract.Tokens
	Lease           time.Duration
	// MaxWindowWait bounds how long a KV cache that is ready may wait for its
	// window on the import link.
	MaxWindowWait time.Duration
}

// Ask is the request of a call for resources of the upstream.
type Ask struct {
	Call        contract.CallID
	Owner       instance.Identity
	Account     contract.AccountID
	Fingerprint contract.Fingerprint
	// Blocks is the number of KV blocks for prompt and output; ImportBlocks is
	// the number of them that are transferred over the import link.
	Blocks, ImportBlocks int
	// Tokens is the length of the prompt; only prefills set it.
	Tokens contract.Tokens
	// Priority is passed on to the engine; 0 is the least urgent.
	Priority int
	// ReadyIn is the earliest time from now at which the KV cache can be imported.
	ReadyIn time.Duration
}

// Grant holds the time until the window on the import link starts, and how long
// the grant is valid without a renewal.
type Grant struct {
	WindowIn, Lease time.Duration
}

// heldCall is a call that holds a reservation, or a place in the prefill queue, until
// it is released.
type heldCall struct {
	ask         Ask
	windowStart time.Time
	expires     time.Time
	// number increases with each grant; prefills have 0.
	number uint64
	// expectedEnd is when the call ends if it generates all its tokens; zero when
	// not known.
	expectedEnd time.Time
	// running means that Admit or MarkSent allowed the call to be sent to the
	// upstream.
	running bool
	// expiryReported means that TakeExpired has returned the call.
	expiryReported bool
}

// Ledger records the resources of one upstream that its sidecar has granted.
type Ledger struct {
	id       upstream.ID
	limits   Limits
	cache    []upstream.CacheEvent
	draining bool
	down     bool
	grants   map[contract.CallID]*heldCall
	prefills map[contract.CallID]*heldCall
	// blocks counts the blocks of all grants.
	blocks int
	// lastNumber is the number of the latest grant.
	lastNumber uint64
	// waiters lists calls granted in advance that wait for their slot and blocks,
	// first in, first out. Released calls stay in it until AdmitWaiters skips them.
	waiters []contract.CallID
	// queued counts the prompt tokens of all prefills.
	queued contract.Tokens
	link   *transfer.Schedule
}

// NewLedger returns a ledger without grants.
func NewLedger(id upstream.ID, limits Limits) *Ledger {
	l := &Ledger{
		id:       id,
		grants:   make(map[contract.CallID]*heldCall),
		prefills: make(map[contract.CallID]*heldCall),
		link:     transfer.NewSchedule(limits.LinkBlocksPerSecond),
	}
	l.SetLimits(limits)
	return l
}

// SetLimits sets the limits for new work. Existing grants are kept, even if they
// exceed the new limits.
func (l *Ledger) SetLimits(limits Limits) {
	if limits.Lease <= 0 {
		limits.Lease = DefaultLease
	}
	l.limits = limits
	l.link.SetRate(limits.LinkBlocksPerSecond)
}

// Limits returns the limits for new work, with the default lease filled in.
func (l *Ledger) Limits() Limits {
	return l.limits
}

// maxCacheEvents bounds the cache events in a Load.
const maxCacheEvents = 8

// AddCacheEvents appends events of the engine's prefix cache to those that Load
// reports; only the latest maxCacheEvents are kept.
func (l *Ledger) AddCacheEvents(events []upstream.CacheEvent) {
	all := append(slices.Clone(l.cache), events...)
	l.cache = all[max(0, len(all)-maxCacheEvents):]
}

// SetDraining sets whether the upstream is draining, so that new work is refused.
func (l *Ledger) SetDraining(draining bool) {
	l.draining = draining
}

// SetDown sets whether the upstream does not respond. While it is down, new work
// is refused and Load reports no free slots or blocks.
func (l *Ledger) SetDown(down bool) {
	l.down = down
}

// Renew extends the leases of the owner's calls and returns the calls for which
// there is none to extend. An expired lease is not extended, because its holder
// was silent for too long.
func (l *Ledger) Renew(now time.Time, owner instance.Identity, calls []contract.CallID) (unknown []contract.CallID) {
	until := now.Add(l.limits.Lease)
	for _, call := range calls {
		granted := l.grants[call].renew(now, until, owner)
		queued := l.prefills[call].renew(now, until, owner)
		if !granted && !queued {
			unknown = append(unknown, call)
		}
	}
	return unknown
}

// renew extends the lease and reports true if the owner holds it and it has not
// expired. A nil call reports false.
func (h *heldCall) renew(now, until time.Time, owner instance.Identity) bool {
	if h == nil || !h.ownedBy(owner) || !now.Before(h.expires) {
		return false
	}
	h.expires = until
	return true
}

// Holds reports whether the call has a grant that has not expired.
func (l *Ledger) Holds(now time.Time, call contract.CallID) bool {
	held, ok := l.grants[call]
	return ok && now.Before(held.expires)
}

// MarkSent marks a call as sent to the upstream, so that SentAsks includes it if the
// upstream crashes. It reports whether the call has a grant or a queued prefill
// that has not expired.
func (l *Ledger) MarkSent(now time.Time, call contract.CallID) bool {
	marked := false
	for _, table := range l.tables() {
		if held, ok := table[call]; ok && now.Before(held.expires) {
			held.running = true
			marked = true
		}
	}
	return marked
}

// AskOf returns the ask that Reserve granted to the call; ok is false if it has no
// grant. It changes nothing.
func (l *Ledger) AskOf(call contract.CallID) (a Ask, ok bool) {
	held, ok := l.grants[call]
	if !ok {
		return Ask{}, false
	}
	return held.ask, true
}

// ExpectedTransferTime returns the expected time from now until the call's KV cache is
// imported: the wait for its window and the transfer itself. It is 0 for a call
// without a grant.
func (l *Ledger) ExpectedTransferTime(now time.Time, call contract.CallID) time.Duration {
	held, ok := l.grants[call]
	if !ok {
		return 0
	}
	return max(0, held.windowStart.Sub(now)) + l.link.Duration(held.ask.ImportBlocks)
}

// ReleaseWindow releases the rest of the call's window on the import link. Call it
// when the transfer is complete.
func (l *Ledger) ReleaseWindow(call contract.CallID) {
	l.link.Release(call)
}

// Release frees all resources of a call, expired ones too, and reports whether it
// held any.
func (l *Ledger) Release(_ time.Time, call contract.CallID) bool {
	granted := l.dropGrant(call)
	queued := l.dropPrefill(call)
	return granted || queued
}

func (l *Ledger) dropGrant(call contract.CallID) bool {
	held, ok := l.grants[call]
	if !ok {
		return false
	}
	l.blocks -= held.ask.Blocks
	l.link.Release(call)
	delete(l.grants, call)
	return true
}

func (l *Ledger) dropPrefill(call contract.CallID) bool {
	held, ok := l.prefills[call]
	if !ok {
		return false
	}
	l.queued -= held.ask.Tokens
	delete(l.prefills, call)
	return true
}

// TakeExpired returns the calls whose lease has expired, each call only once. They count
// against the limits until the sidecar has canceled them at the upstream and calls
// Release.
func (l *Ledger) TakeExpired(now time.Time) []contract.CallID {
	var calls []contract.CallID
	for _, table := range l.tables() {
		for call, held := range table {
			if !held.expiryReported && !now.Before(held.expires) {
				held.expiryReported = true
				calls = append(calls, call)
			}
		}
	}
	slices.SortFunc(calls, compareCalls)
	return slices.Compact(calls)
}

// tables returns the tables in which a call may have an entry.
func (l *Ledger) tables() []map[contract.CallID]*heldCall {
	return []map[contract.CallID]*heldCall{l.grants, l.prefills}
}
