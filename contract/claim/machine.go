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

// Machine decides for one request at one entry. It is a value without pointers,
// so that all its states can be walked through.
type Machine struct {
	phase phase
	body  BodyHash
	// call is the request's current attempt; witness gave it its grant.
	call    contract.CallID
	witness string
	granted bool
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

// NotGranted ends the request: no sidecar takes it.
func (m *Machine) NotGranted(refusal *contract.Refusal) Action {
	if m.phase != phaseGrant {
		return Action{}
	}
	return m.refuseNotRun(refusal)
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
		return m.refuseNotRun(storeRefusal())
	case WriteLost:
		m.claimed = true
		return m.read()
	default:
		return m.read()
	}
}

func storeRefusal() *contract.Refusal {
	return contract.RefuseRepeat(contract.CodeStoreUnavailable, time.Second, "the platform's table cannot be reached, and nothing was sent")
}

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

// pause waits before the next look.
func (m *Machine) pause() Action {
	m.phase = phasePause
	if m.looks < maxLooks {
		m.looks++
	}
	return Action{Do: DoPause, Looks: int(m.looks)}
}

// Paused looks again: at the witness if it is known whom to ask, else at the row.
func (m *Machine) Paused() Action {
	if m.phase != phasePause {
		return Action{}
	}
	if m.about.call.Request == "" || m.reread {
		return m.read()
	}
	return m.ask(m.about)
}

func (m *Machine) ask(about holder) Action {
	m.phase = phaseAsk
	m.about = about
	return Action{Do: DoAsk, Call: about.call, Witness: about.witness}
}

// NotRead goes on after the row could not be read.
func (m *Machine) NotRead() Action {
	if m.phase != phaseRead {
		return Action{}
	}
	if m.others || m.sent {
		return m.pause()
	}
	m.reads++
	if m.reads >= maxReads {
		return m.refuseNotRun(storeRefusal())
	}
	return m.pause()
}

// Read goes on with the row as it stands.
func (m *Machine) Read(row Row) Action {
	if m.phase != phaseRead {
		return Action{}
	}
	m.version = row.Version
	m.others = false
	if row.State != StateAbsent && row.Body != m.body {
		return m.refuseNotRun(contract.Refuse(contract.CodeIdempotencyReused, "the Idempotency-Key came with another request before"))
	}
	switch row.State {
	case StateDone:
		return m.over(Action{Do: DoDeliver, Duty: m.release()})
	case StateUnknown:
		return m.over(m.unknown(Duty{}))
	case StateClaimed:
		return m.readClaimed(holder{row.Call, row.Witness})
	default:
		return m.claimOrGrant()
	}
}

// readClaimed goes on with a row that some attempt holds.
func (m *Machine) readClaimed(h holder) Action {
	switch {
	case h.call.Request != m.call.Request:
		return m.readOther(h)
	case h.call != m.call || m.dead:
		// An earlier attempt of ours, which never ran.
		return m.claimOrGrant()
	case m.sent:
		// Never sent twice: only its witness can tell more.
		return m.ask(h)
	default:
		m.claimed = true
		return m.send()
	}
}

// readOther asks what became of another request with the same key.
func (m *Machine) readOther(h holder) Action {
	m.others = true
	if m.forgotten == 0 || h != m.about {
		m.forgotten = 0
		return m.ask(h)
	}
	return m.stillForgotten()
}

// claimOrGrant claims the row for the current attempt if it may still be sent.
func (m *Machine) claimOrGrant() Action {
	if !m.granted || m.dead {
		return m.grant()
	}
	m.replays++
	if m.replays >= maxAttempts {
		return m.refuseNotRun(storeRefusal())
	}
	return m.claim()
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

// Asked goes on with what a witness knows.
func (m *Machine) Asked(fate Fate) Action {
	if m.phase != phaseAsk {
		return Action{}
	}
	own := m.about.call == m.call && m.sent
	switch fate {
	case FateDone:
		return m.over(Action{Do: DoDeliver, Duty: Duty{DutyDone, m.about.call}})
	case FateUnclear:
		return m.over(m.unknown(Duty{DutyUnknown, m.about.call}))
	case FateNever:
		if own {
			return m.notSent(nil)
		}
		return m.takeOver()
	case FateForgotten:
		if own {
			return m.over(m.unknown(Duty{DutyUnknown, m.about.call}))
		}
		return m.stillForgotten()
	default:
		return m.pause()
	}
}

// takeOver claims the row of a request that was never sent.
func (m *Machine) takeOver() Action {
	m.about = holder{}
	m.others = false
	return m.claimOrGrant()
}

// stillForgotten waits a while for the entry that sent the attempt to record
// its outcome, then says that nobody knows.
func (m *Machine) stillForgotten() Action {
	m.forgotten++
	if m.forgotten >= maxForgotten {
		return m.over(m.unknown(Duty{DutyUnknown, m.about.call}))
	}
	m.reread = true
	return m.pause()
}

// NotAsked goes on after a witness gave no reply.
func (m *Machine) NotAsked() Action {
	if m.phase != phaseAsk {
		return Action{}
	}
	if m.left && m.looks >= maxUnheard {
		return m.over(Action{})
	}
	if m.about.call != m.call {
		// The row may have been settled without the witness.
		m.reread = true
	}
	return m.pause()
}
