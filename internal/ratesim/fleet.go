// Package ratesim runs the decisions of contract/rate of several entries on one
// virtual clock: a bus that loses, repeats and delays messages, clocks that
// drift, pauses, crashes, cuts, and a table that fails. It measures what the
// callers got against one bucket that sees everything.
package ratesim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times of the simulated surroundings.
const (
	oneWay         = 500 * time.Microsecond
	storeTrip      = 4 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	storeEvery     = 500 * time.Millisecond
	aliveFor       = 1600 * time.Millisecond
	ownerLease     = 5 * time.Second
)

// Options configure a fleet.
type Options struct {
	Policy  string
	Entries int
	Zones   int
	Seed    uint64
	// Loss and Repeat are the shares of messages lost and sent twice; Late is
	// the share that comes up to LateBy late.
	Loss, Repeat, Late float64
	LateBy             time.Duration
	// Drift is the greatest difference between two clocks' speeds.
	Drift float64
	Rate  rate.Options
	// Accounts are the contracts.
	Accounts []contract.ClientAccount
}

// Entry is one simulated entry.
type Entry struct {
	Identity instance.Identity
	Policy   rate.Policy
	Up       bool
	drift    float64
	paused   time.Duration
	heard    map[instance.Name]heardFrom
}

type heardFrom struct {
	who instance.Identity
	at  time.Duration
}

// Fleet is the simulation. All times are since its start.
type Fleet struct {
	Now     time.Duration
	Entries []*Entry
	// StoreDown makes the table unreachable for all.
	StoreDown bool
	// Messages counts those that the policies sent about accounts; Renewals the
	// others.
	Messages, Renewals int
	options            Options
	rng                *rand.Rand
	events             events
	seq                int
	cut                map[[2]instance.Name]bool
	offStore           map[instance.Name]bool
	// quiet entries get no callers.
	quiet  map[instance.Name]bool
	layout *rate.Layout
	owners map[contract.AccountID]ownerRow
	meter  *Meter
	starts int64
}

type ownerRow struct {
	owner instance.Identity
	until time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var epoch = time.Unix(1_000_000, 0)

// New returns a fleet with all entries started.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		options:  options,
		rng:      rand.New(rand.NewPCG(options.Seed, 7)),
		cut:      make(map[[2]instance.Name]bool),
		offStore: make(map[instance.Name]bool),
		layout:   &rate.Layout{},
		owners:   make(map[contract.AccountID]ownerRow),
	}
	f.meter = newMeter(f, options.Accounts)
	for i := range options.Entries {
		name := instance.Name(fmt.Sprintf("entry-%02d", i+1))
		place := zone.Place{Region: "r", Zone: zone.AvailabilityZone(fmt.Sprint("z", i%max(options.Zones, 1)))}
		e := &Entry{Identity: instance.Identity{Name: name, Place: place}}
		f.Entries = append(f.Entries, e)
		if err := f.Start(e); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Start starts an entry anew, as a later incarnation.
func (f *Fleet) Start(e *Entry) error {
	f.starts++
	e.Identity.Incarnation = instance.Incarnation(f.starts)
	policy, err := rate.New(f.options.Policy, e.Identity, f.options.Rate)
	if err != nil {
		return fmt.Errorf("ratesim: %w", err)
	}
	e.Policy, e.Up, e.paused = policy, true, 0
	e.drift = (f.rng.Float64() - 0.5) * f.options.Drift
	e.heard = make(map[instance.Name]heardFrom)
	accounts := make(map[contract.AccountID]contract.ClientAccount)
	for _, a := range f.options.Accounts {
		accounts[a.ID] = a
	}
	policy.SetContracts(f.clock(e), 1, accounts)
	incarnation := e.Identity.Incarnation
	f.every(e, incarnation, rate.TickEvery, func() { f.result(e, policy.Tick(f.clock(e))) })
	f.every(e, incarnation, heartbeatEvery, func() { f.heartbeat(e) })
	f.every(e, incarnation, storeEvery, func() { f.visitStore(e) })
	return nil
}

// Crash ends an entry's process.
func (f *Fleet) Crash(e *Entry) {
	e.Up = false
	f.meter.dropped(e)
}

// Pause stops an entry's process for a while; its clock goes on.
func (f *Fleet) Pause(e *Entry, d time.Duration) {
	e.paused = max(e.paused, f.Now+d)
}

// Cut separates two entries, or joins them again.
func (f *Fleet) Cut(a, b *Entry, apart bool) {
	f.cut[[2]instance.Name{a.Identity.Name, b.Identity.Name}] = apart
	f.cut[[2]instance.Name{b.Identity.Name, a.Identity.Name}] = apart
}

// CutStore separates an entry from the table.
func (f *Fleet) CutStore(e *Entry, apart bool) {
	f.offStore[e.Identity.Name] = apart
}

// Run goes on until the given time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.Now = max(f.Now, next.at)
		next.do()
	}
	f.Now = until
}

