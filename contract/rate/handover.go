package rate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

const (
	// minPatience lets even an impatient request ask the peers once.
	minPatience = 2 * TickEvery
	// giftFor is how long, from the ask, a gift may be taken, and what of it
	// has no room in hand may be spent.
	giftFor = 100 * time.Millisecond
	// reserveFor is how long, from the gift, its giver's limit is lowered.
	reserveFor = giftFor + giftFor/50
	// owedFor is how long what a request did not use may look for room.
	owedFor = time.Second
	// keepIdle is how long the state of an unused account is kept.
	keepIdle = 10 * time.Second
	// freshFor is how long a peer's answer says all there is to know.
	freshFor = TickEvery
	// claimFor is how long a ticket goes before later ones: as long as tokens that
	// the account had when it came may take to be collected.
	claimFor = giftFor
	// hopelessBy is by how many times its remaining patience a ticket must miss its
	// tokens to be refused early; refunds cannot be foreseen.
	hopelessBy = 4
	// recheckEvery is when a peer is asked again, while a ticket waits, that
	// seems to have nothing; refunds reach it without a message.
	recheckEvery = TickEvery
	// collectParts is in how many parts, at most, a ticket's tokens are
	// collected ahead of time.
	collectParts = 8
	// typicalOver is the number of requests that the average cost is over.
	typicalOver = 8
	// lowOn is how many typical requests hand should cover without asking.
	lowOn = 4
	// announceFrom is the fraction of its limit from which an entry tells peers
	// what it holds; the rest takes longer to accrue than two ticks.
	announceFrom = 0.85
	// announceEvery is how often it tells them.
	announceEvery = TickEvery
	// nearFull and farFromFull are fractions of the limit: tokens move from a
	// peer near its limit, where accrual stops, to an entry far from its own.
	nearFull    = 0.95
	farFromFull = 0.97
	// confirmAbove is the fraction of its limit from which a giver would lose
	// accrual if its limit stayed lowered.
	confirmAbove = 0.5
	// levelGap is the least difference, in parts of the limit, that is worth a
	// message.
	levelGap = 0.01
)

// peers gives the other holders of an account that are believed alive.
func (e *Escrow) peers(a *account) []instance.Name {
	if a.epoch != e.tenure.layout.Epoch {
		a.epoch, a.holders = e.tenure.layout.Epoch, holders(e.tenure.layout.Members, a.id)
	}
	names := make([]instance.Name, 0, MaxHolders)
	for _, h := range a.holders {
		if incarnation, ok := e.alive[h.Name]; ok && incarnation == h.Incarnation {
			names = append(names, h.Name)
		}
	}
	return names
}

// estimate is what a peer would give now, from what it said last. Of a peer
// that said nothing yet the most is assumed.
func (e *Escrow) estimate(now time.Time, a *account, peer instance.Name, part float64) float64 {
	rate := e.limits[a.id].Rate
	limit := part * float64(rate.Burst)
	l, ok := a.peers[peer]
	if !ok {
		return limit
	}
	return math.Min(limit, l.have+now.Sub(l.at).Seconds()*part*float64(rate.PerSecond))
}

// fresh reports whether all peers said lately, and after the given time, what they
// would give. An entry that neither holds anything nor knows a peer is about to
// change that.
func (e *Escrow) fresh(now time.Time, a *account, peers []instance.Name, since time.Time) bool {
	if len(peers) == 0 && !e.holds(now) {
		return false
	}
	for _, p := range peers {
		if l, ok := a.peers[p]; !ok || now.Sub(l.at) > freshFor || !l.at.After(since) {
			return false
		}
	}
	return true
}

// part is the fraction that each holder of an account has.
func (e *Escrow) part(a *account) float64 {
	n := min(len(e.tenure.layout.Members), MaxHolders)
	if n == 0 {
		return 0
	}
	return 1 / float64(n)
}

// progress grants, refuses and asks for the waiting tickets of an account; with
// ahead it collects tokens ahead of time.
func (e *Escrow) progress(now time.Time, a *account, ahead bool, result *Result) {
	e.grant(now, a, result)
	if len(a.tickets) == 0 {
		return
	}
	peers := e.peers(a)
	e.refuse(now, a, peers, result)
	if len(a.tickets) > 0 {
		e.gather(now, a, peers, ahead)
	}
}

// grant pays for tickets in the order of their arrival. One whose time is up may
// pass those before it.
func (e *Escrow) grant(now time.Time, a *account, result *Result) {
	blocked := false
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool {
		if blocked && now.Before(t.deadline) {
			return false
		}
		if e.spendable(now, a) < t.cost {
			blocked = blocked || t.claims(now)
			return false
		}
		a.spend(now, t.cost)
		e.credit(now, a)
		result.Decided = append(result.Decided, Decided{Ticket: t.id, Granted: true, Account: a.id, Cost: contract.Tokens(t.cost)})
		return true
	})
	e.confirmSpent(a)
}

// outlook is how long a ticket must wait until it and the tickets ahead of it
// have their tokens, as far as the peers said.
func (e *Escrow) outlook(now time.Time, a *account, peers []instance.Name, cost float64) time.Duration {
	total := e.spendable(now, a)
	for _, p := range peers {
		total += e.estimate(now, a, p, e.part(a))
	}
	perSecond := float64(e.limits[a.id].Rate.PerSecond)
	return until(contract.Tokens(math.Ceil(cost)), total, perSecond)
}

