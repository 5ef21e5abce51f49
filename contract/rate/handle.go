package rate

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// HandleMessage implements Policy.
func (e *Escrow) HandleMessage(now time.Time, from instance.Identity, m Message) Result {
	var result Result
	if from.Incarnation < e.lease.peerEpochs[from.Name].incarnation {
		return result
	}
	e.adoptPeerLayout(now, m.Layout)
	e.lease.recordEpoch(now, from, m.Epoch, m.InEpoch)
	addressed := m.For == e.self.Incarnation
	if addressed && m.Promise != 0 {
		e.lease.acceptGrant(from, m.Epoch, m.Promise)
	}
	if m.Renew != 0 {
		e.answerRenewal(from, m)
	}
	for _, g := range m.Gifts {
		if addressed || g.Ask == 0 {
			e.handleGift(now, from.Name, g, &result)
		}
	}
	for _, r := range m.Returns {
		if addressed {
			e.handleReturn(now, from.Name, r)
		}
	}
	for _, o := range m.Offers {
		e.handleOffer(now, from.Name, o)
	}
	for _, ask := range m.Asks {
		e.answerAsk(now, from.Name, ask)
	}
	e.addressAnswer(from)
	result.Messages = e.flush(now)
	return result
}

// adoptPeerLayout adopts a layout received from a peer. It is not forwarded,
// since the entry that read it from the table sends it to all members.
func (e *Escrow) adoptPeerLayout(now time.Time, layout *Layout) {
	unsent := e.layoutUnsent
	e.SetLayout(now, layout)
	e.layoutUnsent = unsent
}

// handleOffer asks for offered tokens as far as the local bucket has room.
func (e *Escrow) handleOffer(now time.Time, from instance.Name, o Offer) {
	if _, ok := e.clientAccounts[o.Account]; !ok || !e.maySpend(now) {
		return
	}
	a := e.ensureAccount(now, o.Account)
	room := e.limit(now, a) - a.totalReserved() - a.bucket.tokens
	if need := math.Min(room, o.Amount); need >= 1 {
		e.ask(now, a, from, Ask{Need: need, Offered: true})
	}
}

// answerOfferedAsk answers an ask for offered tokens. They were never in the
// bucket, so nothing is reserved.
func (e *Escrow) answerOfferedAsk(now time.Time, to instance.Name, ask Ask) {
	a := e.ensureAccount(now, ask.Account)
	e.applyRefund(now, a)
	amount := math.Min(a.refund, ask.Need)
	a.refund -= amount
	m := e.messageTo(to)
	m.Gifts = append(m.Gifts, Gift{Ask: ask.ID, Account: ask.Account, Amount: amount, Have: math.Max(a.bucket.tokens, 0), Offered: true})
}

// addressAnswer makes sure that the answer is addressed to the incarnation that
// sent the message.
func (e *Escrow) addressAnswer(from instance.Identity) {
	if _, ok := e.outbox[from.Name]; ok && e.alive[from.Name] < from.Incarnation {
		e.alive[from.Name] = from.Incarnation
	}
}

// answerRenewal grants a lease for a renewal if allowed. A sender with a lower
// epoch also gets the layout.
func (e *Escrow) answerRenewal(to instance.Identity, m Message) {
	answer := e.messageTo(to.Name)
	if m.Epoch < e.lease.layout.Epoch {
		answer.Layout = e.lease.layout
	}
	if e.lease.mayGrant(to, m.Epoch) {
		answer.Promise = m.Renew
	}
}

// answerAsk answers an ask with a gift. The amount is 0 without a valid lease,
// or while a local waiter goes before the sender's.
func (e *Escrow) answerAsk(now time.Time, to instance.Name, ask Ask) {
	if _, ok := e.clientAccounts[ask.Account]; !ok {
		return
	}
	if ask.Offered {
		e.answerOfferedAsk(now, to, ask)
		return
	}
	gift := Gift{Ask: ask.ID, Account: ask.Account}
	a := e.ensureAccount(now, ask.Account)
	if e.maySpend(now) && !e.ownWaiterFirst(now, a, to, ask) {
		gift.Amount = e.giftAmount(a, ask)
		a.bucket.tokens -= gift.Amount
	}
	if e.maySpend(now) {
		gift.Have = math.Max(a.bucket.tokens-a.precedingCost(now), 0)
	}
	if gift.Amount > 0 {
		gift.Confirm = a.bucket.tokens+a.totalReserved()+gift.Amount > confirmFraction*e.limit(now, a)
		a.reservations = append(a.reservations, reservation{to: to, ask: ask.ID, amount: gift.Amount, until: now.Add(reservationTTL)})
	}
	e.recordLevel(now, a, to, ask.Have)
	m := e.messageTo(to)
	m.Gifts = append(m.Gifts, gift)
}

