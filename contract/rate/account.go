package rate

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// accountState is this entry's state of one client account in use. State is
// created at the first use; its bucket then holds what has accrued in the spans of
// the history.
type accountState struct {
	id contract.AccountID
	// bucket holds the tokens that may be spent here while the lease is valid.
	bucket bucket
	// excess may be spent on waiters only, until it expires.
	excess []excessGift
	// spentExcess holds the used-up gifts that their givers are still to be
	// notified of.
	spentExcess []excessGift
	// refund is the part of the refunds that exceeds the limit of the bucket;
	// it is dropped at refundUntil.
	refund      float64
	refundUntil time.Time
	offeredAt   time.Time
	// announcedAt is when peers were last notified that the bucket is near its
	// limit.
	announcedAt time.Time
	// reservations lower the limit of the bucket by what peers may still hold
	// as excess.
	reservations []reservation
	waiters      []waiter
	openAsks     []openAsk
	peerLevels   map[instance.Name]peerLevel
	// holders share the account in the given epoch; cachedShare is this entry's
	// share in the span with the number cachedSpan.
	holders     []instance.Identity
	epoch       uint64
	cachedShare float64
	cachedSpan  int
	// averageCost is a moving average of the cost of requests.
	averageCost float64
	// lastRequestAt is the time of the last Admit.
	lastRequestAt time.Time
}

// excessGift is the part of a gift that exceeds this entry's own limit.
type excessGift struct {
	from   instance.Name
	ask    uint64
	amount float64
	until  time.Time
	// confirm means that the giver requested a Return once this is spent.
	confirm bool
}

// reservation is the giver's record of a gift that the receiver may still spend
// or return.
type reservation struct {
	to     instance.Name
	ask    uint64
	amount float64
	until  time.Time
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       contract.RequestID
	cost     float64
	arrived  time.Time
	deadline time.Time
}

// openAsk is an ask that has no answer yet.
type openAsk struct {
	id   uint64
	to   instance.Name
	sent time.Time
}

// peerLevel is the number of tokens that a peer last reported it could give.
type peerLevel struct {
	have float64
	at   time.Time
}

// totalReserved returns how much the limit of the bucket is lowered.
func (a *accountState) totalReserved() float64 {
	sum := 0.0
	for _, r := range a.reservations {
		sum += r.amount
	}
	return sum
}

// excessTokens returns the unexpired tokens above the limit.
func (a *accountState) excessTokens(now time.Time) float64 {
	sum := 0.0
	for _, g := range a.excess {
		if now.Before(g.until) {
			sum += g.amount
		}
	}
	return sum
}

// spend charges a cost to the excess first and to the bucket for the rest.
func (a *accountState) spend(now time.Time, cost float64) {
	for i := range a.excess {
		g := &a.excess[i]
		if now.Before(g.until) {
			part := math.Min(g.amount, cost)
			g.amount -= part
			cost -= part
		}
	}
	a.excess = slices.DeleteFunc(a.excess, func(g excessGift) bool {
		if g.amount <= 0 && g.confirm {
			a.spentExcess = append(a.spentExcess, g)
		}
		return g.amount <= 0
	})
	a.bucket.tokens -= cost
}

// waitingCost returns the cost of all waiters.
func (a *accountState) waitingCost() float64 {
	sum := 0.0
	for i := range a.waiters {
		sum += a.waiters[i].cost
	}
	return sum
}

// precedingCost returns the cost of the waiters that have precedence.
func (a *accountState) precedingCost(now time.Time) float64 {
	sum := 0.0
	for i := range a.waiters {
		if a.waiters[i].hasPrecedence(now) {
			sum += a.waiters[i].cost
		}
	}
	return sum
}

// affordableCost returns the cost of the waiters that the tokens pay for, in
// order. A waiter with precedence blocks those behind it.
func (a *accountState) affordableCost(now time.Time, tokens float64) float64 {
	sum := 0.0
	for i := range a.waiters {
		w := &a.waiters[i]
		switch {
		case sum+w.cost <= tokens:
			sum += w.cost
		case w.hasPrecedence(now):
			return sum
		}
	}
	return sum
}

// firstWaiter returns the waiter to ask peers for: the first with precedence,
// or else the first. There must be a waiter.
func (a *accountState) firstWaiter(now time.Time) *waiter {
	for i := range a.waiters {
		if a.waiters[i].hasPrecedence(now) {
			return &a.waiters[i]
		}
	}
	return &a.waiters[0]
}

// hasPrecedence reports whether a waiter is served before later ones. Tokens
// that the account had when the request arrived are collected within
// precedenceFor; after that it waits for refill, and has no more right to the
// tokens than the next request.
func (w *waiter) hasPrecedence(now time.Time) bool {
	return now.Sub(w.arrived) < precedenceFor
}

// hasOpenAsk reports whether an ask to a peer may still be answered.
func (a *accountState) hasOpenAsk(now time.Time, peer instance.Name) bool {
	return slices.ContainsFunc(a.openAsks, func(o openAsk) bool {
		return o.to == peer && now.Sub(o.sent) < giftTTL
	})
}

// closeAsk removes an ask. ok is false if it is not open, so that a repeated
// gift is counted once.
func (a *accountState) closeAsk(id uint64, from instance.Name) (open openAsk, ok bool) {
	i := slices.IndexFunc(a.openAsks, func(o openAsk) bool { return o.id == id && o.to == from })
	if i < 0 {
		return openAsk{}, false
	}
	open = a.openAsks[i]
	a.openAsks = slices.Delete(a.openAsks, i, i+1)
	return open, true
}

// dropExpired removes expired asks, excess and reservations.
func (a *accountState) dropExpired(now time.Time) {
	a.openAsks = slices.DeleteFunc(a.openAsks, func(o openAsk) bool { return now.Sub(o.sent) >= giftTTL })
	a.excess = slices.DeleteFunc(a.excess, func(g excessGift) bool { return !now.Before(g.until) })
	a.reservations = slices.DeleteFunc(a.reservations, func(r reservation) bool { return !now.Before(r.until) })
}

// idle reports whether the account only refills.
func (a *accountState) idle() bool {
	return len(a.waiters)+len(a.openAsks)+len(a.excess)+len(a.reservations) == 0 && a.refund == 0
}
