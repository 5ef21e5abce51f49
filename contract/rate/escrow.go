package rate

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Escrow gives each member of the layout a share of each account. A member
// spends its share without asking, and hands tokens to peers that run short:
// the giver subtracts before it sends, and the receiver keeps them up to its own
// limit, so what is in hand never passes the burst and lost messages only lose
// tokens.
type Escrow struct {
	self     instance.Identity
	tenure   *tenure
	history  history
	revision contract.Revision
	limits   map[contract.AccountID]contract.ClientAccount
	// alive are the members believed alive, this one left out.
	alive    map[instance.Name]instance.Incarnation
	members  []instance.Identity
	want     []instance.Identity
	differs  time.Time
	accounts map[contract.AccountID]*account
	active   []*account
	askSeq   uint64
	outbox   map[instance.Name]*Message
	leaving  bool
	// started is when readiness was first asked for.
	started time.Time
	// spread means that the others are still to be sent the layout.
	spread bool
}

// NewEscrow returns an entry's part. It grants nothing before it has a layout,
// the contracts, and promises from the other entries.
func NewEscrow(self instance.Identity, opts Options) *Escrow {
	lostFor := opts.LostFor
	if lostFor == 0 {
		lostFor = DefaultLostFor
	}
	lease := opts.Lease
	if lease == 0 {
		lease = Lease
	}
	return &Escrow{
		self:     self,
		tenure:   newTenure(self, lostFor, lease),
		alive:    make(map[instance.Name]instance.Incarnation),
		accounts: make(map[contract.AccountID]*account),
		outbox:   make(map[instance.Name]*Message),
	}
}

// SetContracts implements Policy.
func (e *Escrow) SetContracts(now time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount) {
	if e.limits != nil && rev <= e.revision {
		return
	}
	for _, a := range e.active {
		e.accrue(now, a)
	}
	e.revision, e.limits = rev, accounts
}

// SetMembers implements Policy.
func (e *Escrow) SetMembers(now time.Time, members []instance.Identity) {
	members = sorted(members)
	e.members = members
	clear(e.alive)
	for _, m := range members {
		if m.Name != e.self.Name {
			e.alive[m.Name] = m.Incarnation
		}
	}
	e.tenure.seen(now, members)
}

// Layout implements Planner.
func (e *Escrow) Layout() *Layout {
	return e.tenure.layout
}

