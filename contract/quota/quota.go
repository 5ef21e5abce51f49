// Package quota enforces the quotas of client accounts across all processes of a
// fleet without remote calls on a request's path. Each process keeps a token
// bucket per account, charges it for what it admits, and exchanges statements of
// these uses with its peers. While a peer's statements are missing, an even share
// of the rate is reserved for it. The fleet may exceed a quota by the tokens that
// were admitted but not yet reported to all processes. The package also handles the
// window over which quotas are counted.
//
// A Meter has no lock. It is kept in a shared table of rank RankRates and is used
// while that table's lock is held.
package quota

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Peer identifies a process of the fleet.
type Peer = instance.Name

// Limits of the part of an account's tokens that one process may use in a round,
// before its peers know of it.
const (
	// evenShares is a multiple of the even share, because callers are distributed
	// unevenly over processes.
	evenShares = 2
	// minRoundPart is the least part, which in a large fleet admits a few long
	// prompts at once.
	minRoundPart = 0.2
)

// SilentAfter is the age of a peer's last statement above which the peer counts as
// silent: three rounds of exchange.
const SilentAfter = 1500 * time.Millisecond

// Options configure a meter.
type Options struct {
	// Window is the period in which a quota allows its rate and one burst on top.
	Window time.Duration
	// Overdraft is the number of tokens that an account may use beyond its quota
	// in a window before requests are refused. It applies to quotas by tokens and
	// covers tokens that were admitted but not yet reported to this process.
	Overdraft float64
	// Incarnation is that of this process.
	Incarnation instance.Incarnation
	// Start is when the process started.
	Start time.Time
}

// Meter tracks the usage of all accounts at one process.
type Meter struct {
	options Options
	// own holds this process's uses.
	own     ledger
	peers   map[Peer]*peer
	buckets map[contract.AccountID]*bucket
	// processes is the size of the fleet as passed to BeginRound.
	processes int
	// former counts the buckets of accounts that no longer exist, as of the last Retain.
	former int
}

// peer is the state of the exchange with another process.
type peer struct {
	// upTo is the last of its uses that was applied here.
	upTo Mark
	// acknowledged is the sequence number up to which it has applied this
	// process's uses.
	acknowledged uint64
	// lastStatementAt is when its last statement arrived.
	lastStatementAt time.Time
}

// bucket is the token bucket of an account at this process. It is charged for uses
// at any process, and is refilled at the account's rate.
type bucket struct {
	// level may be negative.
	level float64
	// at is when level was last refilled.
	at time.Time
	// unreported is the number of tokens used here in this round, which peers do
	// not know of yet. allowed limits it, except for the first request of a round.
	unreported, allowed float64
	// urgent are the tokens that urgent requests asked for here, ordinary those that others
	// got. They fade with askedHalfLife; fadedAt is when they last did.
	urgent, ordinary float64
	fadedAt          time.Time
	// burst and rate are those of the account at the last refill, rate with this process's
	// share. former is set while the account does not exist, see Retain.
	burst, rate float64
	former      bool
}

// askedHalfLife is the time in which what an account asked for loses half of its weight.
const askedHalfLife = 10 * time.Second

// fade fades what was asked for up to now.
func (b *bucket) fade(now time.Time) {
	if elapsed := now.Sub(b.fadedAt); !b.fadedAt.IsZero() && elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / askedHalfLife.Seconds())
		b.urgent *= factor
		b.ordinary *= factor
	}
	b.fadedAt = now
}

// urgentShare is the part of an account's tokens that its urgent requests ask for, if an
// ordinary request of the given cost is admitted. Ordinary requests that were refused do not
// count: callers send them again and again.
func (b *bucket) urgentShare(cost float64) float64 {
	total := b.urgent + b.ordinary + cost
	if total <= 0 {
		return 0
	}
	return b.urgent / total
}

// Class tells whether a request is more urgent than others of its account.
type Class uint8

const (
	// Ordinary requests are the least urgent of their account, or all are alike.
	Ordinary Class = iota
	// Urgent requests come before ordinary ones.
	Urgent
)

// NewMeter returns an empty meter.
func NewMeter(o Options) *Meter {
	return &Meter{
		options: o,
		peers:   make(map[Peer]*peer),
		buckets: make(map[contract.AccountID]*bucket),
	}
}

// Decision is the result of Admit with its inputs. For accounts without a limit
// only Granted and Cost are set.
type Decision struct {
	Granted bool
	// After is the time until the bucket is expected to be refilled sufficiently;
	// 0 if granted.
	After time.Duration
	// Level is the bucket's level before the request, Cost the request's tokens.
	Level, Cost float64
	// Silent is the number of peers without a recent statement.
	Silent int
}

