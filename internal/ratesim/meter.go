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

// Meter compares what callers got with one bucket that sees all grants, and
// with one entry that gets all requests and never fails.
type Meter struct {
	fleet    *Fleet
	accounts map[contract.AccountID]*Tally
	waiting  map[contract.RequestID]call
	ideal    *rate.FixedSplit
	idealFor map[contract.RequestID]call
	seq      int
	// Admitted counts all requests asked for; Spent is the real time that the
	// policies took over them.
	Admitted int
	Spent    time.Duration
}

type call struct {
	account contract.AccountID
	cost    contract.Tokens
	arrived time.Duration
	entry   *Entry
	run     instance.Incarnation
	use     float64
}

// Tally is what one account got.
type Tally struct {
	limit contract.Rate
	// upper is what one bucket for the whole fleet holds; what a request did not
	// use may come into it a little later, when there is room.
	upper float64
	owed  []owed
	at    time.Duration
	story []moment
	// Over is the most that was granted beyond the bound, in tokens.
	Over float64
	// Asked, Granted, Refused and Wrongful count requests; Lost ones were at an
	// entry that crashed.
	Asked, Granted, Refused, Lost int
	// Served and Due are tokens granted here and by the ideal entry.
	Served, Due contract.Tokens
}

// owed is what a request did not use.
type owed struct {
	amount float64
	until  time.Duration
}

// owedFor is a second and the time that messages take.
const owedFor = 1200 * time.Millisecond

func newMeter(f *Fleet, accounts []contract.ClientAccount) *Meter {
	m := &Meter{
		fleet:    f,
		accounts: make(map[contract.AccountID]*Tally),
		waiting:  make(map[contract.RequestID]call),
		ideal:    rate.NewFixedSplit(instance.Identity{}, rate.Options{Entries: 1}),
		idealFor: make(map[contract.RequestID]call),
	}
	limits := make(map[contract.AccountID]contract.ClientAccount)
	for _, a := range accounts {
		limits[a.ID] = a
		m.accounts[a.ID] = &Tally{limit: a.Rate, upper: float64(a.Rate.Burst)}
	}
	m.ideal.SetContracts(epoch, 1, limits)
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

// Request sends one request to an entry; use is the share of its charge that it
// will use.
func (f *Fleet) Request(e *Entry, account contract.AccountID, cost contract.Tokens, patience time.Duration, use float64) {
	m := f.meter
	m.seq++
	id := contract.RequestID(fmt.Sprint("r", m.seq))
	c := call{account: account, cost: cost, arrived: f.Now, entry: e, run: e.Identity.Incarnation, use: use}
	m.idealAdmit(id, c, patience)
	m.accounts[account].Asked++
	m.Admitted++
	f.admit(id, c, patience)
}

// admit reaches the entry, late if it is paused.
func (f *Fleet) admit(id contract.RequestID, c call, patience time.Duration) {
	m := f.meter
	if !c.entry.Up {
		m.accounts[c.account].Lost++
		return
	}
	if f.Now < c.entry.paused {
		f.At(c.entry.paused, func() { f.admit(id, c, patience) })
		return
	}
	now := f.clock(c.entry)
	began := time.Now()
	v := c.entry.Policy.Admit(now, id, c.account, c.cost, patience)
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
	t.story = append(t.story, moment{at: c.arrived, cost: float64(c.cost), granted: d.Granted})
	if !d.Granted {
		t.Refused++
		return
	}
	t.Granted++
	t.Served += c.cost
	t.spend(float64(c.cost))
	m.settle(c, t)
}

// settle gives back what the request does not use, a second later.
func (m *Meter) settle(c call, t *Tally) {
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
		t.story = append(t.story, moment{at: f.Now, refund: float64(c.cost - used)})
		t.owed = append(t.owed, owed{amount: float64(c.cost - used), until: f.Now + owedFor})
		c.entry.Policy.Settle(f.clock(c.entry), c.account, c.cost, used)
	}
	f.At(f.Now+time.Second, end)
}

// dropped forgets the waiting requests of an entry that crashed.
func (m *Meter) dropped(e *Entry) {
	for id, c := range m.waiting {
		if c.entry == e {
			delete(m.waiting, id)
			m.accounts[c.account].Lost++
		}
	}
}

func (t *Tally) advance(now time.Duration) {
	for len(t.owed) > 0 && t.owed[0].until <= now {
		t.accrue(t.owed[0].until)
		t.credit(t.owed[0].amount)
		t.owed = t.owed[1:]
	}
	t.accrue(now)
}

func (t *Tally) accrue(now time.Duration) {
	if now > t.at {
		t.credit((now - t.at).Seconds() * float64(t.limit.PerSecond))
		t.at = now
	}
}

// credit adds to the bucket for the bound, up to the burst.
func (t *Tally) credit(amount float64) {
	t.upper = math.Min(t.upper+amount, float64(t.limit.Burst))
}

// spend takes a grant from the bucket for the bound. What is owed comes in as
// late as it may, since that is what lets the most through within the bound.
func (t *Tally) spend(cost float64) {
	t.upper -= cost
	for i := range t.owed {
		part := math.Min(t.owed[i].amount, math.Max(-t.upper, 0))
		t.upper += part
		t.owed[i].amount -= part
	}
	t.Over = math.Max(t.Over, -t.upper)
}

// moment is an arrival with its outcome, or a refund.
type moment struct {
	at           time.Duration
	cost, refund float64
	granted      bool
}

// Wrongful counts the requests that were refused though, when they arrived, the
// account was within its contract over the whole fleet, with all requests that
// arrived before and were granted charged at their arrival. Its rate is less by
// what two clocks may differ, since entries must keep the bound with fast clocks.
func (t *Tally) Wrongful() int {
	slices.SortStableFunc(t.story, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	burst := float64(t.limit.Burst)
	perSecond := float64(t.limit.PerSecond) * (1 - 2*rate.ClockDrift)
	level, at, wrongful := burst, time.Duration(0), 0
	for _, m := range t.story {
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

func (m *Meter) idealAdmit(id contract.RequestID, c call, patience time.Duration) {
	m.idealFor[id] = c
	v := m.ideal.Admit(m.clock(), id, c.account, c.cost, patience)
	if v.State != rate.Waiting {
		m.recordIdealDecision(id, v.State == rate.Granted)
	}
}

func (m *Meter) recordIdealDecision(id contract.RequestID, granted bool) {
	c := m.idealFor[id]
	delete(m.idealFor, id)
	if !granted {
		return
	}
	m.accounts[c.account].Due += c.cost
	used := contract.Tokens(float64(c.cost) * c.use)
	m.fleet.At(m.fleet.Now+time.Second, func() { m.ideal.Settle(m.clock(), c.account, c.cost, used) })
}

// Tally gives what an account got.
func (f *Fleet) Tally(account contract.AccountID) Tally {
	return *f.meter.accounts[account]
}
