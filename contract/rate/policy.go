// Package rate enforces each client account's rate and burst across all entries
// without a central coordinator. It holds the policies (escrow and two
// baselines), the layout of shares and the messages between entries. A policy
// takes the time as an argument, never blocks and returns the messages to send;
// the entry calls it with the lock of its rates table (lock rank
// table.RankRates) held and does the sending.
//
// Every policy must keep one bound: over any window T an account is granted at
// most rate × T + burst tokens, summed over the fleet.
package rate

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Policy decides which requests are within their account's rate. It is not safe
// for concurrent use; the caller holds the lock of the rates table.
type Policy interface {
	// SetAccounts replaces the client accounts; an older revision is ignored.
	SetAccounts(now time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount)
	// SetMembers sets the entries believed alive, this one included. Those that hold
	// shares are the Members of the layout.
	SetMembers(now time.Time, members []instance.Identity)
	// Admit charges cost to the account if tokens are available. A waiting
	// request is decided later, by HandleMessage or Tick, within maxWait.
	Admit(now time.Time, id contract.RequestID, account contract.AccountID, cost contract.Tokens, maxWait time.Duration) Verdict
	// CancelWait drops a waiting request whose caller disconnected.
	CancelWait(now time.Time, id contract.RequestID)
	// Settle returns the tokens that a granted request did not use. Tokens used
	// beyond the charge become debt.
	Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens)
	// HandleMessage processes a message from another entry.
	HandleMessage(now time.Time, from instance.Identity, message Message) Result
	// Tick performs timed work such as renewals, expiry and timeouts; call it
	// every TickEvery.
	Tick(now time.Time) Result
	// PrepareShutdown offers the tokens held here to the other entries before a
	// shutdown.
	PrepareShutdown(now time.Time) []Outgoing
}

// TickEvery is how often Tick must be called.
const TickEvery = 50 * time.Millisecond

// State is the state of a request for tokens.
type State uint8

// The states of a verdict.
const (
	// Granted requests were charged.
	Granted State = iota + 1
	// Waiting requests are decided later.
	Waiting
	// Refused requests were not charged.
	Refused
)

// Verdict is the answer to Admit.
type Verdict struct {
	State State
	// RetryAfter is the delay before a refused request may be retried; 0 if its cost
	// can never be granted.
	RetryAfter time.Duration
	Messages   []Outgoing
}

// Result holds the requests decided and the messages to send after HandleMessage or
// Tick.
type Result struct {
	Decisions []Decision
	Messages  []Outgoing
}

// Decision is the decision on a request that was waiting.
type Decision struct {
	RequestID contract.RequestID
	Granted   bool
	// Account and Cost are those of the request, so that a grant whose request
	// has already ended can be settled.
	Account contract.AccountID
	Cost    contract.Tokens
	// RetryAfter is the delay before a refused request may be retried.
	RetryAfter time.Duration
}

// Outgoing is a message to send. Delivery is not reliable: messages may be
// lost, repeated or reordered.
type Outgoing struct {
	To      instance.Name
	Message Message
}

// Names of the policies.
const (
	PolicyEscrow      = "escrow"
	PolicyFixedSplit  = "fixed-split"
	PolicySingleOwner = "single-owner"
)

// DefaultPolicy is used if the settings do not name a policy.
const DefaultPolicy = PolicyEscrow

// Options configure a policy.
type Options struct {
	// Entries is the number of entries that a fixed split divides by; 0 means
	// the members believed alive, which keeps the bound only while all entries
	// agree on them.
	Entries int
	// GrantorLostAfter replaces DefaultGrantorLostAfter if not 0; a negative value
	// means that missing grantors never count as lost.
	GrantorLostAfter time.Duration
	// LeaseDuration replaces the constant LeaseDuration at the holder of leases; 0 in
	// production. Tests lengthen it to check that the bound then breaks.
	LeaseDuration time.Duration
}

// LayoutPolicy is a policy that needs a layout of shares, agreed through the
// platform's table.
type LayoutPolicy interface {
	Policy
	// Layout returns the layout in force at this entry; epoch 0 means none yet.
	Layout() *Layout
	// SetLayout adopts a layout that was read from or written to the table. A
	// layout that is not newer is ignored.
	SetLayout(now time.Time, layout *Layout)
	// CanGrant reports whether this entry can grant tokens, either its own or from
	// peers. The load balancer should not route to an entry that cannot.
	CanGrant(now time.Time) bool
	// ProposeLayout returns the layout to write to the table by compare-and-set
	// against the layout in force here; ok is false if no change is needed.
	ProposeLayout(now time.Time) (next *Layout, ok bool)
}

// ErrUnknownPolicy means that no policy has the configured name.
var ErrUnknownPolicy = errors.New("rate: unknown policy")

// New returns the policy of the given name for the entry self. It returns
// ErrUnknownPolicy for any other name.
func New(name string, self instance.Identity, opts Options) (Policy, error) {
	switch name {
	case PolicyEscrow:
		return NewEscrow(self, opts), nil
	case PolicySingleOwner:
		return NewSingleOwner(self), nil
	case PolicyFixedSplit:
		return NewFixedSplit(self, opts), nil
	default:
		return nil, fmt.Errorf("%w: %q", ErrUnknownPolicy, name)
	}
}
