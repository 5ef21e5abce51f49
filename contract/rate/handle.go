package rate

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Handle implements Policy.
func (e *Escrow) Handle(now time.Time, from instance.Identity, m Message) Result {
	var result Result
	if from.Incarnation < e.tenure.moves[from.Name].incarnation {
		return result
	}
	e.learnLayout(now, m.Layout)
	e.tenure.heard(now, from, m.Epoch, m.InEpoch)
	mine := m.For == e.self.Incarnation
	if mine && m.Promise != 0 {
		e.tenure.promised(from, m.Epoch, m.Promise)
	}
	if m.Renew != 0 {
		e.promise(from, m)
	}
	for _, g := range m.Gifts {
		if mine || g.Ask == 0 {
			e.gift(now, from.Name, g, &result)
		}
	}
	for _, r := range m.Returns {
		if mine {
			e.returned(now, from.Name, r)
		}
	}
	for _, o := range m.Offers {
		e.offer(now, from.Name, o)
	}
	for _, ask := range m.Asks {
		e.give(now, from.Name, ask)
	}
	e.answerTo(from)
	result.Out = e.flush(now)
	return result
}

// learnLayout takes a layout from a peer; who got it from the table sends it to
// all, so it is not sent on.
func (e *Escrow) learnLayout(now time.Time, layout *Layout) {
	spread := e.spread
	e.SetLayout(now, layout)
	e.spread = spread
}

// offer asks for what a peer has no room for.
func (e *Escrow) offer(now time.Time, from instance.Name, o Offer) {
	if _, ok := e.limits[o.Account]; !ok || !e.holds(now) {
		return
	}
	a := e.account(now, o.Account)
	room := e.limit(now, a) - a.totalReserved() - a.hand.tokens
	if need := math.Min(room, o.Amount); need >= 1 {
		e.ask(now, a, from, Ask{Need: need, Offered: true})
	}
}

// giveOffered answers an ask for what was offered. None of it was in hand, so
// nothing is reserved.
func (e *Escrow) giveOffered(now time.Time, to instance.Name, ask Ask) {
	a := e.account(now, ask.Account)
	e.credit(now, a)
	amount := math.Min(a.owed, ask.Need)
	a.owed -= amount
	m := e.to(to)
	m.Gifts = append(m.Gifts, Gift{Ask: ask.ID, Account: ask.Account, Amount: amount, Have: math.Max(a.hand.tokens, 0), Offered: true})
}

// answerTo makes sure that the answer goes to the incarnation that asked.
func (e *Escrow) answerTo(from instance.Identity) {
	if _, ok := e.outbox[from.Name]; ok && e.alive[from.Name] < from.Incarnation {
		e.alive[from.Name] = from.Incarnation
	}
}

// promise answers a renewal; a sender that is behind gets the layout.
func (e *Escrow) promise(to instance.Identity, m Message) {
	answer := e.to(to.Name)
	if m.Epoch < e.tenure.layout.Epoch {
		answer.Layout = e.tenure.layout
	}
	if e.tenure.grants(to, m.Epoch) {
		answer.Promise = m.Renew
	}
}

// give answers an ask. Nothing is given without the right to spend, or while an
// own ticket waits longer than the asker's.
func (e *Escrow) give(now time.Time, to instance.Name, ask Ask) {
	if _, ok := e.limits[ask.Account]; !ok {
		return
	}
	if ask.Offered {
		e.giveOffered(now, to, ask)
		return
	}
	gift := Gift{Ask: ask.ID, Account: ask.Account}
	a := e.account(now, ask.Account)
	if e.holds(now) && !e.waitsLonger(now, a, to, ask) {
		gift.Amount = e.giftTo(a, ask)
		a.hand.tokens -= gift.Amount
	}
	if e.holds(now) {
		gift.Have = math.Max(a.hand.tokens-a.claimedCost(now), 0)
	}
	if gift.Amount > 0 {
		gift.Confirm = a.hand.tokens+a.totalReserved()+gift.Amount > confirmAbove*e.limit(now, a)
		a.reserved = append(a.reserved, reservation{to: to, ask: ask.ID, amount: gift.Amount, until: now.Add(reserveFor)})
	}
	e.learn(now, a, to, ask.Have)
	m := e.to(to)
	m.Gifts = append(m.Gifts, gift)
}