// giftAmount returns how much an ask gets: all it needs if it is for a waiter,
// half of the difference in tokens if it only rebalances, and all that it has
// room for if this entry is shutting down.
func (e *Escrow) giftAmount(a *accountState, ask Ask) float64 {
	have := math.Max(a.bucket.tokens, 0)
	switch {
	case e.leaving:
		return math.Min(have, math.Max(ask.Need, ask.Limit-ask.Have))
	case ask.Age > 0:
		return math.Min(have, ask.Need)
	default:
		return math.Min(math.Max((have-ask.Have)/2, 0), ask.Need)
	}
}

// ownWaiterFirst reports whether a local waiter goes before that of the ask:
// one with precedence first, then the longer wait, then the lower entry name.
func (e *Escrow) ownWaiterFirst(now time.Time, a *accountState, to instance.Name, ask Ask) bool {
	if len(a.waiters) == 0 {
		return false
	}
	own := a.firstWaiter(now)
	age := now.Sub(own.arrived)
	if hasPrecedence := own.hasPrecedence(now); hasPrecedence != (ask.Age < precedenceFor) {
		return hasPrecedence
	}
	if age == ask.Age {
		return e.self.Name < to
	}
	return age > ask.Age
}

// recordLevel stores what a peer reported that it could give.
func (e *Escrow) recordLevel(now time.Time, a *accountState, peer instance.Name, have float64) {
	if a.peerLevels == nil {
		a.peerLevels = make(map[instance.Name]peerLevel)
	}
	a.peerLevels[peer] = peerLevel{have: math.Max(have, 0), at: now}
}

// handleGift adds the answer to an ask to the bucket. A gift after giftTTL is
// dropped; what exceeds the limit is kept as excess for the waiters.
func (e *Escrow) handleGift(now time.Time, from instance.Name, g Gift, result *Result) {
	if _, ok := e.clientAccounts[g.Account]; !ok {
		return
	}
	a := e.ensureAccount(now, g.Account)
	e.recordLevel(now, a, from, g.Have)
	open, ok := a.closeAsk(g.Ask, from)
	if !ok {
		if g.Ask == 0 {
			e.rebalance(now, a)
		}
		return
	}
	until := open.sent.Add(giftTTL)
	if g.Amount <= 0 || !now.Before(until) {
		e.serveWaiters(now, a, false, result)
		return
	}
	rest := g.Amount
	if e.maySpend(now) {
		rest = a.bucket.add(g.Amount, e.limit(now, a)-a.totalReserved())
	}
	if rest == 0 && g.Confirm {
		m := e.messageTo(from)
		m.Returns = append(m.Returns, Return{Ask: g.Ask, Account: a.id})
	}
	if rest > 0 && !g.Offered {
		a.excess = append(a.excess, excessGift{from: from, ask: g.Ask, amount: rest, until: until, confirm: g.Confirm})
	}
	e.serveWaiters(now, a, false, result)
	e.returnExcess(now, a)
}

// returnExcess moves excess into the bucket, and returns the rest to the
// givers, unless waiters may still get more tokens from open asks.
func (e *Escrow) returnExcess(now time.Time, a *accountState) {
	pending := slices.ContainsFunc(a.openAsks, func(o openAsk) bool { return now.Sub(o.sent) < giftTTL })
	if len(a.waiters) > 0 && pending {
		return
	}
	for _, g := range a.excess {
		if !now.Before(g.until) {
			continue
		}
		rest := g.amount
		if e.maySpend(now) {
			rest = a.bucket.add(g.amount, e.limit(now, a)-a.totalReserved())
		}
		if rest >= 1 || g.confirm {
			m := e.messageTo(g.from)
			m.Returns = append(m.Returns, Return{Ask: g.ask, Account: a.id, Amount: rest})
		}
	}
	a.excess = nil
}

// handleReturn takes back a part of a gift. It removes the reservation, so that
// a repeated message is counted once.
func (e *Escrow) handleReturn(now time.Time, from instance.Name, r Return) {
	a, ok := e.accounts[r.Account]
	if !ok {
		return
	}
	i := slices.IndexFunc(a.reservations, func(v reservation) bool { return v.to == from && v.ask == r.Ask })
	if i < 0 || !now.Before(a.reservations[i].until) {
		return
	}
	amount := math.Min(r.Amount, a.reservations[i].amount)
	a.reservations = slices.Delete(a.reservations, i, i+1)
	e.refill(now, a)
	a.bucket.add(amount, e.limit(now, a)-a.totalReserved())
}
