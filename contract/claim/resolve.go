package claim

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
)

// pause waits before the next read of the row or query of a witness.
func (m *Machine) pause() Action {
	m.phase = phasePause
	if m.pauses < maxPauseCount {
		m.pauses++
	}
	return Action{Kind: DoPause, Pauses: int(m.pauses)}
}

// OnPauseOver continues after DoPause. It queries the witness of the attempt that holds
// the claim if that is known, else it reads the row.
func (m *Machine) OnPauseOver() Action {
	if m.phase != phasePause {
		return Action{}
	}
	if m.target.call.Request == "" || m.reread {
		return m.readRow()
	}
	return m.askWitness(m.target)
}

func (m *Machine) askWitness(target holder) Action {
	m.phase = phaseAsk
	m.target = target
	return Action{Kind: DoAsk, Call: target.call, Witness: target.witness}
}

// OnReadFailed continues after a failed read of the row. If nothing was sent and no
// other holder is known, the sidecars are queried after maxReads failures, and at
// once if the table has also rejected the claim.
func (m *Machine) OnReadFailed() Action {
	if m.phase != phaseRead {
		return Action{}
	}
	if m.heldByOther || m.sent {
		return m.pause()
	}
	m.reads++
	if m.reads >= maxReads || m.pendingRefusal == storeRefusal {
		m.phase = phaseSurvey
		return Action{Kind: DoSurvey, Call: m.call}
	}
	return m.pause()
}

// OnSurvey takes the combined reply of all witnesses about the claim's other
// attempts. FateForgotten means that at least one of them did not reply.
func (m *Machine) OnSurvey(fate Fate) Action {
	if m.phase != phaseSurvey {
		return Action{}
	}
	switch fate {
	case FateNever:
		return m.refuseNotRun(storeRefusal)
	case FateDone:
		return m.end(Action{Kind: DoDeliver, FollowUp: m.releaseFollowUp()})
	default:
		refusal := refuseMaybeRan(storeRefusal.Code, "the platform's table cannot be reached, and the request may have run before")
		return m.end(Action{Kind: DoRefuse, Refusal: refusal, FollowUp: m.releaseFollowUp()})
	}
}

// OnRow takes the current row.
func (m *Machine) OnRow(row Row) Action {
	if m.phase != phaseRead {
		return Action{}
	}
	m.version = row.Version
	m.heldByOther = false
	if row.State != StateAbsent && row.Body != m.body {
		return m.refuseNotRun(contract.Refuse(contract.CodeIdempotencyReused, "the Idempotency-Key was already used for a different request"))
	}
	switch row.State {
	case StateDone:
		return m.end(Action{Kind: DoDeliver, FollowUp: m.releaseFollowUp()})
	case StateUnknown:
		return m.end(m.refuseUnknown(FollowUp{}))
	case StateClaimed:
		return m.handleClaimed(holder{row.Call, row.Witness})
	default:
		return m.claimOrGrant()
	}
}

// handleClaimed handles a row in StateClaimed.
func (m *Machine) handleClaimed(h holder) Action {
	switch {
	case h.call.Request != m.call.Request:
		return m.handleOtherHolder(h)
	case h.call != m.call || m.neverRan:
		// The row holds an attempt of this request that never ran.
		return m.claimOrGrant()
	case m.sent:
		// An attempt is never sent twice; its witness knows its fate.
		return m.askWitness(h)
	default:
		m.claimed = true
		return m.sendAttempt()
	}
}

// handleOtherHolder handles a row held by another request with the same key: it
// queries the witness for that attempt's fate.
func (m *Machine) handleOtherHolder(h holder) Action {
	if m.targetNever && h == m.target {
		return m.refuseNotRun(m.pendingRefusal)
	}
	m.targetNever = false
	m.heldByOther = true
	if m.forgotten == 0 || h != m.target {
		m.forgotten = 0
		return m.askWitness(h)
	}
	return m.retryForgotten()
}

// claimOrGrant writes the claim for the current attempt if that can still be
// sent, else it requests a grant for a new attempt.
func (m *Machine) claimOrGrant() Action {
	if m.pendingRefusal != nil {
		return m.refuseNotRun(m.pendingRefusal)
	}
	if !m.granted || m.neverRan {
		return m.requestGrant()
	}
	m.rewrites++
	if m.rewrites >= maxAttempts {
		return m.refuseNotRun(storeRefusal)
	}
	return m.writeClaim()
}

// OnFate takes the fate of the attempt that DoAsk queried. An attempt of another
// request that was never sent loses its claim to this one.
func (m *Machine) OnFate(fate Fate) Action {
	if m.phase != phaseAsk {
		return Action{}
	}
	own := m.target.call == m.call && m.sent
	switch fate {
	case FateDone:
		return m.end(Action{Kind: DoDeliver, FollowUp: FollowUp{FollowUpDone, m.target.call}})
	case FateUnclear:
		return m.end(m.refuseUnknown(FollowUp{FollowUpUnknown, m.target.call}))
	case FateNever:
		if own {
			return m.retryNotRun(nil)
		}
		return m.takeOver()
	case FateForgotten:
		if own {
			return m.end(m.refuseUnknown(FollowUp{FollowUpUnknown, m.target.call}))
		}
		return m.retryForgotten()
	default:
		return m.pause()
	}
}

// takeOver claims the row of a request that was never sent. A request that is to be refused
// reads the row again instead: while the witness was asked, the other request may have
// claimed it with a later attempt, which runs.
func (m *Machine) takeOver() Action {
	m.heldByOther = false
	if m.pendingRefusal != nil {
		m.targetNever = true
		return m.readRow()
	}
	m.target = holder{}
	return m.claimOrGrant()
}

// retryForgotten waits for the entry that sent the attempt to record its outcome.
// After maxForgotten such replies the outcome is unknown.
func (m *Machine) retryForgotten() Action {
	m.forgotten++
	if m.forgotten >= maxForgotten {
		return m.end(m.refuseUnknown(FollowUp{FollowUpUnknown, m.target.call}))
	}
	m.reread = true
	return m.pause()
}

// OnFateUnavailable continues after the witness did not reply to DoAsk.
func (m *Machine) OnFateUnavailable() Action {
	if m.phase != phaseAsk {
		return Action{}
	}
	if m.refused && m.pauses >= maxPausesAfterRefusal {
		return m.end(Action{})
	}
	if m.target.call != m.call {
		// The entry that sent the attempt may have recorded its outcome.
		m.reread = true
	}
	return m.pause()
}