// refuse ends the wait of tickets whose time is up, or who miss their tokens by far
// as the peers said since they came.
func (e *Escrow) refuse(now time.Time, a *account, peers []instance.Name, result *Result) {
	ahead := 0.0
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool {
		after := e.outlook(now, a, peers, ahead+t.cost)
		over := !now.Before(t.deadline)
		hopeless := e.fresh(now, a, peers, t.arrived) && now.Add(after/hopelessBy).After(t.deadline)
		if !over && !hopeless {
			ahead += t.cost
			return false
		}
		result.Decided = append(result.Decided, Decided{Ticket: t.id, After: max(after, TickEvery)})
		return true
	})
}

// refuseAll ends the wait of all tickets of an account that is gone.
func (e *Escrow) refuseAll(a *account, result *Result) {
	for _, t := range a.tickets {
		result.Decided = append(result.Decided, Decided{Ticket: t.id})
	}
	a.tickets = nil
}

// offer is how much one peer may give.
type offer struct {
	peer instance.Name
	have float64
}

// gather asks peers for what the waiting tickets miss, the fullest first and as
// few as will do. With ahead, what has room in hand is collected ahead of time;
// the rest only when the peers seem to have enough for the next ticket. If they
// have not, those that said nothing lately are asked in any case.
func (e *Escrow) gather(now time.Time, a *account, peers []instance.Name, ahead bool) {
	have := e.spendable(now, a)
	offers, _, sum := e.offers(now, a, peers)
	payable := a.payable(now, have+sum)
	probe := payable == 0
	missing := payable - have
	least := 1.0
	if ahead && e.holds(now) {
		least = a.first(now).cost / collectParts
		room := e.limit(now, a) - a.totalReserved() - a.hand.tokens
		missing = math.Max(missing, math.Min(a.waitingCost()-have, room))
	}
	for _, o := range offers {
		stale := now.Sub(a.peers[o.peer].at) > recheckEvery
		if (missing < 1 || o.have < least) && !(probe && stale) {
			continue
		}
		need := math.Ceil(math.Max(math.Min(o.have, missing), 1))
		missing -= o.have
		e.ask(now, a, o.peer, Ask{Need: need, Age: now.Sub(a.first(now).arrived) + 1})
	}
}

// offers lists the peers that may be asked now, the fullest first, and says
// whether asks are on their way.
func (e *Escrow) offers(now time.Time, a *account, peers []instance.Name) (offers []offer, pending bool, sum float64) {
	for _, p := range peers {
		if a.asked(now, p) {
			pending = true
			continue
		}
		have := e.estimate(now, a, p, e.part(a))
		sum += have
		offers = append(offers, offer{peer: p, have: have})
	}
	slices.SortStableFunc(offers, func(x, y offer) int { return cmp.Compare(y.have, x.have) })
	return offers, pending, sum
}

// level asks for tokens in the background: of a peer that is near its limit,
// and of the fullest when hand is low.
func (e *Escrow) level(now time.Time, a *account) {
	limit := e.limit(now, a)
	if limit <= 0 || !e.holds(now) || len(a.tickets) > 0 || a.typical == 0 {
		return
	}
	low := a.hand.tokens < math.Min(lowOn*a.typical, limit/2)
	offers, pending, _ := e.offers(now, a, e.peers(a))
	for _, o := range offers {
		gap := o.have - a.hand.tokens
		full := o.have >= nearFull*limit && a.hand.tokens < farFromFull*limit
		if gap < levelGap*limit || (!full && !low) || pending {
			return
		}
		e.ask(now, a, o.peer, Ask{Need: math.Floor(gap / 2)})
		pending = !full
	}
}

// ask puts an ask into the message for a peer.
func (e *Escrow) ask(now time.Time, a *account, peer instance.Name, ask Ask) {
	e.askSeq++
	ask.ID, ask.Account = e.askSeq, a.id
	ask.Have, ask.Limit = a.hand.tokens+a.owed, e.limit(now, a)
	a.asks = append(a.asks, openAsk{id: ask.ID, to: peer, sent: now})
	m := e.to(peer)
	m.Asks = append(m.Asks, ask)
}

// passOn offers what is owed and found no room here to the peer that seems to
// have the most room.
func (e *Escrow) passOn(now time.Time, a *account) {
	if a.owed < 1 || now.Sub(a.offered) < giftFor {
		return
	}
	offers, _, _ := e.offers(now, a, e.peers(a))
	if len(offers) == 0 {
		return
	}
	emptiest := offers[len(offers)-1]
	roomy := emptiest.have < nearFull*e.part(a)*float64(e.limits[a.id].Rate.Burst)
	if !roomy && e.holds(now) && e.limit(now, a) > 0 {
		return
	}
	a.offered = now
	m := e.to(emptiest.peer)
	m.Offers = append(m.Offers, Offer{Account: a.id, Amount: a.owed})
}

// announce tells peers with room that hand is close to its limit, where accrual
// stops. They cannot know, since refunds come without a message.
func (e *Escrow) announce(now time.Time, a *account) {
	limit := e.limit(now, a)
	if limit <= 0 || a.hand.tokens < announceFrom*limit || now.Sub(a.announced) < announceEvery {
		return
	}
	for _, p := range e.peers(a) {
		if e.estimate(now, a, p, e.part(a)) < farFromFull*limit {
			a.announced = now
			m := e.to(p)
			m.Gifts = append(m.Gifts, Gift{Account: a.id, Have: a.hand.tokens})
		}
	}
}

// confirmSpent tells givers that their lots are used up, so that their limits are
// their own again.
func (e *Escrow) confirmSpent(a *account) {
	for _, l := range a.spent {
		m := e.to(l.from)
		m.Returns = append(m.Returns, Return{Ask: l.ask, Account: a.id})
	}
	a.spent = nil
}
