package ratesim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Meter compares the grants with the bound, which is a single token bucket for the whole
// fleet, and with the ideal: a single entry that gets all requests and never fails.
type Meter struct {
	fleet        *Fleet
	accounts     map[contract.AccountID]*AccountTally
	waiting      map[contract.RequestID]call
	ideal        *rate.FixedSplit
	idealWaiting map[contract.RequestID]call
	seq          int
	// Admitted counts all requests sent, also those refused or lost; Spent is the real time that the policies'
	// Admit calls took.
	Admitted int
	Spent    time.Duration
}

// call is a request that waits for its grant. run is the incarnation of its entry, use the
// fraction of the cost that is used.
type call struct {
	account contract.AccountID
	cost    contract.Tokens
	arrived time.Duration
	entry   *Entry
	run     instance.Incarnation
	use     float64
}

// AccountTally holds the counts of one account.
type AccountTally struct {
	limit contract.Rate
	// level is the content of the single bucket for the whole fleet. A refund may enter
	// it up to refundDelay late, when the bucket has room.
	level   float64
	refunds []pendingRefund
	at      time.Duration
	history []ledgerEvent
	// MaxExcess is the largest excess of grants over the bound, in tokens.
	MaxExcess float64
	// Asked, Granted and Refused count requests. Lost counts those at an entry that
	// was down or crashed.
	Asked, Granted, Refused, Lost int
	// Served and IdealServed are the tokens granted by the fleet and by the ideal entry.
	Served, IdealServed contract.Tokens
}

// pendingRefund is the unused part of a grant; it enters the bucket until the given time
// at the latest.
type pendingRefund struct {
	amount float64
	until  time.Duration
}

// refundDelay is one second plus the time that messages take.
const refundDelay = 1200 * time.Millisecond

func newMeter(f *Fleet, accounts []contract.ClientAccount) *Meter {
	m := &Meter{
		fleet:        f,
		accounts:     make(map[contract.AccountID]*AccountTally),
		waiting:      make(map[contract.RequestID]call),
		ideal:        rate.NewFixedSplit(instance.Identity{}, rate.Options{Entries: 1}),
		idealWaiting: make(map[contract.RequestID]call),
	}
	limits := make(map[contract.AccountID]contract.ClientAccount)
	for _, a := range accounts {
		limits[a.ID] = a
		m.accounts[a.ID] = &AccountTally{limit: a.Rate, level: float64(a.Rate.Burst)}
	}
	m.ideal.SetAccounts(epoch, 1, limits)
	var tick func()
	tick = func() {
		for _, d := range m.ideal.Tick(m.clock()).Decisions {
			m.recordIdealDecision(d.RequestID, d.Granted)
		}
		f.At(f.Now+rate.TickEvery, tick)
	}
	f.At(0, tick)
	return m
}

func (m *Meter) clock() time.Time {
	return epoch.Add(m.fleet.Now)
}

// Request sends one request to an entry; use is the share of its cost that it will use.
// The rest is refunded.
func (f *Fleet) Request(e *Entry, account contract.AccountID, cost contract.Tokens, maxWait time.Duration, use float64) {
	m := f.meter
	m.seq++
	id := contract.RequestID(fmt.Sprint("r", m.seq))
	c := call{account: account, cost: cost, arrived: f.Now, entry: e, run: e.Identity.Incarnation, use: use}
	m.idealAdmit(id, c, maxWait)
	m.accounts[account].Asked++
	m.Admitted++
	f.admit(id, c, maxWait)
}

// admit passes a request to the entry's policy, at the end of the pause if the entry is
// paused.
func (f *Fleet) admit(id contract.RequestID, c call, maxWait time.Duration) {
	m := f.meter
	if !c.entry.Up {
		m.accounts[c.account].Lost++
		return
	}
	if f.Now < c.entry.paused {
		f.At(c.entry.paused, func() { f.admit(id, c, maxWait) })
		return
	}
	now := f.clock(c.entry)
	began := time.Now()
	v := c.entry.Policy.Admit(now, id, c.account, c.cost, maxWait)
	m.Spent += time.Since(began)
	m.waiting[id] = c
	if v.State != rate.Waiting {
		m.recordDecision(c.entry, rate.Decision{RequestID: id, Granted: v.State == rate.Granted})
	}
	f.send(c.entry, v.Messages)
}

func (m *Meter) recordDecision(e *Entry, d rate.Decision) {
	c, ok := m.waiting[d.RequestID]
	if !ok || c.entry != e {
		return
	}
	delete(m.waiting, d.RequestID)
	t := m.accounts[c.account]
	t.advance(m.fleet.Now)
	t.history = append(t.history, ledgerEvent{at: c.arrived, cost: float64(c.cost), granted: d.Granted})
	if !d.Granted {
		t.Refused++
		return
	}
	t.Granted++
	t.Served += c.cost
	t.spend(float64(c.cost))
	m.settle(c, t)
}