// At schedules something.
func (f *Fleet) At(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: max(at, f.Now), seq: f.seq, do: do})
}

// clock is the time by an entry's clock.
func (f *Fleet) clock(e *Entry) time.Time {
	return epoch.Add(f.Now + time.Duration(float64(f.Now)*e.drift))
}

// every repeats while the incarnation lives; a paused entry does late what was
// due.
func (f *Fleet) every(e *Entry, incarnation instance.Incarnation, d time.Duration, do func()) {
	var step func()
	step = func() {
		if !e.Up || e.Identity.Incarnation != incarnation {
			return
		}
		if f.Now < e.paused {
			f.At(e.paused, step)
			return
		}
		do()
		f.At(f.Now+d, step)
	}
	f.At(f.Now+time.Duration(f.rng.Int64N(int64(d))), step)
}

// deliver runs something at an entry after the link's delay, if it comes
// through.
func (f *Fleet) deliver(from, to *Entry, do func()) {
	times := 1
	if f.rng.Float64() < f.options.Repeat {
		times = 2
	}
	for range times {
		delay := oneWay + time.Duration(f.rng.Int64N(int64(oneWay)))
		if f.rng.Float64() < f.options.Late {
			delay += time.Duration(f.rng.Int64N(int64(f.options.LateBy)))
		}
		if f.rng.Float64() >= f.options.Loss {
			f.At(f.Now+delay, func() { f.arrive(from, to, do) })
		}
	}
}

func (f *Fleet) arrive(from, to *Entry, do func()) {
	switch {
	case !to.Up || f.cut[[2]instance.Name{from.Identity.Name, to.Identity.Name}]:
	case f.Now < to.paused:
		f.At(to.paused, func() { f.arrive(from, to, do) })
	default:
		do()
	}
}

func (f *Fleet) find(name instance.Name) *Entry {
	for _, e := range f.Entries {
		if e.Identity.Name == name {
			return e
		}
	}
	return nil
}

// result sends and counts the decisions of a policy.
func (f *Fleet) result(e *Entry, r rate.Result) {
	for _, d := range r.Decisions {
		f.meter.recordDecision(e, d)
	}
	f.send(e, r.Messages)
}

func (f *Fleet) send(e *Entry, out []rate.Outgoing) {
	from := e.Identity
	for _, o := range out {
		if m := o.Message; len(m.Asks)+len(m.Gifts)+len(m.Returns)+len(m.Offers) > 0 {
			f.Messages++
		} else {
			f.Renewals++
		}
		to := f.find(o.To)
		f.deliver(e, to, func() { f.result(to, to.Policy.HandleMessage(f.clock(to), from, o.Message)) })
	}
}

// heartbeat tells the others that the entry lives, and the policy who does.
func (f *Fleet) heartbeat(e *Entry) {
	who := e.Identity
	for _, to := range f.Entries {
		if to != e {
			f.deliver(e, to, func() { to.heard[who.Name] = heardFrom{who: who, at: f.Now} })
		}
	}
	members := []instance.Identity{who}
	for _, other := range f.Entries {
		if h, ok := e.heard[other.Identity.Name]; ok && f.Now-h.at < aliveFor {
			members = append(members, h.who)
		}
	}
	e.Policy.SetMembers(f.clock(e), members)
}

// visitStore reads and writes what the policy keeps in the table.
func (f *Fleet) visitStore(e *Entry) {
	if f.StoreDown || f.offStore[e.Identity.Name] {
		return
	}
	incarnation := e.Identity.Incarnation
	switch p := e.Policy.(type) {
	case rate.LayoutPolicy:
		p.SetLayout(f.clock(e), f.layout)
		if next, ok := p.ProposeLayout(f.clock(e)); ok && next.Epoch == f.layout.Epoch+1 {
			f.layout = next
			f.At(f.Now+storeTrip, func() {
				if e.Up && e.Identity.Incarnation == incarnation {
					p.SetLayout(f.clock(e), next)
				}
			})
		}
	case *rate.SingleOwner:
		f.leaseAccounts(e, p)
	}
}

// leaseAccounts renews or takes over the accounts whose lease is free; accounts
// are dealt out in turn.
func (f *Fleet) leaseAccounts(e *Entry, p *rate.SingleOwner) {
	for i, a := range f.options.Accounts {
		row := f.owners[a.ID]
		turn := f.Entries[i%len(f.Entries)] == e || f.Now > row.until+time.Second
		free := row.until < f.Now
		if row.owner == e.Identity || free && turn {
			row = ownerRow{owner: e.Identity, until: f.Now + ownerLease}
			f.owners[a.ID] = row
		}
		left := row.until - f.Now - ownerLease/50
		p.SetOwner(f.clock(e), a.ID, row.owner.Name, f.clock(e).Add(left))
	}
}
