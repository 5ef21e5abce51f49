package claim

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Do is what a Machine wants done next.
type Do uint8

const (
	// DoNothing waits for what is already under way.
	DoNothing Do = iota
	// DoGrant asks sidecars for a grant for Call, then Granted or NotGranted.
	DoGrant
	// DoClaim writes the claim of Call with Witness if the row has Version,
	// then Wrote.
	DoClaim
	// DoRead reads the row, then Read or NotRead.
	DoRead
	// DoSend sends Call to Witness, then Called.
	DoSend
	// DoAsk asks Witness what became of Call, then Asked.
	DoAsk
	// DoSurvey asks all sidecars of the pool what became of the claim's
	// attempts, since the row cannot be read, then Surveyed.
	DoSurvey
	// DoPause waits for Pause(Looks), then Paused.
	DoPause
	// DoDeliver gives the caller the answer that came with the event.
	DoDeliver
	// DoRefuse gives the caller Refusal.
	DoRefuse
)

var doNames = [...]string{"nothing", "grant", "claim", "read", "send", "ask", "survey", "pause", "deliver", "refuse"}

// String gives the word used in logs.
func (d Do) String() string {
	return doNames[d]
}

// Action is one thing to do, and what may be left to do in the background.
type Action struct {
	Do      Do
	Call    contract.CallID
	Witness string
	Version uint64
	Looks   int
	Refusal *contract.Refusal
	// Duty goes on after the caller has its answer.
	Duty Duty
}

// DutyKind is what is left to do with a row once a request is over.
type DutyKind uint8

const (
	// DutyNone leaves the row alone.
	DutyNone DutyKind = iota
	// DutyRelease removes the claim of a request that was never sent.
	DutyRelease
	// DutyDone records the answer of Call.
	DutyDone
	// DutyUnknown records that nobody knows whether Call ran.
	DutyUnknown
)

// Duty is work on a row that outlives the caller's wait. It is tried until the
// row says it, or says something that is as true.
type Duty struct {
	Kind DutyKind
	Call contract.CallID
}

// Apply says what to write, given the row as it stands. ok is false if there
// is nothing to write; again says that the row has to be looked at once more,
// since a write whose answer was lost may still arrive.
func (d Duty) Apply(row Row) (to State, ok, again bool) {
	switch d.Kind {
	case DutyRelease:
		if row.State == StateAbsent {
			return StateAbsent, false, true
		}
		ours := row.State == StateClaimed && row.Call.Request == d.Call.Request
		return StateAbsent, ours, ours
	case DutyDone:
		open := row.State == StateClaimed || row.State == StateUnknown
		return StateDone, open && row.Call == d.Call, false
	case DutyUnknown:
		return StateUnknown, row.State == StateClaimed && row.Call == d.Call, false
	default:
		return row.State, false, false
	}
}

// WriteResult is how a write of the row went.
type WriteResult uint8

const (
	// WriteDone means that the row says it now.
	WriteDone WriteResult = iota
	// WriteConflict means that the row had another version.
	WriteConflict
	// WriteLost means that no answer came: the row may say it, now or later.
	WriteLost
	// WriteRefused means that the table did not take the write.
	WriteRefused
)

// CallResult is how the sending of an attempt went.
type CallResult uint8

const (
	// CallAnswered means that the upstream answered.
	CallAnswered CallResult = iota
	// CallNotRun means that the attempt did not run and never will.
	CallNotRun
	// CallUnclear means that the witness sent it and got no answer.
	CallUnclear
	// CallNoReply means that the witness gave no reply.
	CallNoReply
)