// giftTo is how much an ask gets: all it needs for a ticket; in the background
// half of the difference; and all it has room for from an entry that leaves.
func (e *Escrow) giftTo(a *account, ask Ask) float64 {
	have := math.Max(a.hand.tokens, 0)
	switch {
	case e.leaving:
		return math.Min(have, math.Max(ask.Need, ask.Limit-ask.Have))
	case ask.Age > 0:
		return math.Min(have, ask.Need)
	default:
		return math.Min(math.Max((have-ask.Have)/2, 0), ask.Need)
	}
}

// waitsLonger reports whether an own ticket goes before the asker's.
func (e *Escrow) waitsLonger(now time.Time, a *account, to instance.Name, ask Ask) bool {
	if len(a.tickets) == 0 {
		return false
	}
	own := a.first(now)
	age := now.Sub(own.arrived)
	if claims := own.claims(now); claims != (ask.Age < claimFor) {
		return claims
	}
	if age == ask.Age {
		return e.self.Name < to
	}
	return age > ask.Age
}

// learn notes what a peer would give.
func (e *Escrow) learn(now time.Time, a *account, peer instance.Name, have float64) {
	if a.peers == nil {
		a.peers = make(map[instance.Name]level)
	}
	a.peers[peer] = level{have: math.Max(have, 0), at: now}
}

// gift takes an answer to an ask. One that comes too late is dropped; what has
// no room in hand becomes a lot.
func (e *Escrow) gift(now time.Time, from instance.Name, g Gift, result *Result) {
	if _, ok := e.limits[g.Account]; !ok {
		return
	}
	a := e.account(now, g.Account)
	e.learn(now, a, from, g.Have)
	open, ok := a.answered(g.Ask, from)
	if !ok {
		if g.Ask == 0 {
			e.level(now, a)
		}
		return
	}
	until := open.sent.Add(giftFor)
	if g.Amount <= 0 || !now.Before(until) {
		e.progress(now, a, false, result)
		return
	}
	over := g.Amount
	if e.holds(now) {
		over = a.hand.give(g.Amount, e.limit(now, a)-a.totalReserved())
	}
	if over == 0 && g.Confirm {
		m := e.to(from)
		m.Returns = append(m.Returns, Return{Ask: g.Ask, Account: a.id})
	}
	if over > 0 && !g.Offered {
		a.lots = append(a.lots, lot{from: from, ask: g.Ask, amount: over, until: until, confirm: g.Confirm})
	}
	e.progress(now, a, false, result)
	e.returnLots(now, a)
}

// returnLots puts lots into hand that no ticket waits for or that turned out too
// little; what has no room there goes back to the giver.
func (e *Escrow) returnLots(now time.Time, a *account) {
	waits := slices.ContainsFunc(a.asks, func(o openAsk) bool { return now.Sub(o.sent) < giftFor })
	if len(a.tickets) > 0 && waits {
		return
	}
	for _, l := range a.lots {
		if !now.Before(l.until) {
			continue
		}
		over := l.amount
		if e.holds(now) {
			over = a.hand.give(l.amount, e.limit(now, a)-a.totalReserved())
		}
		if over >= 1 || l.confirm {
			m := e.to(l.from)
			m.Returns = append(m.Returns, Return{Ask: l.ask, Account: a.id, Amount: over})
		}
	}
	a.lots = nil
}

// returned takes back a part of a gift. The reservation goes with it, so that a
// repeated message counts once.
func (e *Escrow) returned(now time.Time, from instance.Name, r Return) {
	a, ok := e.accounts[r.Account]
	if !ok {
		return
	}
	i := slices.IndexFunc(a.reserved, func(v reservation) bool { return v.to == from && v.ask == r.Ask })
	if i < 0 || !now.Before(a.reserved[i].until) {
		return
	}
	amount := math.Min(r.Amount, a.reserved[i].amount)
	a.reserved = slices.Delete(a.reserved, i, i+1)
	e.accrue(now, a)
	a.hand.give(amount, e.limit(now, a)-a.totalReserved())
}
