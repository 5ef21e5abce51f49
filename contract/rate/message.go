package rate

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Message is what entries tell each other about rates. All that one entry has
// to say to another at one moment goes into one message. Any of it may be lost,
// repeated or late.
type Message struct {
	// For is the receiver's incarnation; 0 when the sender does not know it.
	// Another incarnation ignores promises, gifts and returns.
	For instance.Incarnation
	// Epoch is that of the sender's layout; InEpoch is for how long it has had
	// that layout.
	Epoch   uint64
	InEpoch time.Duration
	// Renew asks for a promise; Promise repeats the number that was asked with.
	Renew   uint64
	Promise uint64
	// Layout goes to a receiver whose epoch is lower.
	Layout  *Layout
	Asks    []Ask
	Gifts   []Gift
	Returns []Return
	Offers  []Offer
}

// Ask asks a peer to hand over tokens of an account.
type Ask struct {
	ID      uint64
	Account contract.AccountID
	// Have and Limit are what the asker holds and may hold.
	Have, Limit float64
	// Need is the most that is wanted.
	Need float64
	// Age is how long that ticket waits; 0 in the background.
	Age time.Duration
	// Offered asks for what was offered.
	Offered bool
}

// Gift answers an ask. The giver has already subtracted the amount, and keeps
// its own limit lower by it until the gift is too old to be taken.
type Gift struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
	// Have is what the giver would still give.
	Have float64
	// Offered gifts come from what was offered, not from the giver's hand, so
	// they are kept only as far as there is room.
	Offered bool
	// Confirm asks for a return of nothing once the gift is in hand, since the
	// giver is near its limit.
	Confirm bool
}

// Return sends back the part of a gift that was not spent in time. The giver's
// limit is its own again.
type Return struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
}

// Offer tells an entry that seems to have room of tokens that requests did not
// use, so that it asks for them.
type Offer struct {
	Account contract.AccountID
	Amount  float64
}
