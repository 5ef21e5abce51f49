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
	// typicalOver is the number of requests that the average cost is over.
	typicalOver = 8
	// lowOn is how many typical requests hand should cover without asking.
	lowOn = 4
	// nearFull and farFromFull are fractions of the limit: tokens move from a
	// peer near its limit, where accrual stops, to an entry far from its own.
	nearFull    = 0.9
	farFromFull = 0.8
	// levelGap is the least difference, in parts of the limit, that is worth a
	// message.
	levelGap = 0.05
)

// peers gives the other holders of an account that are believed alive.
func (e *Escrow) peers(a *account) []instance.Name {
	var names []instance.Name
	for _, h := range holders(e.tenure.layout.Members, a.id) {
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

// fresh reports whether all peers said lately what they would give.
func (e *Escrow) fresh(now time.Time, a *account, peers []instance.Name) bool {
	for _, p := range peers {
		if l, ok := a.peers[p]; !ok || now.Sub(l.at) > freshFor {
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

// progress grants, refuses and asks for the waiting tickets of an account.
func (e *Escrow) progress(now time.Time, a *account, result *Result) {
	e.grant(now, a, result)
	if len(a.tickets) == 0 {
		return
	}
	peers := e.peers(a)
	e.refuse(now, a, peers, result)
	if len(a.tickets) > 0 {
		e.gather(now, a, peers)
	}
}

// grant pays for the tickets that can be paid for, the oldest first. One that
// costs more than there is does not keep back those after it.
func (e *Escrow) grant(now time.Time, a *account, result *Result) {
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool {
		if e.spendable(now, a) < t.cost {
			return false
		}
		a.spend(now, t.cost)
		e.credit(now, a)
		result.Decided = append(result.Decided, Decided{Ticket: t.id, Granted: true})
		return true
	})
}

// refuse ends the wait of tickets whose time is up, or who will not get their
// tokens in time as far as the peers said lately.
func (e *Escrow) refuse(now time.Time, a *account, peers []instance.Name, result *Result) {
	total := e.spendable(now, a)
	for _, p := range peers {
		total += e.estimate(now, a, p, e.part(a))
	}
	certain := e.fresh(now, a, peers)
	perSecond := float64(e.limits[a.id].Rate.PerSecond)
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool {
		after := until(contract.Tokens(math.Ceil(t.cost)), total, perSecond)
		over := !now.Before(t.deadline)
		hopeless := certain && now.Add(after).After(t.deadline)
		if !over && !hopeless {
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
// few as will do. If the peers seem to have too little for any ticket, only
// those that said nothing lately are asked.
func (e *Escrow) gather(now time.Time, a *account, peers []instance.Name) {
	have := e.spendable(now, a)
	missing := a.waitingCost() - have
	least := a.leastCost() - have
	offers, pending, sum := e.offers(now, a, peers)
	if pending && sum < least {
		return
	}
	for _, o := range offers {
		stale := now.Sub(a.peers[o.peer].at) > freshFor
		if missing <= 0 || (sum < least && !stale) {
			return
		}
		need := math.Ceil(math.Min(o.have, missing))
		if stale && sum < missing {
			need = math.Ceil(missing)
		}
		missing -= o.have
		e.ask(now, a, o.peer, Ask{Need: need, Age: now.Sub(a.tickets[0].arrived) + 1})
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

// passOn sends what is owed and found no room here to the peer that seems to
// have the most room.
func (e *Escrow) passOn(now time.Time, a *account) {
	if a.owed < 1 {
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
	e.refunds++
	m := e.to(emptiest.peer)
	m.Refunds = append(m.Refunds, Refund{
		Number: e.refunds, Account: a.id, Amount: a.owed, Age: now.Sub(a.owedUntil.Add(-owedFor)),
	})
	a.owed = 0
}
