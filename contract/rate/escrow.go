package rate

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Escrow gives each member of the layout a share of each account. A member
// spends its share without asking, and transfers tokens to peers that run
// short. The giver subtracts the tokens before it sends them, and the receiver
// keeps them up to its own limit, so the tokens held never exceed the burst and
// a lost message only loses tokens.
type Escrow struct {
	self           instance.Identity
	lease          *epochLease
	history        history
	revision       contract.Revision
	clientAccounts map[contract.AccountID]contract.ClientAccount
	// alive holds the other members believed alive.
	alive          map[instance.Name]instance.Incarnation
	members        []instance.Identity
	desired        []instance.Identity
	desiredSince   time.Time
	accounts       map[contract.AccountID]*accountState
	activeAccounts []*accountState
	askSeq         uint64
	outbox         map[instance.Name]*Message
	leaving        bool
	// firstCanGrantAt is the time of the first call of CanGrant.
	firstCanGrantAt time.Time
	// layoutUnsent means the layout is still to be sent to the other members.
	layoutUnsent bool
}

// NewEscrow returns the policy of one entry. It grants nothing before it has a
// layout, the client accounts, and leases from the grantors.
func NewEscrow(self instance.Identity, opts Options) *Escrow {
	grantorLostAfter := opts.GrantorLostAfter
	if grantorLostAfter == 0 {
		grantorLostAfter = DefaultGrantorLostAfter
	}
	lease := opts.LeaseDuration
	if lease == 0 {
		lease = LeaseDuration
	}
	return &Escrow{
		self:     self,
		lease:    newEpochLease(self, grantorLostAfter, lease),
		alive:    make(map[instance.Name]instance.Incarnation),
		accounts: make(map[contract.AccountID]*accountState),
		outbox:   make(map[instance.Name]*Message),
	}
}

// SetAccounts implements Policy.
func (e *Escrow) SetAccounts(now time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount) {
	if e.clientAccounts != nil && rev <= e.revision {
		return
	}
	for _, a := range e.activeAccounts {
		e.refill(now, a)
	}
	e.revision, e.clientAccounts = rev, accounts
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
	e.lease.recordMembers(now, members)
}

// Layout implements LayoutPolicy.
func (e *Escrow) Layout() *Layout {
	return e.lease.layout
}

