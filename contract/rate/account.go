package rate

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// account is one entry's state of one client account in use. An account without
// one has whatever accrued since the entry got its share.
type account struct {
	id contract.AccountID
	// hand is what may be spent here while the promises last.
	hand bucket
	// lots may be spent on waiting tickets for a short time only.
	lots []lot
	// spent are lots whose givers are to be told.
	spent []lot
	// owed is what requests did not use and hand had no room for; it may still
	// find room until owedUntil.
	owed      float64
	owedUntil time.Time
	offered   time.Time
	// announced is when peers were told last that hand is near its limit.
	announced time.Time
	// reserved lowers the limit of hand for what peers hold as lots.
	reserved []reservation
	tickets  []ticket
	asks     []openAsk
	peers    map[instance.Name]level
	// holders are those of the epoch; part is this entry's share in the span
	// with the number partOf.
	holders []instance.Identity
	epoch   uint64
	part    float64
	partOf  int
	// typical is a moving average of the cost of requests.
	typical float64
	// used is when a request asked last.
	used time.Time
}

// lot is the part of a gift that goes over this entry's own limit.
type lot struct {
	from   instance.Name
	ask    uint64
	amount float64
	until  time.Time
	// confirm means that the giver waits to hear that the lot is spent.
	confirm bool
}

// reservation is the other side of a gift.
type reservation struct {
	to     instance.Name
	ask    uint64
	amount float64
	until  time.Time
}

// ticket is a waiting request.
type ticket struct {
	id       contract.RequestID
	cost     float64
	arrived  time.Time
	deadline time.Time
}

// openAsk is an ask without an answer.
type openAsk struct {
	id   uint64
	to   instance.Name
	sent time.Time
}

// level is what a peer said that it would give.
type level struct {
	have float64
	at   time.Time
}

// totalReserved is by how much the limit of hand is lowered.
func (a *account) totalReserved() float64 {
	sum := 0.0
	for _, r := range a.reserved {
		sum += r.amount
	}
	return sum
}

// inLots is what the unexpired lots hold.
func (a *account) inLots(now time.Time) float64 {
	sum := 0.0
	for _, l := range a.lots {
		if now.Before(l.until) {
			sum += l.amount
		}
	}
	return sum
}

// spend takes a cost from the lots first and from hand for the rest.
func (a *account) spend(now time.Time, cost float64) {
	for i := range a.lots {
		l := &a.lots[i]
		if now.Before(l.until) {
			part := math.Min(l.amount, cost)
			l.amount -= part
			cost -= part
		}
	}
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if l.amount <= 0 && l.confirm {
			a.spent = append(a.spent, l)
		}
		return l.amount <= 0
	})
	a.hand.tokens -= cost
}

// waitingCost is the cost of all waiting tickets.
func (a *account) waitingCost() float64 {
	sum := 0.0
	for i := range a.tickets {
		sum += a.tickets[i].cost
	}
	return sum
}

// claimedCost is the cost of the tickets that still claim tokens.
func (a *account) claimedCost(now time.Time) float64 {
	sum := 0.0
	for i := range a.tickets {
		if a.tickets[i].claims(now) {
			sum += a.tickets[i].cost
		}
	}
	return sum
}

// payable is the cost of the tickets that the tokens pay for, in their order. One
// that claims tokens holds up those behind it.
func (a *account) payable(now time.Time, tokens float64) float64 {
	sum := 0.0
	for i := range a.tickets {
		t := &a.tickets[i]
		switch {
		case sum+t.cost <= tokens:
			sum += t.cost
		case t.claims(now):
			return sum
		}
	}
	return sum
}

// first is the ticket to ask peers for: the first that claims tokens, or else the
// first.
func (a *account) first(now time.Time) *ticket {
	for i := range a.tickets {
		if a.tickets[i].claims(now) {
			return &a.tickets[i]
		}
	}
	return &a.tickets[0]
}

// claims reports whether a ticket goes before later ones. Tokens that the account
// had when it came are collected by then; one that waits for accrual has no
// better right to them than the next request.
func (t *ticket) claims(now time.Time) bool {
	return now.Sub(t.arrived) < claimFor
}

// asked reports whether an ask to a peer has no answer yet and may still get
// one.
func (a *account) asked(now time.Time, peer instance.Name) bool {
	return slices.ContainsFunc(a.asks, func(o openAsk) bool {
		return o.to == peer && now.Sub(o.sent) < giftFor
	})
}

// answered closes an ask; ok is false if it is not open, so that a repeated
// gift counts once.
func (a *account) answered(id uint64, from instance.Name) (open openAsk, ok bool) {
	i := slices.IndexFunc(a.asks, func(o openAsk) bool { return o.id == id && o.to == from })
	if i < 0 {
		return openAsk{}, false
	}
	open = a.asks[i]
	a.asks = slices.Delete(a.asks, i, i+1)
	return open, true
}

// expire drops what is over.
func (a *account) expire(now time.Time) {
	a.asks = slices.DeleteFunc(a.asks, func(o openAsk) bool { return now.Sub(o.sent) >= giftFor })
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return !now.Before(l.until) })
	a.reserved = slices.DeleteFunc(a.reserved, func(r reservation) bool { return !now.Before(r.until) })
}

// idle reports whether nothing is going on but accrual.
func (a *account) idle() bool {
	return len(a.tickets)+len(a.asks)+len(a.lots)+len(a.reserved) == 0 && a.owed == 0
}
