package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// FixedSplit is a baseline policy that divides rate and burst evenly by the
// number of entries. It sends no messages and wrongly refuses many requests if
// callers are spread unevenly.
type FixedSplit struct {
	opts     Options
	revision contract.Revision
	accounts map[contract.AccountID]contract.ClientAccount
	members  int
	buckets  map[contract.AccountID]*bucket
	waiting  []fixedWaiter
}

type fixedWaiter struct {
	id      contract.RequestID
	account contract.AccountID
	cost    contract.Tokens
	until   time.Time
}

// NewFixedSplit returns the policy of one entry; it grants nothing before the
// client accounts and members are set.
func NewFixedSplit(_ instance.Identity, opts Options) *FixedSplit {
	return &FixedSplit{opts: opts, buckets: make(map[contract.AccountID]*bucket)}
}

// SetAccounts implements Policy.
func (f *FixedSplit) SetAccounts(now time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount) {
	if f.accounts != nil && rev <= f.revision {
		return
	}
	f.refillAll(now)
	f.revision, f.accounts = rev, accounts
	for id := range f.buckets {
		if _, ok := accounts[id]; !ok {
			delete(f.buckets, id)
		}
	}
}

// SetMembers implements Policy.
func (f *FixedSplit) SetMembers(now time.Time, members []instance.Identity) {
	f.refillAll(now)
	f.members = len(members)
}

// Admit implements Policy.
func (f *FixedSplit) Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, maxWait time.Duration) Verdict {
	perSecond, burst := f.share(account)
	if float64(cost) > burst {
		return Verdict{State: Refused}
	}
	b := f.bucket(now, account)
	if b.tokens >= float64(cost) {
		b.tokens -= float64(cost)
		return Verdict{State: Granted}
	}
	wait := refillTime(cost, b.tokens, perSecond)
	if wait > maxWait {
		return Verdict{State: Refused, RetryAfter: wait}
	}
	f.waiting = append(f.waiting, fixedWaiter{id: id, account: account, cost: cost, until: now.Add(maxWait)})
	return Verdict{State: Waiting}
}

// CancelWait implements Policy.
func (f *FixedSplit) CancelWait(_ time.Time, id contract.RequestID) {
	for i, w := range f.waiting {
		if w.id == id {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			return
		}
	}
}

// Settle implements Policy.
func (f *FixedSplit) Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens) {
	if _, ok := f.accounts[account]; !ok {
		return
	}
	_, burst := f.share(account)
	f.bucket(now, account).add(float64(charged-used), burst)
}

// HandleMessage implements Policy; the policy has no messages.
func (f *FixedSplit) HandleMessage(time.Time, instance.Identity, Message) Result {
	return Result{}
}

// Tick implements Policy.
func (f *FixedSplit) Tick(now time.Time) Result {
	var result Result
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		b := f.bucket(now, w.account)
		perSecond, _ := f.share(w.account)
		switch {
		case b.tokens >= float64(w.cost):
			b.tokens -= float64(w.cost)
			result.Decisions = append(result.Decisions, Decision{RequestID: w.id, Granted: true, Account: w.account, Cost: w.cost})
		case !now.Before(w.until):
			after := refillTime(w.cost, b.tokens, perSecond)
			result.Decisions = append(result.Decisions, Decision{RequestID: w.id, RetryAfter: after})
		default:
			kept = append(kept, w)
		}
	}
	f.waiting = kept
	return result
}

// PrepareShutdown implements Policy; the policy transfers no tokens.
func (f *FixedSplit) PrepareShutdown(time.Time) []Outgoing {
	return nil
}

// share returns this entry's part of an account's rate and burst.
func (f *FixedSplit) share(account contract.AccountID) (perSecond, burst float64) {
	parts := f.opts.Entries
	if parts == 0 {
		parts = f.members
	}
	if parts == 0 {
		return 0, 0
	}
	limit := f.accounts[account].Rate
	return float64(limit.PerSecond) / float64(parts), float64(limit.Burst) / float64(parts)
}

// bucket returns an account's bucket, refilled up to now. A new one starts
// full, since only this entry spends its part. An entry that restarts gets its
// burst again, which is one reason why this policy is only a baseline.
func (f *FixedSplit) bucket(now time.Time, account contract.AccountID) *bucket {
	perSecond, burst := f.share(account)
	b, ok := f.buckets[account]
	if !ok {
		b = &bucket{tokens: burst, updatedAt: now}
		f.buckets[account] = b
	}
	b.refill(now, perSecond, burst)
	return b
}

// refillAll refills all buckets before the shares change.
func (f *FixedSplit) refillAll(now time.Time) {
	for account, b := range f.buckets {
		perSecond, burst := f.share(account)
		b.refill(now, perSecond, burst)
	}
}