// SetLayout implements LayoutPolicy.
func (e *Escrow) SetLayout(now time.Time, next *Layout) {
	if next == nil || next.Epoch <= e.lease.layout.Epoch {
		return
	}
	// The new span starts when the leases ended, if they have. Tokens that accrue
	// from then on count at the smaller of the new share and the one of s.previous.
	from := maxTime(e.history.at(now).from, minTime(now, e.lease.validUntil()))
	skipped := next.Epoch != e.lease.layout.Epoch+1
	if skipped {
		e.history.add(span{from: from})
		from = now
	}
	e.lease.adopt(now, next)
	s := span{from: from, members: next.Members}
	if next.Epoch == 1 {
		// No tokens were spent before the first layout.
		s.from = now.Add(-initialRefillTime)
	}
	if !e.lease.previousExpired {
		s.previous = next.Before
		// While the leases of the previous epoch are valid, no other entry uses
		// its shares.
		s.from = maxTime(from, e.lease.previousUntil)
	}
	e.history.add(s)
	e.lease.recordMembers(now, e.members)
	e.layoutUnsent = true
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// CanGrant implements LayoutPolicy. An entry that could not become a member, because
// the table is down, serves with tokens from peers.
func (e *Escrow) CanGrant(now time.Time) bool {
	if e.firstCanGrantAt.IsZero() {
		e.firstCanGrantAt = now
	}
	nonMember := e.lease.layout.Epoch > 0 && len(e.alive) > 0 && now.Sub(e.firstCanGrantAt) > joinTimeout
	return e.maySpend(now) && e.hasShare() || (nonMember && !contains(e.lease.layout.Members, e.self))
}

// hasShare reports whether this entry has shares. Until the earlier epochs have
// expired, only members of the previous epoch have.
func (e *Escrow) hasShare() bool {
	layout := e.lease.layout
	return contains(layout.Members, e.self) && (e.lease.previousExpired || contains(layout.Before, e.self))
}

// ProposeLayout implements LayoutPolicy.
func (e *Escrow) ProposeLayout(now time.Time) (next *Layout, ok bool) {
	members := e.desiredMembers(now)
	if !sameMembers(members, e.desired) {
		e.desired, e.desiredSince = members, now
	}
	layout := e.lease.layout
	if e.leaving || !e.lease.previousExpired || !e.lease.mayPropose(now) || len(members) == 0 || sameMembers(members, layout.Members) {
		return nil, false
	}
	wait := time.Duration(0)
	if layout.Epoch == 0 {
		wait = firstLayoutDelay
		if len(members) == 1 {
			wait = singleMemberDelay
		}
	}
	rank := slices.IndexFunc(members, func(i instance.Identity) bool { return sameIdentity(i, e.self) })
	if rank < 0 || now.Sub(e.desiredSince) < wait+time.Duration(rank)*proposeStagger {
		return nil, false
	}
	return layout.next(members), true
}

// desiredMembers returns the members believed alive. A grantor leaves out the
// members of its layout that have sent it nothing for silenceTimeout.
func (e *Escrow) desiredMembers(now time.Time) []instance.Identity {
	grantor := contains(e.lease.layout.Grantors, e.self)
	observed := now.Sub(e.lease.adoptedAt) > silenceTimeout
	return slices.DeleteFunc(slices.Clone(e.members), func(m instance.Identity) bool {
		silent := now.Sub(e.lease.lastMessageAt[m.Name]) > silenceTimeout
		return grantor && observed && silent && m.Name != e.self.Name && contains(e.lease.layout.Members, m)
	})
}

const (
	// silenceTimeout is how long a grantor waits for messages from a member
	// before it leaves it out.
	silenceTimeout = LeaseDuration + RenewEvery
	// firstLayoutDelay is how long the members must stay the same before the
	// first layout, because its members start with a full burst.
	firstLayoutDelay = time.Second
	// singleMemberDelay replaces firstLayoutDelay for an entry that knows no
	// other: while it is the only grantor, its loss stops the accounts for
	// DefaultGrantorLostAfter.
	singleMemberDelay = 2500 * time.Millisecond
	// joinTimeout is how long an entry waits to become a member before it
	// serves without shares.
	joinTimeout = 5 * time.Second
	// initialRefillTime is the assumed refill time of the members of the first
	// layout, enough to fill their buckets.
	initialRefillTime = 24 * time.Hour
	// proposeStagger is the additional delay of each next entry, in order of
	// name, before it proposes a layout.
	proposeStagger = 600 * time.Millisecond
)

// Admit implements Policy.
func (e *Escrow) Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, maxWait time.Duration) Verdict {
	clientAccount, ok := e.clientAccounts[account]
	if !ok || cost > clientAccount.Rate.Burst {
		return Verdict{State: Refused}
	}
	a := e.ensureAccount(now, account)
	a.lastRequestAt = now
	a.averageCost += (float64(cost) - a.averageCost) / averageCostRequests
	if len(a.waiters) == 0 && e.spendable(now, a) >= float64(cost) {
		a.spend(now, float64(cost))
		e.applyRefund(now, a)
		e.confirmSpent(a)
		return Verdict{State: Granted, Messages: e.flush(now)}
	}
	w := waiter{id: id, cost: float64(cost), arrived: now, deadline: now.Add(max(maxWait, minWait))}
	peers := e.peers(a)
	after := e.estimatedWait(now, a, peers, a.waitingCost()+w.cost)
	if len(peers) == 0 && e.maySpend(now) && now.Add(after/earlyRefusalFactor).After(w.deadline) {
		return Verdict{State: Refused, RetryAfter: max(after, TickEvery)}
	}
	a.waiters = append(a.waiters, w)
	e.askPeers(now, a, peers, false)
	return Verdict{State: Waiting, Messages: e.flush(now)}
}

// CancelWait implements Policy.
func (e *Escrow) CancelWait(_ time.Time, id contract.RequestID) {
	for _, a := range e.activeAccounts {
		a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.id == id })
	}
}

// Settle implements Policy.
func (e *Escrow) Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens) {
	if _, ok := e.clientAccounts[account]; !ok || charged == used {
		return
	}
	a := e.ensureAccount(now, account)
	if used > charged {
		a.bucket.tokens -= float64(used - charged)
		return
	}
	e.applyRefund(now, a)
	if a.refund == 0 {
		a.refundUntil = now.Add(refundTTL)
	}
	a.refund += float64(charged - used)
	e.applyRefund(now, a)
}

// applyRefund adds the refund to the bucket, up to its limit.
func (e *Escrow) applyRefund(now time.Time, a *accountState) {
	if !now.Before(a.refundUntil) {
		a.refund = 0
	}
	if a.refund > 0 && e.maySpend(now) {
		a.refund = a.bucket.add(a.refund, e.limit(now, a)-a.totalReserved())
	}
}

