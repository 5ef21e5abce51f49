// Package claim runs non-idempotent requests at most once. Before anything is
// sent to an upstream, an entry writes a claim for the request: a row in the
// platform's table. The sidecar next to the upstream is the witness. It sends
// each attempt that it granted at most once and remembers the outcome, so that
// the fate of an attempt can be queried after its entry has crashed.
//
// The package performs no I/O and does not block: Machine and FollowUp return the
// next action, and the caller performs it and reports the result. The package
// has no locks; callers synchronize access.
package claim

import (
	"crypto/sha256"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Key identifies a claim. All repeats of one request have the same key.
type Key struct {
	Account contract.AccountID
	Route   contract.RouteName
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// KeyHash identifies a claim without disclosing its key. It is the result of Key.Hash
// in the table and of Key.HashWithBody at a witness. It is unrelated to
// contract.KeyHash, the hash of a caller's API key.
type KeyHash [sha256.Size]byte

// HashWithBody hashes the claim's key together with its body. Witnesses identify a claim
// by this hash, the table by Hash.
func (k Key) HashWithBody(body BodyHash) KeyHash {
	hash := k.Hash()
	return hashOf(string(hash[:]), string(body[:]))
}

// Hash is the key of the claim's row in the table.
func (k Key) Hash() KeyHash {
	return hashOf(string(k.Account), string(k.Route), k.Idempotency)
}

// BodyHash detects a different request that reuses an idempotency key.
type BodyHash [sha256.Size]byte

// HashCall hashes every part of a call that the service receives.
func HashCall(c *contract.ServiceCall) BodyHash {
	return hashOf(c.Method, c.Path, c.Query, c.ContentType, string(c.Body))
}

// hashOf hashes each part on its own first, so that lists with the same
// concatenation but different boundaries have different hashes.
func hashOf(parts ...string) [sha256.Size]byte {
	digest := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		_, _ = digest.Write(sum[:])
	}
	return [sha256.Size]byte(digest.Sum(nil))
}

// State is the state of a claim's row in the table.
type State uint8

const (
	// StateAbsent means that there is no row.
	StateAbsent State = iota
	// StateClaimed means that one attempt may be sent or was sent.
	StateClaimed
	// StateDone means that the request ran and its answer is known.
	StateDone
	// StateUnknown means that the request may have run and its outcome cannot be
	// determined.
	StateUnknown
)

var stateNames = [...]string{"absent", "claimed", "done", "unknown"}

// String returns the name used in logs and in the documentation.
func (s State) String() string {
	return stateNames[s]
}

// Transition is an allowed state transition of a row. Every write is conditional on
// the row's version.
type Transition struct {
	From, To State
	// Precondition describes when the transition is allowed.
	Precondition string
}

// Transitions lists all allowed transitions.
var Transitions = []Transition{
	{StateAbsent, StateClaimed, "the attempt holds a grant from its witness"},
	{StateClaimed, StateClaimed, "the attempt in the row was not sent and can no longer be sent"},
	{StateClaimed, StateDone, "the attempt's answer is known, from the upstream or from the witness"},
	{StateClaimed, StateUnknown, "the attempt may have run and its witness does not know"},
	{StateUnknown, StateDone, "the attempt's answer arrived late"},
	{StateClaimed, StateAbsent, "the attempt was never sent, or the row is past the retention time"},
	{StateDone, StateAbsent, "the row is past the retention time"},
	{StateUnknown, StateAbsent, "the row is past the retention time"},
}

// Allowed reports whether Transitions contains the transition.
func Allowed(from, to State) bool {
	for _, move := range Transitions {
		if move.From == from && move.To == to {
			return true
		}
	}
	return false
}

// Row is a claim as read from the table.
type Row struct {
	// Version is the row's version in the table; 0 if the row is absent.
	Version uint64
	Record
}

// Record is the content of a row.
type Record struct {
	State State
	Body  BodyHash
	// Call is the attempt that holds the claim. Call IDs are never reused.
	Call contract.CallID
	// Witness is the address of the sidecar that granted the attempt.
	Witness string
	// At is when the row was written, by the writer's clock. It is used only to
	// sweep old rows.
	At time.Time
	// Answer is set in StateDone.
	Answer contract.ServiceAnswer
	// Dropped is set if the answer's body exceeds MaxAnswer and was not stored.
	Dropped bool
}

// MaxAnswer is the largest answer body that is stored for repeats, in bytes.
const MaxAnswer = 64 << 10

// NewDoneRecord returns claimed with the answer of its attempt and StateDone. A body
// larger than MaxAnswer is dropped.
func NewDoneRecord(claimed Record, answer contract.ServiceAnswer, now time.Time) Record {
	claimed.State = StateDone
	claimed.At = now
	claimed.Answer = answer
	if len(answer.Body) > MaxAnswer {
		claimed.Answer.Body = nil
		claimed.Dropped = true
	}
	return claimed
}

// StoredResponse returns the response to a repeat of a request in StateDone: the stored
// answer, or a refusal if the answer was dropped.
func StoredResponse(r Record) (contract.ServiceAnswer, *contract.Refusal) {
	if r.Dropped {
		return contract.ServiceAnswer{}, &contract.Refusal{
			Code:   contract.CodeOutcomeUnknown,
			Ran:    contract.RanYes,
			Reason: "the request has already run; its answer was too large to be stored",
		}
	}
	return r.Answer, nil
}
