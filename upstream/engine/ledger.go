// Package engine decides what a sidecar promises of its upstream. The sidecar
// alone knows what it accepted, so its ledger is the only authority on slots,
// KV blocks, the import link and the prefill queue. Services use it for their
// slots. A ledger has no lock: it lives in a shared table of rank RankLedger.
package engine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/transfer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// DefaultLease is how long a grant lives without a renewal.
const DefaultLease = 1500 * time.Millisecond

// Limits are what an upstream can hold and do. Zero limits of rates, queue and
// waits mean no limit; a zero Lease means DefaultLease.
type Limits struct {
	Role          upstream.Role
	Slots, Blocks int
	// LinkBlocksPerSecond is the rate of the KV import link.
	LinkBlocksPerSecond float64
	// PrefillPerSecond is in prompt tokens a second.
	PrefillPerSecond contract.Tokens
	// MaxQueuedTokens bounds the prompts accepted and not yet prefilled.
	MaxQueuedTokens contract.Tokens
	Lease           time.Duration
	// MaxWindowWait is the longest that a KV cache may wait for the link.
	MaxWindowWait time.Duration
}

// Ask is what a call wants of the upstream.
type Ask struct {
	Call        contract.CallID
	Owner       instance.Identity
	Account     contract.AccountID
	Fingerprint contract.Fingerprint
	// Blocks is the memory for prompt and output; ImportBlocks is what comes
	// over the transfer link.
	Blocks, ImportBlocks int
	// Tokens is the prompt's length, for a prefill.
	Tokens   contract.Tokens
	Priority int
	// ReadyIn is when the KV cache can be there at the earliest.
	ReadyIn time.Duration
}

// Grant says when the import link opens and how long the grant lives without a
// renewal.
type Grant struct {
	WindowIn, Lease time.Duration
}

// grant is a promise that was made and not yet given back.
type grant struct {
	ask     Ask
	opens   time.Time
	expires time.Time
	// number rises with each grant.
	number uint64
	// ends is when a running call ends at the latest; zero when not known.
	ends time.Time
	// running means that the upstream has the call.
	running bool
	// lapsed means that Lapsed has returned the call.
	lapsed bool
}

// Ledger is the record of all that a sidecar has promised of one upstream.
type Ledger struct {
	id       upstream.ID
	limits   Limits
	cache    []upstream.CacheNews
	leaving  bool
	down     bool
	grants   map[contract.CallID]*grant
	prefills map[contract.CallID]*grant
	blocks   int
	granted  uint64
	// waiting are calls that wait for a place that they were granted ahead.
	waiting []contract.CallID
	queued  contract.Tokens
	link    *transfer.Schedule
}

// NewLedger returns an empty ledger.
func NewLedger(id upstream.ID, limits Limits) *Ledger {
	l := &Ledger{
		id:       id,
		grants:   make(map[contract.CallID]*grant),
		prefills: make(map[contract.CallID]*grant),
		link:     transfer.NewSchedule(limits.LinkBlocksPerSecond),
	}
	l.SetLimits(limits)
	return l
}

// SetLimits changes the limits for new work. Grants made before stay.
func (l *Ledger) SetLimits(limits Limits) {
	if limits.Lease <= 0 {
		limits.Lease = DefaultLease
	}
	l.limits = limits
	l.link.SetRate(limits.LinkBlocksPerSecond)
}

// Limits gives the limits for new work.
func (l *Ledger) Limits() Limits {
	return l.limits
}

// maxCacheNews bounds the cache events that a report carries.
const maxCacheNews = 8

// CacheEvents takes in events of the engine's cache, which reports carry on.
func (l *Ledger) CacheEvents(events []upstream.CacheNews) {
	all := append(slices.Clone(l.cache), events...)
	l.cache = all[max(0, len(all)-maxCacheNews):]
}

// SetLeaving says whether the upstream takes no more new work.
func (l *Ledger) SetLeaving(leaving bool) {
	l.leaving = leaving
}

// SetDown says whether the upstream does not answer, so that new work is refused
// until it does.
func (l *Ledger) SetDown(down bool) {
	l.down = down
}

// Renew prolongs what the owner's calls hold and returns the calls that hold
// nothing. What has lapsed is not prolonged: its holder was away too long.
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

// renew prolongs a grant of the owner that has not lapsed.
func (g *grant) renew(now, until time.Time, owner instance.Identity) bool {
	if g == nil || !g.ownedBy(owner) || !now.Before(g.expires) {
		return false
	}
	g.expires = until
	return true
}

// Holds reports whether the call has a grant whose lease runs.
func (l *Ledger) Holds(now time.Time, call contract.CallID) bool {
	held, ok := l.grants[call]
	return ok && now.Before(held.expires)
}

// Start marks a call as sent to the upstream, so that it counts as running when
// the upstream dies. It reports whether the call holds anything.
func (l *Ledger) Start(now time.Time, call contract.CallID) bool {
	started := false
	for _, table := range l.tables() {
		if held, ok := table[call]; ok && now.Before(held.expires) {
			held.running = true
			started = true
		}
	}
	return started
}

// Ask gives what a call asked for when it got its grant; ok is false if it holds
// none.
func (l *Ledger) Ask(call contract.CallID) (a Ask, ok bool) {
	held, ok := l.grants[call]
	if !ok {
		return Ask{}, false
	}
	return held.ask, true
}

// TransferIn gives how long from now the call's transfer should take: the wait
// for its window and the window itself.
func (l *Ledger) TransferIn(now time.Time, call contract.CallID) time.Duration {
	held, ok := l.grants[call]
	if !ok {
		return 0
	}
	return max(0, held.opens.Sub(now)) + l.link.Duration(held.ask.ImportBlocks)
}

// Transferred gives back what is left of the call's window on the import link.
func (l *Ledger) Transferred(call contract.CallID) {
	l.link.Release(call)
}

// Release gives back all that a call holds and reports whether it held any.
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

// Lapsed returns the calls whose lease ran out, each once. The sidecar cancels
// them at the upstream and releases them then; until that they count.
func (l *Ledger) Lapsed(now time.Time) []contract.CallID {
	var calls []contract.CallID
	for _, table := range l.tables() {
		for call, held := range table {
			if !held.lapsed && !now.Before(held.expires) {
				held.lapsed = true
				calls = append(calls, call)
			}
		}
	}
	slices.SortFunc(calls, compareCalls)
	return slices.Compact(calls)
}

// tables lists the grants and the prefills.
func (l *Ledger) tables() []map[contract.CallID]*grant {
	return []map[contract.CallID]*grant{l.grants, l.prefills}
}