// Tick implements Policy.
func (e *Escrow) Tick(now time.Time) Result {
	var result Result
	if e.lease.checkPreviousExpired(now) {
		e.history.add(span{from: now, members: e.lease.layout.Members})
	}
	if e.layoutUnsent {
		e.sendLayout()
	}
	for _, g := range e.lease.renewalTargets(now) {
		if g.Name != e.self.Name {
			e.messageTo(g.Name).Renew = e.lease.recordRenewal(now, g.Name)
		}
	}
	e.activeAccounts = slices.DeleteFunc(e.activeAccounts, func(a *accountState) bool { return e.tickAccount(now, a, &result) })
	result.Messages = e.flush(now)
	return result
}

// tickAccount performs the timed work of one account and reports whether its
// state can be dropped, because new state would hold the same tokens.
func (e *Escrow) tickAccount(now time.Time, a *accountState, result *Result) (done bool) {
	if _, ok := e.clientAccounts[a.id]; !ok {
		e.refuseAll(a, result)
		delete(e.accounts, a.id)
		return true
	}
	e.refill(now, a)
	e.returnExcess(now, a)
	a.dropExpired(now)
	e.serveWaiters(now, a, true, result)
	e.applyRefund(now, a)
	e.offerRefund(now, a)
	e.announceLevel(now, a)
	e.rebalance(now, a)
	limit := e.limit(now, a)
	full := a.bucket.tokens >= limit && now.Sub(a.lastRequestAt) > idleAccountTTL
	if a.idle() && full {
		delete(e.accounts, a.id)
		return true
	}
	return false
}

// sendLayout sends the layout to all members not known to have it.
func (e *Escrow) sendLayout() {
	e.layoutUnsent = false
	for _, m := range e.lease.layout.Members {
		if m.Name != e.self.Name && e.lease.peerEpochs[m.Name].epoch < e.lease.layout.Epoch {
			e.messageTo(m.Name).Layout = e.lease.layout
		}
	}
}

// PrepareShutdown implements Policy. It reports the tokens held here to the peers, so
// that they ask for them, and stops proposing layouts. Asks then get all that
// the sender has room for.
func (e *Escrow) PrepareShutdown(now time.Time) []Outgoing {
	e.leaving = true
	for _, a := range e.activeAccounts {
		e.refill(now, a)
		for _, p := range e.peers(a) {
			m := e.messageTo(p)
			m.Gifts = append(m.Gifts, Gift{Account: a.id, Have: max(a.bucket.tokens, 0)})
		}
	}
	return e.flush(now)
}

// ensureAccount returns or creates an account's state, refilled up to now.
func (e *Escrow) ensureAccount(now time.Time, id contract.AccountID) *accountState {
	a, ok := e.accounts[id]
	if !ok {
		a = &accountState{id: id}
		e.accounts[id] = a
		e.activeAccounts = append(e.activeAccounts, a)
	}
	e.refill(now, a)
	return a
}

// refill refills the bucket up to now, or to the end of the lease.
func (e *Escrow) refill(now time.Time, a *accountState) {
	until := minTime(now, e.lease.validUntil())
	e.history.refillAccount(a, until, e.self, e.clientAccounts[a.id].Rate)
}

// limit returns the most the bucket may hold before subtracting reservations.
func (e *Escrow) limit(now time.Time, a *accountState) float64 {
	return a.share(e.history.at(now), e.self) * float64(e.clientAccounts[a.id].Rate.Burst)
}

// maySpend reports whether a valid lease lets this entry spend its buckets.
func (e *Escrow) maySpend(now time.Time) bool {
	return now.Before(e.lease.validUntil())
}

// spendable returns the tokens that can be granted now.
func (e *Escrow) spendable(now time.Time, a *accountState) float64 {
	sum := a.excessTokens(now)
	if e.maySpend(now) {
		sum += a.bucket.tokens
	}
	return sum
}

// messageTo returns the pending message to a peer, which flush sends.
func (e *Escrow) messageTo(peer instance.Name) *Message {
	m, ok := e.outbox[peer]
	if !ok {
		m = &Message{}
		e.outbox[peer] = m
	}
	return m
}

// flush returns the pending messages, sorted by the receiver's name.
func (e *Escrow) flush(now time.Time) []Outgoing {
	if len(e.outbox) == 0 {
		return nil
	}
	out := make([]Outgoing, 0, len(e.outbox))
	for name, m := range e.outbox {
		m.For = e.alive[name]
		m.Epoch = e.lease.layout.Epoch
		m.InEpoch = now.Sub(e.lease.adoptedAt)
		out = append(out, Outgoing{To: name, Message: *m})
	}
	clear(e.outbox)
	slices.SortFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}
