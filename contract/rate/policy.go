// Package rate keeps each client account within its rate and burst across all
// entries, without a coordinator. A policy is a plain object: it takes the time
// as an argument, never blocks, and returns the messages to send. It lives in
// the shared table of rank rates and is called while that lock is held.
//
// The bound that every policy keeps: over any window T an account is granted at
// most rate × T + burst tokens, summed over the fleet.
package rate

import (
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Policy decides which requests the rates allow.
type Policy interface {
	// SetContracts replaces the client accounts; an older revision is ignored.
	SetContracts(now time.Time, rev contract.Revision, accounts map[contract.AccountID]contract.ClientAccount)
	// SetMembers gives the entries believed alive, this one included.
	SetMembers(now time.Time, members []instance.Identity)
	// Admit asks for the cost of a request. A waiting ticket is decided later,
	// by Handle or Tick, within the patience.
	Admit(now time.Time, ticket contract.RequestID, account contract.AccountID, cost contract.Tokens, patience time.Duration) Verdict
	// Abandon forgets a waiting ticket whose caller left.
	Abandon(now time.Time, ticket contract.RequestID)
	// Settle gives back what a granted request did not use, or records what it
	// used beyond its charge as debt.
	Settle(now time.Time, account contract.AccountID, charged, used contract.Tokens)
	// Handle takes a message from another entry.
	Handle(now time.Time, from instance.Identity, message Message) Result
	// Tick does what is due; call it every TickEvery.
	Tick(now time.Time) Result
	// HandBack gives what is held to the other entries before a shutdown.
	HandBack(now time.Time) []Outgoing
}

// TickEvery is how often Tick must be called.
const TickEvery = 50 * time.Millisecond

// State is how a request for tokens stands.
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
	// After is when a refused request may be repeated; 0 when it never fits.
	After time.Duration
	Out   []Outgoing
}

// Result is what a message or the passing of time brought about.
type Result struct {
	Decided []Decided
	Out     []Outgoing
}

// Decided ends the wait of a ticket.
type Decided struct {
	Ticket  contract.RequestID
	Granted bool
	// Account and Cost are those of the ticket: a grant that comes too late for
	// its request is settled with them.
	Account contract.AccountID
	Cost    contract.Tokens
	// After is when a refused request may be repeated.
	After time.Duration
}

// Outgoing is a message to send. Messages may be lost, repeated and reordered.
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

// DefaultPolicy is used when the settings name none.
const DefaultPolicy = PolicyEscrow

// Options configure a policy.
type Options struct {
	// Entries is the number of entries that a fixed split divides by; 0 means
	// the members believed alive, which keeps the bound only while all entries
	// agree on them.
	Entries int
	// LostFor replaces DefaultLostFor; negative means never.
	LostFor time.Duration
	// Lease replaces Lease at the receiver of promises; 0 in production. Tests
	// lengthen it to see the bound broken.
	Lease time.Duration
}

// Planner is a policy that needs a layout agreed through the platform's table.
type Planner interface {
	Policy
	// Layout is the layout in force here; epoch 0 means none yet.
	Layout() *Layout
	// SetLayout takes a layout read from the table, or written to it.
	SetLayout(now time.Time, layout *Layout)
	// Ready reports whether tokens can be granted here, from what is held or
	// from peers. An entry that is not ready should leave the balancer.
	Ready(now time.Time) bool
	// Propose gives the layout to write, on condition that the table still has
	// the layout in force here; ok is false if there is no need.
	Propose(now time.Time) (next *Layout, ok bool)
}

// ErrUnknownPolicy means that the settings name a policy that does not exist.
var ErrUnknownPolicy = errors.New("rate: unknown policy")

// New returns the policy of the given name.
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
