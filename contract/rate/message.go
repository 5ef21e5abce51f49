package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Message carries everything that one entry has for another at one moment:
// lease renewals and grants, layouts and token transfers. It may be lost,
// repeated or delayed.
type Message struct {
	// For is the incarnation of the intended receiver; 0 if the sender does not know
	// it. A receiver of another incarnation ignores Promise, Returns and the Gifts
	// that answer an ask.
	For instance.Incarnation
	// Epoch is the epoch of the sender's layout; InEpoch is the time since the
	// sender adopted it.
	Epoch   uint64
	InEpoch time.Duration
	// Renew is the number of a renewal that asks the receiver for a lease; 0 asks
	// for none. Promise grants the sender of a renewal the lease and repeats its
	// number; 0 grants none.
	Renew   uint64
	Promise uint64
	// Layout is sent to a receiver whose epoch is lower.
	Layout  *Layout
	Asks    []Ask
	Gifts   []Gift
	Returns []Return
	Offers  []Offer
}

// Ask requests tokens of an account from a peer.
type Ask struct {
	ID      uint64
	Account contract.AccountID
	// Have is what the sender holds, Limit the most it may hold.
	Have, Limit float64
	// Need is the most that the sender wants.
	Need float64
	// Age is how long the sender's first waiter has waited, not the age of the
	// ask; 0 if the ask only rebalances.
	Age time.Duration
	// Offered means that the ask responds to an Offer.
	Offered bool
}

// Gift transfers tokens in answer to an ask. The giver has already subtracted
// the amount, and reserves it against its own limit until the gift has expired.
// With Ask and Amount 0 it transfers nothing and only reports the giver's level
// in Have.
type Gift struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
	// Have is what the giver could still give.
	Have float64
	// Offered means that the tokens come from an Offer, not from the giver's
	// bucket; the receiver keeps them only up to its own limit.
	Offered bool
	// Confirm requests a Return of zero once the tokens are in the receiver's
	// bucket or spent, because the giver is near its limit.
	Confirm bool
}

// Return sends back the unspent part of a gift and ends the giver's
// reservation.
type Return struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
}

// Offer announces refunded tokens that exceed the sender's limit to a peer that
// seems to have room. The peer responds with an Ask.
type Offer struct {
	Account contract.AccountID
	Amount  float64
}