// Admit charges the cost of a request to an account's bucket, or refuses it. Ordinary
// requests leave a part of the burst in the bucket, as large as the part of the account's
// tokens that its urgent requests ask for: when the account asks for more than its quota,
// its urgent requests are admitted first.
func (m *Meter) Admit(now time.Time, account *directory.Account, cost float64, class Class) Decision {
	d := Decision{Granted: true, Cost: cost}
	if !account.Quota.Limited() {
		return d
	}
	b, share := m.refill(now, account)
	overAllowance := m.fleetSize() > 1 && b.unreported > 0 && b.unreported+cost > b.allowed
	d.Silent = m.silentPeers(now)
	d.Level = b.level
	// A request larger than the burst passes when the bucket is full.
	needed := min(cost, account.Quota.Burst) - m.overdraft(account)
	b.fade(now)
	if class == Ordinary {
		needed = min(needed+b.urgentShare(cost)*account.Quota.Burst, account.Quota.Burst)
	} else {
		b.urgent += cost
	}
	if b.level >= needed && !overAllowance {
		if class == Ordinary {
			b.ordinary += cost
		}
		b.level -= cost
		b.unreported += cost
		m.own.add(now, account.ID, cost)
		return d
	}
	d.Granted = false
	after := time.Duration(max(0, needed-b.level) / (m.refillRate(account) * share) * float64(time.Second))
	d.After = after.Truncate(time.Millisecond) + time.Millisecond
	return d
}

// overdraft is the amount by which an account's bucket may fall below zero.
func (m *Meter) overdraft(account *directory.Account) float64 {
	if !account.Quota.ByTokens {
		return 0
	}
	return m.options.Overdraft
}

// Refund returns the cost of a request that no upstream ran.
func (m *Meter) Refund(now time.Time, account contract.AccountID, cost float64) {
	b, ok := m.buckets[account]
	if !ok {
		return
	}
	b.level += cost
	b.unreported -= cost
	m.own.add(now, account, -cost)
}

// refill refills an account's bucket up to now and returns it with the share of
// the rate at which it is refilled. It creates the bucket if necessary.
func (m *Meter) refill(now time.Time, account *directory.Account) (*bucket, float64) {
	share := m.share(now)
	b, ok := m.buckets[account.ID]
	if !ok {
		// The fleet may have used all tokens before this process started. Other
		// processes that started at the same time do not know either, so each
		// begins with an even share of the overdraft.
		overdraft := m.overdraft(account)
		b = &bucket{level: overdraft/float64(m.fleetSize()) - overdraft, at: m.options.Start}
		if b.at.IsZero() {
			b.at = now
		}
		m.buckets[account.ID] = b
	}
	if now.After(b.at) {
		b.level += now.Sub(b.at).Seconds() * m.refillRate(account) * share
		b.at = now
	}
	b.level = min(b.level, account.Quota.Burst)
	b.burst, b.rate = account.Quota.Burst, m.refillRate(account)*share
	if !ok {
		b.allowed = m.roundAllowance(b.level + m.overdraft(account))
	}
	return b, share
}

// refillRate is the refill rate of an account in tokens per second: its rate plus
// one burst per window, because a quota allows both in each window.
func (m *Meter) refillRate(account *directory.Account) float64 {
	return account.Quota.PerSecond + account.Quota.Burst/m.options.Window.Seconds()
}

// share is the part of an account's rate at which buckets are refilled: 1 less an
// even share for each silent peer.
func (m *Meter) share(now time.Time) float64 {
	return float64(m.fleetSize()-m.silentPeers(now)) / float64(m.fleetSize())
}

// fleetSize is the number of processes in the fleet, with those that have not sent a
// statement yet.
func (m *Meter) fleetSize() int {
	return max(m.processes, len(m.peers)+1)
}

func (m *Meter) silentPeers(now time.Time) int {
	reporting := 1
	for _, p := range m.peers {
		if now.Sub(p.lastStatementAt) <= SilentAfter {
			reporting++
		}
	}
	return m.fleetSize() - reporting
}

// roundAllowance is the number of tokens that one process may use in a round if
// tokens are left in all.
func (m *Meter) roundAllowance(tokens float64) float64 {
	return max(0, tokens) * min(1, max(minRoundPart, evenShares/float64(m.fleetSize())))
}

// BeginRound begins a round of exchange; the caller sends the statements of
// StatementFor to all peers. processes is the number of processes in the fleet, with
// this one.
func (m *Meter) BeginRound(processes int) {
	m.processes = processes
	for _, b := range m.buckets {
		b.unreported = 0
		b.allowed = m.roundAllowance(b.level + m.options.Overdraft)
	}
}

// Forget removes a peer that has left the fleet. Its share is no longer reserved.
func (m *Meter) Forget(from Peer) {
	delete(m.peers, from)
}
