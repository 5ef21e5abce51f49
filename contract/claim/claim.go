// Package claim decides about requests that may not be repeated. Such a request
// holds a claim, a row of the platform's table, before anything is sent to an
// upstream. The sidecar beside the upstream is the witness: it sends only
// what it gave a grant for, once, and remembers what became of it, so that an
// attempt whose entry died can still be told apart as sent or never sent.
//
// Nothing here blocks or calls out: Machine and Duty say what to do next, and
// are told how it went.
package claim

import (
	"crypto/sha256"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Key names a claim: the same for all repeats of one request.
type Key struct {
	Account contract.AccountID
	Route   contract.RouteName
	// Idempotency is the caller's idempotency key.
	Idempotency string
}

// KeyHash names a claim without telling anything of its key.
type KeyHash [sha256.Size]byte

// With names a claim together with its body, as witnesses know it.
func (k Key) With(body BodyHash) KeyHash {
	hash := k.Hash()
	return hashOf(string(hash[:]), string(body[:]))
}

// Hash gives the claim's name in the table.
func (k Key) Hash() KeyHash {
	return hashOf(string(k.Account), string(k.Route), k.Idempotency)
}

// BodyHash tells whether two requests with one key are the same.
type BodyHash [sha256.Size]byte

// HashCall hashes all of a call that a service sees.
func HashCall(c *contract.ServiceCall) BodyHash {
	return hashOf(c.Method, c.Path, c.Query, c.ContentType, string(c.Body))
}

// hashOf hashes texts so that no two lists give the same input.
func hashOf(parts ...string) [sha256.Size]byte {
	digest := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		_, _ = digest.Write(sum[:])
	}
	return [sha256.Size]byte(digest.Sum(nil))
}

// State is where a claim stands in the table.
type State uint8

const (
	// StateAbsent means that there is no row.
	StateAbsent State = iota
	// StateClaimed means that one attempt may be sent, or was.
	StateClaimed
	// StateDone means that the request ran and its answer is known.
	StateDone
	// StateUnknown means that the request may have run and nobody knows.
	StateUnknown
)

var stateNames = [...]string{"absent", "claimed", "done", "unknown"}

// String gives the word used in logs and in the documentation.
func (s State) String() string {
	return stateNames[s]
}

// Move is one allowed change of a row. All are made on the row's version.
type Move struct {
	From, To State
	// When says what has to be known for the move.
	When string
}

// Moves are all changes that a row may go through.
var Moves = []Move{
	{StateAbsent, StateClaimed, "the attempt holds a grant of its witness"},
	{StateClaimed, StateClaimed, "the attempt in the row was never sent and cannot be any more"},
	{StateClaimed, StateDone, "the attempt's answer is known, from the upstream or from the witness"},
	{StateClaimed, StateUnknown, "the attempt may have run and its witness cannot tell"},
	{StateUnknown, StateDone, "the attempt's answer came late"},
	{StateClaimed, StateAbsent, "the attempt was never sent, or the row is older than outcomes are kept"},
	{StateDone, StateAbsent, "the row is older than outcomes are kept"},
	{StateUnknown, StateAbsent, "the row is older than outcomes are kept"},
}

// Allowed reports whether a row may go from one state to another.
func Allowed(from, to State) bool {
	for _, move := range Moves {
		if move.From == from && move.To == to {
			return true
		}
	}
	return false
}

// Row is a claim as it stands in the table.
type Row struct {
	// Version is that of the table's row; 0 if it is absent.
	Version uint64
	Record
}

// Record is what a row says.
type Record struct {
	State State
	Body  BodyHash
	// Call is the attempt that holds the claim, unique for ever.
	Call contract.CallID
	// Witness is the address of the sidecar that gave the attempt its grant.
	Witness string
	// At is when the row was written, by the writer's clock. It only serves to
	// sweep old rows.
	At time.Time
	// Answer is set in StateDone.
	Answer contract.ServiceAnswer
	// Dropped says that the answer was too large to be kept.
	Dropped bool
}

// MaxAnswer is the largest body of an answer that is kept for repeats, in bytes.
const MaxAnswer = 64 << 10

// Done gives the record of an answered attempt.
func Done(claimed Record, answer contract.ServiceAnswer, now time.Time) Record {
	claimed.State = StateDone
	claimed.At = now
	claimed.Answer = answer
	if len(answer.Body) > MaxAnswer {
		claimed.Answer.Body = nil
		claimed.Dropped = true
	}
	return claimed
}

// Recorded gives what a repeat of an answered request gets.
func Recorded(r Record) (contract.ServiceAnswer, *contract.Refusal) {
	if r.Dropped {
		return contract.ServiceAnswer{}, &contract.Refusal{
			Code:   contract.CodeOutcomeUnknown,
			Ran:    contract.RanYes,
			Reason: "the request ran before; its answer was too large to be kept",
		}
	}
	return r.Answer, nil
}
