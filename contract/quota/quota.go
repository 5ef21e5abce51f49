// Package quota keeps client accounts within their quotas across all processes
// of a fleet, without asking anybody on a request's path. Each process counts
// what it admitted and hears from the others what they did; a process that was
// not heard from lately is taken to use an even share. The quota of the pages
// has a slack, which covers what was admitted but not heard of yet.
//
// A Meter has no lock; it lives in a shared table of rank RankRates.
package quota

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Peer names a process of the fleet.
type Peer = instance.Name

// What a process may use of an account's tokens in one round, before the others
// hear of it: some times an even part, since callers are spread unevenly, and in a
// large fleet enough for a few long prompts at once.
const (
	unevenness = 2
	leastPart  = 0.2
)

// HeardWithin is the age above which a peer's figures count as unknown: three
// rounds of exchange.
const HeardWithin = 1500 * time.Millisecond

// Options configure a meter.
type Options struct {
	// Window is the span over which quotas are judged.
	Window time.Duration
	// Overdraft is what an account may use beyond its quota in a window before
	// anything is refused. It covers what was admitted but not heard of yet.
	Overdraft float64
	// Incarnation is this process's own.
	Incarnation instance.Incarnation
	// Start is when the process started.
	Start time.Time
}

// Meter is what one process knows of the accounts' usage.
type Meter struct {
	options Options
	own     ledger
	peers   map[Peer]*peer
	local   map[contract.AccountID]*bucket
	// processes is how many processes the fleet is said to have.
	processes int
}

// peer is what was heard from another process.
type peer struct {
	// upTo is what of its uses was taken in here.
	upTo Mark
	// acknowledged is the sequence up to which it has taken in this process's.
	acknowledged uint64
	heard        time.Time
}

// bucket is an account's tokens as seen from here: it fills at the account's
// rate and is emptied by what anybody used.
type bucket struct {
	level float64
	at    time.Time
	// unstated is what was used here in this round, which peers have not heard
	// of; allowed bounds it.
	unstated, allowed float64
}

// NewMeter returns an empty meter.
func NewMeter(o Options) *Meter {
	return &Meter{
		options: o,
		peers:   make(map[Peer]*peer),
		local:   make(map[contract.AccountID]*bucket),
	}
}

// Decision is the outcome of Admit, with what led to it.
type Decision struct {
	Granted bool
	// After is when tokens will be there again.
	After time.Duration
	// Level is what was left, Cost what was asked.
	Level, Cost float64
	// Silent counts the peers whose figures were too old.
	Silent int
}

// Admit takes the cost of a request from an account.
func (m *Meter) Admit(now time.Time, account *directory.Account, cost float64) Decision {
	d := Decision{Granted: true, Cost: cost}
	if !account.Quota.Limited() {
		return d
	}
	b, share := m.fill(now, account)
	ahead := m.all() > 1 && b.unstated > 0 && b.unstated+cost > b.allowed
	d.Silent = m.silent(now)
	d.Level = b.level
	// A request larger than the burst passes when the bucket is full.
	needed := min(cost, account.Quota.Burst) - m.overdraft(account)
	if b.level >= needed && !ahead {
		b.level -= cost
		b.unstated += cost
		m.own.add(now, account.ID, cost)
		return d
	}
	d.Granted = false
	after := time.Duration(max(0, needed-b.level) / (m.perSecond(account) * share) * float64(time.Second))
	d.After = after.Truncate(time.Millisecond) + time.Millisecond
	return d
}

// overdraft is what an account may be below zero here.
func (m *Meter) overdraft(account *directory.Account) float64 {
	if !account.Quota.ByTokens {
		return 0
	}
	return m.options.Overdraft
}

// Refund gives back the cost of a request that no upstream ran.
func (m *Meter) Refund(now time.Time, account contract.AccountID, cost float64) {
	b, ok := m.local[account]
	if !ok {
		return
	}
	b.level += cost
	b.unstated -= cost
	m.own.add(now, account, -cost)
}

// fill brings an account's bucket up to now. While peers are silent only the
// part of the rate that does not belong to them flows in.
func (m *Meter) fill(now time.Time, account *directory.Account) (*bucket, float64) {
	share := m.share(now)
	b, ok := m.local[account.ID]
	if !ok {
		// What the fleet used before this process started may have been all, and
		// others that started with it know as little.
		overdraft := m.overdraft(account)
		b = &bucket{level: overdraft/float64(m.all()) - overdraft, at: m.options.Start}
		if b.at.IsZero() {
			b.at = now
		}
		m.local[account.ID] = b
	}
	if now.After(b.at) {
		b.level += now.Sub(b.at).Seconds() * m.perSecond(account) * share
		b.at = now
	}
	b.level = min(b.level, account.Quota.Burst)
	if !ok {
		b.allowed = m.part(b.level + m.overdraft(account))
	}
	return b, share
}

// perSecond is what an account may use in the long run: its rate and burst over
// each window, since a quota is judged by windows.
func (m *Meter) perSecond(account *directory.Account) float64 {
	return account.Quota.PerSecond + account.Quota.Burst/m.options.Window.Seconds()
}

// share is the part of a rate that may be spent here: all of it as far as peers
// are heard, less an even part for each silent one.
func (m *Meter) share(now time.Time) float64 {
	return float64(m.all()-m.silent(now)) / float64(m.all())
}

// all counts the processes, those that were not heard yet among them.
func (m *Meter) all() int {
	return max(m.processes, len(m.peers)+1)
}

func (m *Meter) silent(now time.Time) int {
	heard := 1
	for _, p := range m.peers {
		if now.Sub(p.heard) <= HeardWithin {
			heard++
		}
	}
	return m.all() - heard
}

// part is what one process may use of some tokens before the others hear of it.
func (m *Meter) part(tokens float64) float64 {
	return max(0, tokens) * min(1, max(leastPart, unevenness/float64(m.all())))
}

// Round begins a round: peers are told now what was used before. processes is how
// many of them the fleet is said to have.
func (m *Meter) Round(processes int) {
	m.processes = processes
	for _, b := range m.local {
		b.unstated = 0
		b.allowed = m.part(b.level + m.options.Overdraft)
	}
}

// Forget removes a peer that has left the fleet.
func (m *Meter) Forget(from Peer) {
	delete(m.peers, from)
}