// SetLayout implements Planner.
func (e *Escrow) SetLayout(now time.Time, next *Layout) {
	if next == nil || next.Epoch <= e.tenure.layout.Epoch {
		return
	}
	// What accrued after the promises ran out counts at the smaller share.
	from := later(e.history.at(now).from, earlier(now, e.tenure.heldUntil()))
	skipped := next.Epoch != e.tenure.layout.Epoch+1
	if skipped {
		e.history.add(span{from: from})
		from = now
	}
	e.tenure.adopt(now, next)
	s := span{from: from, members: next.Members}
	if next.Epoch == 1 {
		// Nobody spent anything before the first layout.
		s.from = now.Add(-longAgo)
	}
	if !e.tenure.closed {
		s.before = next.Before
		// While the promises of the epoch before last, nobody has taken over.
		s.from = later(from, e.tenure.before)
	}
	e.history.add(s)
	e.tenure.seen(now, e.members)
	e.spread = true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Ready implements Planner. An entry that could not become a member, since the
// table is down, serves with what it gets from peers.
func (e *Escrow) Ready(now time.Time) bool {
	if e.started.IsZero() {
		e.started = now
	}
	guest := e.tenure.layout.Epoch > 0 && len(e.alive) > 0 && now.Sub(e.started) > joinFor
	return e.holds(now) && e.hasShare() || (guest && !contains(e.tenure.layout.Members, e.self))
}

// hasShare reports whether this entry has shares: while the epochs before are
// not over, only those who were in the last of them do.
func (e *Escrow) hasShare() bool {
	layout := e.tenure.layout
	return contains(layout.Members, e.self) && (e.tenure.closed || contains(layout.Before, e.self))
}

// Propose implements Planner.
func (e *Escrow) Propose(now time.Time) (next *Layout, ok bool) {
	members := e.wanted(now)
	if !sameMembers(members, e.want) {
		e.want, e.differs = members, now
	}
	layout := e.tenure.layout
	if e.leaving || !e.tenure.closed || !e.tenure.mayMoveOn(now) || len(members) == 0 || sameMembers(members, layout.Members) {
		return nil, false
	}
	wait := time.Duration(0)
	if layout.Epoch == 0 {
		wait = firstAfter
		if len(members) == 1 {
			wait = aloneAfter
		}
	}
	rank := slices.IndexFunc(members, func(i instance.Identity) bool { return same(i, e.self) })
	if rank < 0 || now.Sub(e.differs) < wait+time.Duration(rank)*proposeStep {
		return nil, false
	}
	return layout.next(members), true
}

// wanted is the members believed alive, without those that a grantor should have
// heard renewals of.
func (e *Escrow) wanted(now time.Time) []instance.Identity {
	grantor := contains(e.tenure.layout.Grantors, e.self)
	settled := now.Sub(e.tenure.since) > silentAfter
	return slices.DeleteFunc(slices.Clone(e.members), func(m instance.Identity) bool {
		silent := now.Sub(e.tenure.heardAt[m.Name]) > silentAfter
		return grantor && settled && silent && m.Name != e.self.Name && contains(e.tenure.layout.Members, m)
	})
}

const (
	// silentAfter is when a grantor gives up a member that renews no promises.
	silentAfter = Lease + RenewEvery
	// firstAfter is how long the members must stay the same before the first
	// layout: those in it start with a full burst.
	firstAfter = time.Second
	// aloneAfter is the same for an entry that knows no other: while only it
	// grants promises, its loss stops the accounts for DefaultLostFor.
	aloneAfter = 2500 * time.Millisecond
	// joinFor is how long an entry waits to become a member.
	joinFor = 5 * time.Second
	// longAgo is when the members of the first layout could have filled up.
	longAgo = 24 * time.Hour
	// proposeStep is by how much each next entry waits longer to propose.
	proposeStep = 600 * time.Millisecond
)

// Admit implements Policy.
func (e *Escrow) Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, patience time.Duration) Verdict {
	limit, ok := e.limits[account]
	if !ok || cost > limit.Rate.Burst {
		return Verdict{State: Refused}
	}
	a := e.account(now, account)
	a.used = now
	a.typical += (float64(cost) - a.typical) / typicalOver
	if len(a.tickets) == 0 && e.spendable(now, a) >= float64(cost) {
		a.spend(now, float64(cost))
		e.credit(now, a)
		e.confirmSpent(a)
		return Verdict{State: Granted, Out: e.flush(now)}
	}
	t := ticket{id: id, cost: float64(cost), arrived: now, deadline: now.Add(max(patience, minPatience))}
	peers := e.peers(a)
	after := e.outlook(now, a, peers, a.waitingCost()+t.cost)
	if len(peers) == 0 && e.holds(now) && now.Add(after/hopelessBy).After(t.deadline) {
		return Verdict{State: Refused, After: max(after, TickEvery)}
	}
	a.tickets = append(a.tickets, t)
	e.gather(now, a, peers, false)
	return Verdict{State: Waiting, Out: e.flush(now)}
}

// Abandon implements Policy.
func (e *Escrow) Abandon(_ time.Time, id contract.RequestID) {
	for _, a := range e.active {
		a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool { return t.id == id })
	}
}

// Settle implements Policy.
func (e *Escrow) Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens) {
	if _, ok := e.limits[account]; !ok || charged == used {
		return
	}
	a := e.account(now, account)
	if used > charged {
		a.hand.tokens -= float64(used - charged)
		return
	}
	e.credit(now, a)
	if a.owed == 0 {
		a.owedUntil = now.Add(owedFor)
	}
	a.owed += float64(charged - used)
	e.credit(now, a)
}

// credit puts what is owed into hand, as far as there is room.
func (e *Escrow) credit(now time.Time, a *account) {
	if !now.Before(a.owedUntil) {
		a.owed = 0
	}
	if a.owed > 0 && e.holds(now) {
		a.owed = a.hand.give(a.owed, e.limit(now, a)-a.totalReserved())
	}
}

