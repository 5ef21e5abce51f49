package claim

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
)

// ActionKind is the kind of an Action. Each comment names the Machine method that takes
// the result.
type ActionKind uint8

const (
	// DoNothing waits for the result of an action that is in progress.
	DoNothing ActionKind = iota
	// DoGrant requests a grant for Call from sidecars, then OnGrant or
	// OnGrantRefused.
	DoGrant
	// DoClaim writes the claim of Call with Witness, provided that the row still
	// has Version, then OnClaimWritten.
	DoClaim
	// DoRead reads the row, then OnRow or OnReadFailed.
	DoRead
	// DoSend sends Call to Witness, then OnCallResult.
	DoSend
	// DoAsk queries Witness for the fate of Call, then OnFate or OnFateUnavailable.
	DoAsk
	// DoSurvey queries all sidecars of the pool for the fate of the claim's
	// attempts, because the row cannot be read, then OnSurvey.
	DoSurvey
	// DoPause waits for Backoff(Pauses), then OnPauseOver.
	DoPause
	// DoDeliver returns the answer that arrived with the last result to the caller.
	DoDeliver
	// DoRefuse returns Refusal to the caller.
	DoRefuse
)

var actionKindNames = [...]string{"nothing", "grant", "claim", "read", "send", "ask", "survey", "pause", "deliver", "refuse"}

// String returns the name used in logs.
func (d ActionKind) String() string {
	return actionKindNames[d]
}

// Action is the next step of a request, with background work that it leaves.
type Action struct {
	Kind    ActionKind
	Call    contract.CallID
	Witness string
	// Version is the row's version that DoClaim expects; 0 if it is absent.
	Version uint64
	// Pauses is the number of pauses of the request so far, from which Backoff
	// computes the delay of DoPause. Pauses to send are not counted.
	Pauses  int
	Refusal *contract.Refusal
	// FollowUp continues in the background after the caller has its response.
	FollowUp FollowUp
}

// FollowUpKind is the kind of row update that remains when a request has ended.
type FollowUpKind uint8

const (
	// FollowUpNone requires no update.
	FollowUpNone FollowUpKind = iota
	// FollowUpRelease removes the claim of a request that was never sent.
	FollowUpRelease
	// FollowUpDone records the answer of Call.
	FollowUpDone
	// FollowUpUnknown records that it cannot be determined whether Call ran.
	FollowUpUnknown
)

// FollowUp is a row update that continues after the caller has its response. It is
// retried until it is applied or the row no longer needs it.
type FollowUp struct {
	Kind FollowUpKind
	Call contract.CallID
}

// Apply returns the state to write, given the current row. ok is false if there
// is nothing to write. again means that the row must be read again later,
// because a write whose acknowledgment was lost may still arrive.
func (d FollowUp) Apply(row Row) (to State, ok, again bool) {
	switch d.Kind {
	case FollowUpRelease:
		if row.State == StateAbsent {
			return StateAbsent, false, true
		}
		ours := row.State == StateClaimed && row.Call.Request == d.Call.Request
		return StateAbsent, ours, ours
	case FollowUpDone:
		open := row.State == StateClaimed || row.State == StateUnknown
		return StateDone, open && row.Call == d.Call, false
	case FollowUpUnknown:
		return StateUnknown, row.State == StateClaimed && row.Call == d.Call, false
	default:
		return row.State, false, false
	}
}

// WriteResult is the result of a conditional write of the row.
type WriteResult uint8

const (
	// WriteDone means that the write was applied.
	WriteDone WriteResult = iota
	// WriteConflict means that the row had another version.
	WriteConflict
	// WriteLost means that no acknowledgment arrived: the write may have been
	// applied, or may still be.
	WriteLost
	// WriteRefused means that the table rejected the write; it is never applied.
	WriteRefused
)

// CallResult is the result of sending an attempt to its witness.
type CallResult uint8

const (
	// CallAnswered means that the upstream answered.
	CallAnswered CallResult = iota
	// CallNotRun means that the attempt did not run and will never run.
	CallNotRun
	// CallUnclear means that the witness sent the attempt and received no answer:
	// it may have run. The row is then set to StateUnknown.
	CallUnclear
	// CallNoReply means that the witness did not reply.
	CallNoReply
)
