package claim

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
)

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
	if m.reads >= maxReads || m.unplaced == storeRefusal {
		m.phase = phaseSurvey
		return Action{Do: DoSurvey, Call: m.call}
	}
	return m.pause()
}

// Surveyed goes on with what all witnesses say of other attempts while the row
// cannot be read. FateForgotten means that one of them gave no reply.
func (m *Machine) Surveyed(fate Fate) Action {
	if m.phase != phaseSurvey {
		return Action{}
	}
	switch fate {
	case FateNever:
		return m.refuseNotRun(storeRefusal)
	case FateDone:
		return m.over(Action{Do: DoDeliver, Duty: m.release()})
	default:
		refusal := maybeRan(storeRefusal.Code, "the platform's table cannot be reached, and the request may have run before")
		return m.over(Action{Do: DoRefuse, Refusal: refusal, Duty: m.release()})
	}
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
	if m.unplaced != nil {
		return m.refuseNotRun(m.unplaced)
	}
	if !m.granted || m.dead {
		return m.grant()
	}
	m.replays++
	if m.replays >= maxAttempts {
		return m.refuseNotRun(storeRefusal)
	}
	return m.claim()
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
