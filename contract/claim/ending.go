package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Cancel refuses the request because the caller disconnected, its deadline passed or its key
// was withdrawn. The fate of an attempt that was sent is determined in the background. A
// request that was not sent may repeat one that ran: what the row showed earlier may no longer
// hold, so its refusal does not state that it did not run.
func (m *Machine) Cancel(code contract.Code, reason string) Action {
	if m.phase == phaseOver || m.refused {
		return Action{}
	}
	if m.lookup {
		return m.end(Action{Kind: DoRefuse, Refusal: refuseMaybeRan(m.pendingRefusal.Code, m.pendingRefusal.Reason)})
	}
	refusal := refuseMaybeRan(code, reason)
	if m.sent {
		m.refused = true
		return Action{Kind: DoRefuse, Refusal: refusal}
	}
	return m.end(Action{Kind: DoRefuse, Refusal: refusal, FollowUp: m.releaseFollowUp()})
}

func refuseMaybeRan(code contract.Code, reason string) *contract.Refusal {
	return &contract.Refusal{Code: code, Ran: contract.RanUnknown, Repeat: true, After: time.Second, Reason: reason}
}

// refuseUnknown refuses a request that may have run. A repeat does not run it
// again and returns the outcome if it has become known.
func (m *Machine) refuseUnknown(followUp FollowUp) Action {
	refusal := &contract.Refusal{
		Code:   contract.CodeOutcomeUnknown,
		Ran:    contract.RanUnknown,
		Reason: "the request may have run; it will not be sent again",
	}
	return Action{Kind: DoRefuse, Refusal: refusal, FollowUp: followUp}
}

// refuseNotRun ends a request that was not sent.
func (m *Machine) refuseNotRun(refusal *contract.Refusal) Action {
	return m.end(Action{Kind: DoRefuse, Refusal: refusal, FollowUp: m.releaseFollowUp()})
}

// releaseFollowUp returns the follow-up that removes a claim that this request may have
// written.
func (m *Machine) releaseFollowUp() FollowUp {
	if m.claimed || m.phase == phaseClaim {
		return FollowUp{FollowUpRelease, m.call}
	}
	return FollowUp{}
}

// end ends the machine. A caller that has its refusal receives no second
// response; the follow-up remains.
func (m *Machine) end(a Action) Action {
	m.phase = phaseOver
	if m.refused {
		a.Kind = DoNothing
		a.Refusal = nil
	}
	return a
}

// Finished reports whether the machine has ended and ignores all further results.
func (m *Machine) Finished() bool {
	return m.phase == phaseOver
}
