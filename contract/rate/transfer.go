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
	// minWait allows one ask to the peers for a request with a shorter max
	// wait.
	minWait = 2 * TickEvery
	// giftTTL is how long after the ask a gift may be accepted, and its excess
	// spent.
	giftTTL = 100 * time.Millisecond
	// reservationTTL is how long after a gift its giver's limit is lowered.
	reservationTTL = giftTTL + giftTTL/50
	// refundTTL is how long a refund that exceeds the limit is kept.
	refundTTL = time.Second
	// idleAccountTTL is how long the state of an unused account is kept.
	idleAccountTTL = 10 * time.Second
	// levelFreshFor is how long a level reported by a peer counts as current.
	levelFreshFor = TickEvery
	// precedenceFor is how long a waiter is served before later ones: the time
	// it may take to collect tokens that the account had when the request
	// arrived.
	precedenceFor = giftTTL
	// earlyRefusalFactor is how many times the remaining wait the estimated
	// wait must be for a waiter to be refused early; refunds cannot be
	// predicted.
	earlyRefusalFactor = 4
	// recheckInterval is the interval at which a peer that seems to have no
	// tokens is asked again while a request waits; refunds reach it without a
	// message.
	recheckInterval = TickEvery
	// maxCollectParts is the maximum number of parts in which a waiter's tokens
	// are collected in advance.
	maxCollectParts = 8
	// averageCostRequests is the number of requests over which the moving average
	// of the cost is taken.
	averageCostRequests = 8
	// lowLevelRequests is the level below which a bucket counts as low, in requests
	// of average cost.
	lowLevelRequests = 4
	// announceFraction is the fraction of its limit from which an entry reports
	// its level to peers; the rest takes longer to accrue than two ticks.
	announceFraction = 0.85
	// announceInterval is the interval of these reports.
	announceInterval = TickEvery
	// nearFullFraction and hasRoomFraction are fractions of the limit. Tokens
	// move from a peer near its limit, where refill stops, to an entry below
	// hasRoomFraction.
	nearFullFraction = 0.95
	hasRoomFraction  = 0.97
	// confirmFraction is the fraction of its limit above which a giver would
	// lose refill if its limit stayed lowered.
	confirmFraction = 0.5
	// minRebalanceFraction is the smallest difference in tokens, as a fraction
	// of the limit, that is worth a message.
	minRebalanceFraction = 0.01
)

// peers returns the other holders of an account that are believed alive.
func (e *Escrow) peers(a *accountState) []instance.Name {
	if a.epoch != e.lease.layout.Epoch {
		a.epoch, a.holders = e.lease.layout.Epoch, holders(e.lease.layout.Members, a.id)
	}
	names := make([]instance.Name, 0, MaxHolders)
	for _, h := range a.holders {
		if incarnation, ok := e.alive[h.Name]; ok && incarnation == h.Incarnation {
			names = append(names, h.Name)
		}
	}
	return names
}

// estimateLevel returns what a peer could give now: its last reported level
// plus refill, or its full limit if it has not reported one.
func (e *Escrow) estimateLevel(now time.Time, a *accountState, peer instance.Name, part float64) float64 {
	rate := e.clientAccounts[a.id].Rate
	limit := part * float64(rate.Burst)
	l, ok := a.peerLevels[peer]
	if !ok {
		return limit
	}
	return math.Min(limit, l.have+now.Sub(l.at).Seconds()*part*float64(rate.PerSecond))
}

// levelsFresh reports whether all peers have reported a level within
// levelFreshFor and after the given time. It is false for an entry with neither
// a lease nor peers, which is about to get them.
func (e *Escrow) levelsFresh(now time.Time, a *accountState, peers []instance.Name, since time.Time) bool {
	if len(peers) == 0 && !e.maySpend(now) {
		return false
	}
	for _, p := range peers {
		if l, ok := a.peerLevels[p]; !ok || now.Sub(l.at) > levelFreshFor || !l.at.After(since) {
			return false
		}
	}
	return true
}

// holderShare returns the fraction that each holder of an account has.
func (e *Escrow) holderShare(a *accountState) float64 {
	n := min(len(e.lease.layout.Members), MaxHolders)
	if n == 0 {
		return 0
	}
	return 1 / float64(n)
}

