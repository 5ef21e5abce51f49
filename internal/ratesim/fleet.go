// Package ratesim simulates the rate policies of contract/rate for several entries on a
// virtual clock, with lost, repeated and late messages, clock drift, pauses, crashes,
// network cuts and an unreachable table. It compares the grants with those of a single
// token bucket for the whole fleet. The command trefoil-dev rates and tests call it.
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

// Delays and intervals of the simulated links, table and membership.
const (
	linkDelay         = 500 * time.Microsecond
	storeDelay        = 4 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	storeInterval     = 500 * time.Millisecond
	memberTimeout     = 1600 * time.Millisecond
	ownerLease        = 5 * time.Second
)

// Options configure a fleet.
type Options struct {
	Policy  string
	Entries int
	Zones   int
	Seed    uint64
	// Loss and Repeat are the shares of messages that are lost and sent twice. Late is
	// the share that arrives late, by up to LateBy.
	Loss, Repeat, Late float64
	LateBy             time.Duration
	// Drift is the largest difference between the rates of two clocks, as a fraction.
	Drift float64
	Rate  rate.Options
	// Accounts are the client accounts with their rates.
	Accounts []contract.ClientAccount
}

// Entry is one simulated entry.
type Entry struct {
	Identity   instance.Identity
	Policy     rate.Policy
	Up         bool
	drift      float64
	paused     time.Duration
	heartbeats map[instance.Name]lastHeartbeat
}

type lastHeartbeat struct {
	who instance.Identity
	at  time.Duration
}

// Fleet holds the state of a simulation. All times are offsets from its start. It is not
// safe for concurrent use.
type Fleet struct {
	Now     time.Duration
	Entries []*Entry
	// StoreDown makes the table unreachable for all entries.
	StoreDown bool
	// Messages counts messages of the policies with content for accounts, Renewals all
	// others.
	Messages, Renewals int
	options            Options
	rng                *rand.Rand
	events             events
	seq                int
	cut                map[[2]instance.Name]bool
	storeCut           map[instance.Name]bool
	// quiet holds entries that the balancer sends no requests to.
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

// NewFleet returns a fleet with all entries started. An unknown policy is an error.
func NewFleet(options Options) (*Fleet, error) {
	f := &Fleet{
		options:  options,
		rng:      rand.New(rand.NewPCG(options.Seed, 7)),
		cut:      make(map[[2]instance.Name]bool),
		storeCut: make(map[instance.Name]bool),
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

// Start starts or restarts an entry as a new incarnation without state.
func (f *Fleet) Start(e *Entry) error {
	f.starts++
	e.Identity.Incarnation = instance.Incarnation(f.starts)
	policy, err := rate.New(f.options.Policy, e.Identity, f.options.Rate)
	if err != nil {
		return fmt.Errorf("ratesim: %w", err)
	}
	e.Policy, e.Up, e.paused = policy, true, 0
	e.drift = (f.rng.Float64() - 0.5) * f.options.Drift
	e.heartbeats = make(map[instance.Name]lastHeartbeat)
	accounts := make(map[contract.AccountID]contract.ClientAccount)
	for _, a := range f.options.Accounts {
		accounts[a.ID] = a
	}
	policy.SetAccounts(f.clock(e), 1, accounts)
	incarnation := e.Identity.Incarnation
	f.every(e, incarnation, rate.TickEvery, func() { f.handleResult(e, policy.Tick(f.clock(e))) })
	f.every(e, incarnation, heartbeatInterval, func() { f.heartbeat(e) })
	f.every(e, incarnation, storeInterval, func() { f.syncStore(e) })
	return nil
}

// Crash ends an entry's process; its waiting requests are lost.
func (f *Fleet) Crash(e *Entry) {
	e.Up = false
	f.meter.recordCrash(e)
}

// Pause stops an entry's process for d while its clock continues. What is due during the
// pause happens at its end.
func (f *Fleet) Pause(e *Entry, d time.Duration) {
	e.paused = max(e.paused, f.Now+d)
}

// SetCut drops all messages between two entries, or ends that.
func (f *Fleet) SetCut(a, b *Entry, apart bool) {
	f.cut[[2]instance.Name{a.Identity.Name, b.Identity.Name}] = apart
	f.cut[[2]instance.Name{b.Identity.Name, a.Identity.Name}] = apart
}

// SetStoreCut makes the table unreachable for an entry, or ends that.
func (f *Fleet) SetStoreCut(e *Entry, apart bool) {
	f.storeCut[e.Identity.Name] = apart
}

// Run processes events up to the given time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.Now = max(f.Now, next.at)
		next.do()
	}
	f.Now = until
}

// At schedules do; a time in the past means now. Events at the same time run in the order
// in which they were scheduled.
func (f *Fleet) At(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: max(at, f.Now), seq: f.seq, do: do})
}

// clock returns the time of an entry's clock, with drift.
func (f *Fleet) clock(e *Entry) time.Time {
	return epoch.Add(f.Now + time.Duration(float64(f.Now)*e.drift))
}

// every runs do every d, from a random first time on, until the incarnation ends. A step
// that is due during a pause runs at its end.
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

// deliver runs do at an entry after the link delay: not at all if the message is lost,
// twice if it is repeated.
func (f *Fleet) deliver(from, to *Entry, do func()) {
	times := 1
	if f.rng.Float64() < f.options.Repeat {
		times = 2
	}
	for range times {
		delay := linkDelay + time.Duration(f.rng.Int64N(int64(linkDelay)))
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

// handleResult records the decisions and sends the messages of a policy.
func (f *Fleet) handleResult(e *Entry, r rate.Result) {
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
		f.deliver(e, to, func() { f.handleResult(to, to.Policy.HandleMessage(f.clock(to), from, o.Message)) })
	}
}

// heartbeat sends a heartbeat to the other entries and passes the entry's own view of the
// members to its policy.
func (f *Fleet) heartbeat(e *Entry) {
	who := e.Identity
	for _, to := range f.Entries {
		if to != e {
			f.deliver(e, to, func() { to.heartbeats[who.Name] = lastHeartbeat{who: who, at: f.Now} })
		}
	}
	members := []instance.Identity{who}
	for _, other := range f.Entries {
		if h, ok := e.heartbeats[other.Identity.Name]; ok && f.Now-h.at < memberTimeout {
			members = append(members, h.who)
		}
	}
	e.Policy.SetMembers(f.clock(e), members)
}

// syncStore reads and writes the state that the policy keeps in the table.
func (f *Fleet) syncStore(e *Entry) {
	if f.StoreDown || f.storeCut[e.Identity.Name] {
		return
	}
	incarnation := e.Identity.Incarnation
	switch p := e.Policy.(type) {
	case rate.LayoutPolicy:
		p.SetLayout(f.clock(e), f.layout)
		if next, ok := p.ProposeLayout(f.clock(e)); ok && next.Epoch == f.layout.Epoch+1 {
			f.layout = next
			f.At(f.Now+storeDelay, func() {
				if e.Up && e.Identity.Incarnation == incarnation {
					p.SetLayout(f.clock(e), next)
				}
			})
		}
	case *rate.SingleOwner:
		f.leaseAccounts(e, p)
	}
}

// leaseAccounts renews the entry's leases and takes over free ones. Account i belongs to
// entry i modulo the number of entries, and to any entry one second after its lease
// expired. The policy gets each lease shortened by 2% of its length.
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