// settle refunds the unused part of a grant one second later, unless the entry restarted
// or crashed.
func (m *Meter) settle(c call, t *AccountTally) {
	used := contract.Tokens(float64(c.cost) * c.use)
	if used == c.cost {
		return
	}
	f := m.fleet
	var end func()
	end = func() {
		if f.Now < c.entry.paused {
			f.At(c.entry.paused, end)
			return
		}
		if !c.entry.Up || c.entry.Identity.Incarnation != c.run {
			return
		}
		t.advance(f.Now)
		t.history = append(t.history, ledgerEvent{at: f.Now, refund: float64(c.cost - used)})
		t.refunds = append(t.refunds, pendingRefund{amount: float64(c.cost - used), until: f.Now + refundDelay})
		c.entry.Policy.Settle(f.clock(c.entry), c.account, c.cost, used)
	}
	f.At(f.Now+time.Second, end)
}

// recordCrash counts the waiting requests of a crashed entry as lost.
func (m *Meter) recordCrash(e *Entry) {
	for id, c := range m.waiting {
		if c.entry == e {
			delete(m.waiting, id)
			m.accounts[c.account].Lost++
		}
	}
}

// advance brings the bucket of the bound to now, with the refunds that are due by then.
func (t *AccountTally) advance(now time.Duration) {
	for len(t.refunds) > 0 && t.refunds[0].until <= now {
		t.accrue(t.refunds[0].until)
		t.credit(t.refunds[0].amount)
		t.refunds = t.refunds[1:]
	}
	t.accrue(now)
}

func (t *AccountTally) accrue(now time.Duration) {
	if now > t.at {
		t.credit((now - t.at).Seconds() * float64(t.limit.PerSecond))
		t.at = now
	}
}

// credit adds tokens to the bucket of the bound, up to the burst.
func (t *AccountTally) credit(amount float64) {
	t.level = math.Min(t.level+amount, float64(t.limit.Burst))
}

// spend takes a grant from the bucket of the bound. Refunds enter the bucket as late as
// allowed, or when the bucket would go below zero, since that permits the most grants
// within the bound.
func (t *AccountTally) spend(cost float64) {
	t.level -= cost
	for i := range t.refunds {
		part := math.Min(t.refunds[i].amount, math.Max(-t.level, 0))
		t.level += part
		t.refunds[i].amount -= part
	}
	t.MaxExcess = math.Max(t.MaxExcess, -t.level)
}

// ledgerEvent is the arrival of a request with its outcome, or a refund.
type ledgerEvent struct {
	at           time.Duration
	cost, refund float64
	granted      bool
}

// Wrongful counts the refused requests that were within their account's rate over the
// whole fleet when they arrived. Granted requests are charged at their arrival. The rate
// is reduced by the possible difference between two clocks, since entries must keep the
// bound even if their clocks are fast.
func (t *AccountTally) Wrongful() int {
	slices.SortStableFunc(t.history, func(a, b ledgerEvent) int { return cmp.Compare(a.at, b.at) })
	burst := float64(t.limit.Burst)
	perSecond := float64(t.limit.PerSecond) * (1 - 2*rate.ClockDrift)
	level, at, wrongful := burst, time.Duration(0), 0
	for _, m := range t.history {
		level = math.Min(level+(m.at-at).Seconds()*perSecond, burst)
		at = m.at
		switch {
		case m.refund > 0:
			level = math.Min(level+m.refund, burst)
		case m.granted:
			level -= m.cost
		case level >= m.cost:
			wrongful++
		}
	}
	return wrongful
}

func (m *Meter) idealAdmit(id contract.RequestID, c call, maxWait time.Duration) {
	m.idealWaiting[id] = c
	v := m.ideal.Admit(m.clock(), id, c.account, c.cost, maxWait)
	if v.State != rate.Waiting {
		m.recordIdealDecision(id, v.State == rate.Granted)
	}
}

func (m *Meter) recordIdealDecision(id contract.RequestID, granted bool) {
	c := m.idealWaiting[id]
	delete(m.idealWaiting, id)
	if !granted {
		return
	}
	m.accounts[c.account].IdealServed += c.cost
	used := contract.Tokens(float64(c.cost) * c.use)
	m.fleet.At(m.fleet.Now+time.Second, func() { m.ideal.Settle(m.clock(), c.account, c.cost, used) })
}

// Tally returns a copy of the counts of an account, which must be one of
// Options.Accounts.
func (f *Fleet) Tally(account contract.AccountID) AccountTally {
	return *f.meter.accounts[account]
}