// Tick implements Policy.
func (e *Escrow) Tick(now time.Time) Result {
	var result Result
	if e.tenure.close(now) {
		e.history.add(span{from: now, members: e.tenure.layout.Members})
	}
	if e.spread {
		e.spreadLayout()
	}
	for _, g := range e.tenure.due(now) {
		if g.Name != e.self.Name {
			e.to(g.Name).Renew = e.tenure.ask(now, g.Name)
		}
	}
	e.active = slices.DeleteFunc(e.active, func(a *account) bool { return e.tickAccount(now, a, &result) })
	result.Out = e.flush(now)
	return result
}

// tickAccount does what is due for one account and reports whether its state
// may be dropped, because a new one would hold the same.
func (e *Escrow) tickAccount(now time.Time, a *account, result *Result) (done bool) {
	if _, ok := e.limits[a.id]; !ok {
		e.refuseAll(a, result)
		delete(e.accounts, a.id)
		return true
	}
	e.accrue(now, a)
	e.returnLots(now, a)
	a.expire(now)
	e.progress(now, a, true, result)
	e.credit(now, a)
	e.passOn(now, a)
	e.announce(now, a)
	e.level(now, a)
	limit := e.limit(now, a)
	full := a.hand.tokens >= limit && now.Sub(a.used) > keepIdle
	if a.idle() && full {
		delete(e.accounts, a.id)
		return true
	}
	return false
}

// spreadLayout sends the layout to all members that may not have it.
func (e *Escrow) spreadLayout() {
	e.spread = false
	for _, m := range e.tenure.layout.Members {
		if m.Name != e.self.Name && e.tenure.moves[m.Name].epoch < e.tenure.layout.Epoch {
			e.to(m.Name).Layout = e.tenure.layout
		}
	}
}

// HandBack implements Policy: it stops spending and tells the peers what it
// would give, so that they ask for it.
func (e *Escrow) HandBack(now time.Time) []Outgoing {
	e.leaving = true
	for _, a := range e.active {
		e.accrue(now, a)
		for _, p := range e.peers(a) {
			m := e.to(p)
			m.Gifts = append(m.Gifts, Gift{Account: a.id, Have: max(a.hand.tokens, 0)})
		}
	}
	return e.flush(now)
}

// account finds or makes an account's state, brought up to now.
func (e *Escrow) account(now time.Time, id contract.AccountID) *account {
	a, ok := e.accounts[id]
	if !ok {
		a = &account{id: id}
		e.accounts[id] = a
		e.active = append(e.active, a)
	}
	e.accrue(now, a)
	return a
}

// accrue brings hand up to now, or to the end of the promises.
func (e *Escrow) accrue(now time.Time, a *account) {
	until := earlier(now, e.tenure.heldUntil())
	e.history.accrue(a, until, e.self, e.limits[a.id].Rate)
}

// limit is the most that hand may hold, reservations aside.
func (e *Escrow) limit(now time.Time, a *account) float64 {
	return a.share(e.history.at(now), e.self) * float64(e.limits[a.id].Rate.Burst)
}

// holds reports whether this entry may spend what is in hand.
func (e *Escrow) holds(now time.Time) bool {
	return now.Before(e.tenure.heldUntil())
}

// spendable is what a ticket may be paid from now.
func (e *Escrow) spendable(now time.Time, a *account) float64 {
	sum := a.inLots(now)
	if e.holds(now) {
		sum += a.hand.tokens
	}
	return sum
}

// to is the message being put together for a peer.
func (e *Escrow) to(peer instance.Name) *Message {
	m, ok := e.outbox[peer]
	if !ok {
		m = &Message{}
		e.outbox[peer] = m
	}
	return m
}

// flush gives the messages put together, in the order of the peers' names.
func (e *Escrow) flush(now time.Time) []Outgoing {
	if len(e.outbox) == 0 {
		return nil
	}
	out := make([]Outgoing, 0, len(e.outbox))
	for name, m := range e.outbox {
		m.For = e.alive[name]
		m.Epoch = e.tenure.layout.Epoch
		m.InEpoch = now.Sub(e.tenure.since)
		out = append(out, Outgoing{To: name, Message: *m})
	}
	clear(e.outbox)
	slices.SortFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}
