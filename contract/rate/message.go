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
	Refunds []Refund
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
}

// Gift answers an ask. The giver has already subtracted the amount, and keeps
// its own limit lower by it until the gift is too old to be taken.
type Gift struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
	// Have is what the giver would still give.
	Have float64
}

// Return sends back a part of a gift that was not spent in time.
type Return struct {
	Ask     uint64
	Account contract.AccountID
	Amount  float64
}

// Refund passes on what requests did not use, to an entry with room for it. Its
// number rises from one message of a sender to the next, so that a repeated one
// counts once.
type Refund struct {
	Number  uint64
	Account contract.AccountID
	Amount  float64
	// Age is how long ago the requests were settled.
	Age time.Duration
}
