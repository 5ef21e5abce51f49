package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// phase is what a Machine waits for.
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

// Bounds of one request.
const (
	// maxAttempts bounds the grants of one request.
	maxAttempts = 4
	// maxReads bounds the tries to read the row while nothing was sent and
	// nobody else is known to hold it.
	maxReads = 3
	// maxForgotten is how often the row is read again once its witness has
	// forgotten, because the entry that sent the attempt may still record it.
	maxForgotten = 6
	// maxUnheard bounds the questions about an attempt of one's own after the
	// caller has left.
	maxUnheard = 10
	// maxLooks is where looks are counted no further.
	maxLooks = 100
)

// Bounds of the wait between two looks.
const (
	firstPause = 20 * time.Millisecond
	longPause  = 640 * time.Millisecond
)

// Pause gives the wait before another look; it doubles up to a bound.
func Pause(looks int) time.Duration {
	return min(firstPause<<min(looks, 8), longPause)
}

// holder is an attempt that holds the claim, as the row names it.
type holder struct {
	call    contract.CallID
	witness string
}

// Machine decides for one request at one entry. It is a value that can be
// compared, so that all its states can be walked through.
type Machine struct {
	phase phase
	body  BodyHash
	// call is the request's current attempt; witness gave it its grant.
	call    contract.CallID
	witness string
	granted bool
	// unplaced is why the request cannot be claimed or placed at all.
	unplaced *contract.Refusal
	// dead says that the current attempt did not run and never will.
	dead bool
	// version is the row's, as the next claim expects it.
	version uint64
	// about is the attempt that is asked about.
	about holder
	// claimed says that a claim of this request may stand in the row.
	claimed bool
	// sent says that the current attempt may have been sent.
	sent bool
	// others says that another request with the same key held the claim.
	others bool
	// reread says that the row is looked at next, not the witness.
	reread bool
	// left says that the caller has got its refusal.
	left bool
	// replays counts claims that were written once more.
	attempts, reads, looks, forgotten, replays uint8
}

// NewMachine returns the machine of a request. The attempt in call is its first.
func NewMachine(call contract.CallID, body BodyHash) Machine {
	return Machine{call: call, body: body}
}

// Start begins.
func (m *Machine) Start() Action {
	return m.grant()
}

// grant asks for a grant, for a new attempt if the current one had its own.
func (m *Machine) grant() Action {
	if m.left {
		return m.over(Action{Duty: m.release()})
	}
	m.attempts++
	if m.attempts > maxAttempts {
		return m.refuseNotRun(contract.RefuseRepeat(contract.CodeNoUpstream, time.Second, "no upstream took the call"))
	}
	if m.attempts > 1 {
		m.call.Attempt++
	}
	m.phase = phaseGrant
	m.granted = false
	m.dead = false
	return Action{Do: DoGrant, Call: m.call}
}

// Granted goes on with a grant of a sidecar.
func (m *Machine) Granted(witness string) Action {
	if m.phase != phaseGrant {
		return Action{}
	}
	m.witness = witness
	m.granted = true
	return m.claim()
}

// NotGranted goes on without a grant: no sidecar takes the request, but a
// repeat may find its outcome in the row.
func (m *Machine) NotGranted(refusal *contract.Refusal) Action {
	if m.phase != phaseGrant {
		return Action{}
	}
	m.unplaced = refusal
	return m.read()
}

// claim writes the current attempt into the row.
func (m *Machine) claim() Action {
	m.phase = phaseClaim
	return Action{Do: DoClaim, Call: m.call, Witness: m.witness, Version: m.version}
}

// Wrote goes on after a claim was written. Without an answer the row is read:
// our attempt there means that the claim is ours.
func (m *Machine) Wrote(result WriteResult) Action {
	if m.phase != phaseClaim {
		return Action{}
	}
	switch result {
	case WriteDone:
		m.claimed = true
		return m.send()
	case WriteRefused:
		// A repeat may still find its outcome in the row.
		m.unplaced = storeRefusal
		return m.read()
	case WriteLost:
		m.claimed = true
		return m.read()
	default:
		return m.read()
	}
}

// storeRefusal is shared; nobody writes to refusals.
var storeRefusal = contract.RefuseRepeat(contract.CodeStoreUnavailable, time.Second, "the platform's table cannot be reached, and nothing was sent")

func (m *Machine) send() Action {
	m.phase = phaseSend
	m.sent = true
	m.forgotten = 0
	return Action{Do: DoSend, Call: m.call, Witness: m.witness}
}

func (m *Machine) read() Action {
	m.phase = phaseRead
	m.reread = false
	return Action{Do: DoRead}
}

// Called goes on after the current attempt was sent to its witness.
func (m *Machine) Called(result CallResult, refusal *contract.Refusal) Action {
	if m.phase != phaseSend {
		return Action{}
	}
	switch result {
	case CallAnswered:
		return m.over(Action{Do: DoDeliver, Duty: Duty{DutyDone, m.call}})
	case CallUnclear:
		return m.over(m.unknown(Duty{DutyUnknown, m.call}))
	case CallNotRun:
		return m.notSent(refusal)
	default:
		return m.ask(holder{m.call, m.witness})
	}
}

// notSent tries another upstream, after an attempt of ours that did not run.
func (m *Machine) notSent(refusal *contract.Refusal) Action {
	m.sent = false
	m.dead = true
	m.about = holder{}
	m.forgotten = 0
	if m.left {
		return m.over(Action{Duty: m.release()})
	}
	if refusal != nil && !refusal.Repeat {
		return m.refuseNotRun(refusal)
	}
	return m.read()
}
