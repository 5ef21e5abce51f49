package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// phase is the result that a Machine waits for.
type phase uint8

const (
	phaseGrant phase = iota
	phaseClaim
	phaseRead
	phaseSend
	phaseAsk
	phaseSurvey
	phasePause
	phaseOver
)

// Limits of one request.
const (
	// maxAttempts limits the grants of one request, and the writes of its claim.
	maxAttempts = 4
	// maxReads limits failed reads of the row while nothing was sent and no other
	// request is known to hold the claim.
	maxReads = 3
	// maxForgotten limits reads of the row after its witness has forgotten the
	// attempt. The entry that sent the attempt may still record the outcome.
	maxForgotten = 6
	// maxPausesAfterRefusal is the number of pauses of the request after which an
	// unreachable witness is not queried again if the caller has its refusal.
	maxPausesAfterRefusal = 10
	// maxPauseCount caps the counter of pauses. It is far above the number at which
	// the backoff reaches its maximum.
	maxPauseCount = 100
)

// Bounds of the backoff.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// Backoff returns the delay before the next read of the row or query of a witness,
// doubled for each earlier pause up to maxBackoff.
func Backoff(pauses int) time.Duration {
	return min(minBackoff<<min(pauses, 8), maxBackoff)
}

// holder is the attempt that holds the claim according to the row.
type holder struct {
	call    contract.CallID
	witness string
}

// Machine is the state machine of one request at one entry. Each method takes
// the result of the last action and returns the next one; a result that the
// machine does not wait for is ignored. A Machine is comparable, so that a test
// can enumerate all reachable states.
type Machine struct {
	phase phase
	body  BodyHash
	// call is the request's current attempt; witness granted it.
	call    contract.CallID
	witness string
	granted bool
	// pendingRefusal is the refusal to return unless the row has an outcome: no sidecar
	// grants the request, or its claim cannot be written. It is nil while the
	// request may be sent.
	pendingRefusal *contract.Refusal
	// lookup is set if the request is only looked up, see StartLookup.
	lookup bool
	// neverRan is set if the current attempt did not run and will never run.
	neverRan bool
	// version is the row's version that the next write of the claim expects.
	version uint64
	// target is the attempt that a witness is queried about.
	target holder
	// targetNever is set if the target was not sent and can no longer be sent.
	targetNever bool
	// claimed is set if the row may hold a claim of this request.
	claimed bool
	// sent is set if the current attempt may have been sent.
	sent bool
	// heldByOther is set if another request with the same key holds the claim.
	heldByOther bool
	// reread is set if the row is read after the next pause instead of asking the
	// witness.
	reread bool
	// refused is set once the caller has its refusal while the fate of a sent
	// attempt is still being determined.
	refused bool
	// attempts counts the grants that were requested, reads the failed reads of the
	// row, pauses the pauses up to maxPauseCount, forgotten the replies of a witness
	// that has forgotten the attempt, and rewrites the repeated writes of the
	// current claim.
	attempts, reads, pauses, forgotten, rewrites uint8
}

// NewMachine returns the machine of a request whose first attempt is call.
func NewMachine(call contract.CallID, body BodyHash) Machine {
	return Machine{call: call, body: body}
}

// Start returns the first action.
func (m *Machine) Start() Action {
	return m.requestGrant()
}

// requestGrant requests a grant for the first attempt, and for a new attempt on
// each later call.
func (m *Machine) requestGrant() Action {
	if m.refused {
		return m.end(Action{FollowUp: m.releaseFollowUp()})
	}
	m.attempts++
	if m.attempts > maxAttempts {
		return m.refuseNotRun(contract.RefuseRetryable(contract.CodeNoUpstream, time.Second, "no upstream accepted the call"))
	}
	if m.attempts > 1 {
		m.call.Attempt++
	}
	m.phase = phaseGrant
	m.granted = false
	m.neverRan = false
	return Action{Kind: DoGrant, Call: m.call}
}

// OnGrant takes the address of the sidecar that granted the attempt.
func (m *Machine) OnGrant(witness string) Action {
	if m.phase != phaseGrant {
		return Action{}
	}
	m.witness = witness
	m.granted = true
	return m.writeClaim()
}

// OnGrantRefused takes the refusal to return if no sidecar grants the request. The
// row is read first, because a repeat may find its outcome there.
func (m *Machine) OnGrantRefused(refusal *contract.Refusal) Action {
	if m.phase != phaseGrant {
		return Action{}
	}
	m.pendingRefusal = refusal
	return m.readRow()
}

// writeClaim writes the current attempt into the row.
func (m *Machine) writeClaim() Action {
	m.phase = phaseClaim
	return Action{Kind: DoClaim, Call: m.call, Witness: m.witness, Version: m.version}
}

// OnClaimWritten takes the result of DoClaim. Without an acknowledgment the row is read:
// if it holds the current attempt, the write was applied.
func (m *Machine) OnClaimWritten(result WriteResult) Action {
	if m.phase != phaseClaim {
		return Action{}
	}
	switch result {
	case WriteDone:
		m.claimed = true
		return m.sendAttempt()
	case WriteRefused:
		// A repeat may find its outcome in the row.
		m.pendingRefusal = storeRefusal
		return m.readRow()
	case WriteLost:
		m.claimed = true
		return m.readRow()
	default:
		return m.readRow()
	}
}

// storeRefusal is shared by all machines and must not be modified.
var storeRefusal = contract.RefuseRetryable(contract.CodeStoreUnavailable, time.Second, "the claim's row in the platform's table cannot be read or written, and nothing was sent")

func (m *Machine) sendAttempt() Action {
	m.phase = phaseSend
	m.sent = true
	m.forgotten = 0
	return Action{Kind: DoSend, Call: m.call, Witness: m.witness}
}

func (m *Machine) readRow() Action {
	m.phase = phaseRead
	m.reread = false
	return Action{Kind: DoRead}
}

// OnCallResult takes the result of DoSend. refusal is that of CallNotRun and may be nil.
func (m *Machine) OnCallResult(result CallResult, refusal *contract.Refusal) Action {
	if m.phase != phaseSend {
		return Action{}
	}
	switch result {
	case CallAnswered:
		return m.end(Action{Kind: DoDeliver, FollowUp: FollowUp{FollowUpDone, m.call}})
	case CallUnclear:
		return m.end(m.refuseUnknown(FollowUp{FollowUpUnknown, m.call}))
	case CallNotRun:
		return m.retryNotRun(refusal)
	default:
		return m.askWitness(holder{m.call, m.witness})
	}
}

// retryNotRun handles an attempt of this request that did not run: it reads the
// row to try another upstream, unless the refusal is final.
func (m *Machine) retryNotRun(refusal *contract.Refusal) Action {
	m.sent = false
	m.neverRan = true
	m.target = holder{}
	m.forgotten = 0
	if m.refused {
		return m.end(Action{FollowUp: m.releaseFollowUp()})
	}
	if refusal != nil && !refusal.Repeat {
		return m.refuseNotRun(refusal)
	}
	return m.readRow()
}