// serveWaiters grants or refuses the waiters of an account and asks peers for
// the tokens of the others; with inAdvance it also collects tokens for later waiters.
func (e *Escrow) serveWaiters(now time.Time, a *accountState, inAdvance bool, result *Result) {
	e.grantWaiters(now, a, result)
	if len(a.waiters) == 0 {
		return
	}
	peers := e.peers(a)
	e.refuseWaiters(now, a, peers, result)
	if len(a.waiters) > 0 {
		e.askPeers(now, a, peers, inAdvance)
	}
}

// grantWaiters grants waiters in order of arrival. One past its deadline may
// overtake those before it.
func (e *Escrow) grantWaiters(now time.Time, a *accountState, result *Result) {
	blocked := false
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool {
		if blocked && now.Before(w.deadline) {
			return false
		}
		if e.spendable(now, a) < w.cost {
			blocked = blocked || w.hasPrecedence(now)
			return false
		}
		a.spend(now, w.cost)
		e.applyRefund(now, a)
		result.Decisions = append(result.Decisions, Decision{RequestID: w.id, Granted: true, Account: a.id, Cost: contract.Tokens(w.cost)})
		return true
	})
	e.confirmSpent(a)
}

// estimatedWait returns how long it takes until the given cost, that of a
// waiter and all before it, can be paid, based on the levels that the peers
// reported.
func (e *Escrow) estimatedWait(now time.Time, a *accountState, peers []instance.Name, cost float64) time.Duration {
	total := e.spendable(now, a)
	for _, p := range peers {
		total += e.estimateLevel(now, a, p, e.holderShare(a))
	}
	perSecond := float64(e.clientAccounts[a.id].Rate.PerSecond)
	return refillTime(contract.Tokens(math.Ceil(cost)), total, perSecond)
}

// refuseWaiters refuses waiters that are past their deadline, or whose
// estimated wait exceeds it by far according to levels reported since their
// arrival.
func (e *Escrow) refuseWaiters(now time.Time, a *accountState, peers []instance.Name, result *Result) {
	earlierCost := 0.0
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool {
		after := e.estimatedWait(now, a, peers, earlierCost+w.cost)
		expired := !now.Before(w.deadline)
		tooLate := e.levelsFresh(now, a, peers, w.arrived) && now.Add(after/earlyRefusalFactor).After(w.deadline)
		if !expired && !tooLate {
			earlierCost += w.cost
			return false
		}
		result.Decisions = append(result.Decisions, Decision{RequestID: w.id, RetryAfter: max(after, TickEvery)})
		return true
	})
}

// refuseAll refuses all waiters of a deleted account.
func (e *Escrow) refuseAll(a *accountState, result *Result) {
	for _, w := range a.waiters {
		result.Decisions = append(result.Decisions, Decision{RequestID: w.id})
	}
	a.waiters = nil
}

// candidate is a peer that may be asked, and its estimated level.
type candidate struct {
	peer instance.Name
	have float64
}

// askPeers asks peers for the tokens that the waiters lack, those with the most
// tokens first and as few as possible. It asks for the waiters that the estimated
// levels of the peers can pay for. With inAdvance, it also asks for tokens of the
// other waiters that the bucket has room for. If the levels pay for no waiter,
// peers without a report within recheckInterval are asked anyway.
func (e *Escrow) askPeers(now time.Time, a *accountState, peers []instance.Name, inAdvance bool) {
	have := e.spendable(now, a)
	candidates, _, sum := e.candidates(now, a, peers)
	affordableCost := a.affordableCost(now, have+sum)
	probe := affordableCost == 0
	missing := affordableCost - have
	minNeed := 1.0
	if inAdvance && e.maySpend(now) {
		minNeed = a.firstWaiter(now).cost / maxCollectParts
		room := e.limit(now, a) - a.totalReserved() - a.bucket.tokens
		missing = math.Max(missing, math.Min(a.waitingCost()-have, room))
	}
	for _, c := range candidates {
		stale := now.Sub(a.peerLevels[c.peer].at) > recheckInterval
		if (missing < 1 || c.have < minNeed) && !(probe && stale) {
			continue
		}
		need := math.Ceil(math.Max(math.Min(c.have, missing), 1))
		missing -= c.have
		e.ask(now, a, c.peer, Ask{Need: need, Age: now.Sub(a.firstWaiter(now).arrived) + 1})
	}
}

// candidates returns the peers that may be asked now, those with the most
// tokens first, whether any ask is open, and the sum of the estimated levels.
func (e *Escrow) candidates(now time.Time, a *accountState, peers []instance.Name) (candidates []candidate, pending bool, sum float64) {
	for _, p := range peers {
		if a.hasOpenAsk(now, p) {
			pending = true
			continue
		}
		have := e.estimateLevel(now, a, p, e.holderShare(a))
		sum += have
		candidates = append(candidates, candidate{peer: p, have: have})
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.have, x.have) })
	return candidates, pending, sum
}

// rebalance asks for tokens while no request waits: from peers near their limit
// and, if the bucket is low, from the peer with the most.
func (e *Escrow) rebalance(now time.Time, a *accountState) {
	limit := e.limit(now, a)
	if limit <= 0 || !e.maySpend(now) || len(a.waiters) > 0 || a.averageCost == 0 {
		return
	}
	low := a.bucket.tokens < math.Min(lowLevelRequests*a.averageCost, limit/2)
	candidates, pending, _ := e.candidates(now, a, e.peers(a))
	for _, c := range candidates {
		gap := c.have - a.bucket.tokens
		full := c.have >= nearFullFraction*limit && a.bucket.tokens < hasRoomFraction*limit
		if gap < minRebalanceFraction*limit || (!full && !low) || pending {
			return
		}
		e.ask(now, a, c.peer, Ask{Need: math.Floor(gap / 2)})
		pending = !full
	}
}

// ask adds an ask to the pending message to a peer.
func (e *Escrow) ask(now time.Time, a *accountState, peer instance.Name, ask Ask) {
	e.askSeq++
	ask.ID, ask.Account = e.askSeq, a.id
	ask.Have, ask.Limit = a.bucket.tokens+a.refund, e.limit(now, a)
	a.openAsks = append(a.openAsks, openAsk{id: ask.ID, to: peer, sent: now})
	m := e.messageTo(peer)
	m.Asks = append(m.Asks, ask)
}

// offerRefund offers a refund that exceeds the limit here to the peer that
// seems to have the most room.
func (e *Escrow) offerRefund(now time.Time, a *accountState) {
	if a.refund < 1 || now.Sub(a.offeredAt) < giftTTL {
		return
	}
	candidates, _, _ := e.candidates(now, a, e.peers(a))
	if len(candidates) == 0 {
		return
	}
	lowest := candidates[len(candidates)-1]
	hasRoom := lowest.have < nearFullFraction*e.holderShare(a)*float64(e.clientAccounts[a.id].Rate.Burst)
	if !hasRoom && e.maySpend(now) && e.limit(now, a) > 0 {
		return
	}
	a.offeredAt = now
	m := e.messageTo(lowest.peer)
	m.Offers = append(m.Offers, Offer{Account: a.id, Amount: a.refund})
}

// announceLevel reports to peers with room that the bucket is close to its
// limit, where refill stops. They cannot estimate this, since refunds come
// without a message.
func (e *Escrow) announceLevel(now time.Time, a *accountState) {
	limit := e.limit(now, a)
	if limit <= 0 || a.bucket.tokens < announceFraction*limit || now.Sub(a.announcedAt) < announceInterval {
		return
	}
	for _, p := range e.peers(a) {
		if e.estimateLevel(now, a, p, e.holderShare(a)) < hasRoomFraction*limit {
			a.announcedAt = now
			m := e.messageTo(p)
			m.Gifts = append(m.Gifts, Gift{Account: a.id, Have: a.bucket.tokens})
		}
	}
}

// confirmSpent notifies givers that their excess gifts are spent, so that they
// end their reservations.
func (e *Escrow) confirmSpent(a *accountState) {
	for _, g := range a.spentExcess {
		m := e.messageTo(g.from)
		m.Returns = append(m.Returns, Return{Ask: g.ask, Account: a.id})
	}
	a.spentExcess = nil
}
