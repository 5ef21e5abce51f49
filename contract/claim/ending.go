package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TimeUp refuses the request because the caller disconnected or its deadline
// passed. The fate of an attempt that was sent is determined in the background.
func (m *Machine) TimeUp(code contract.Code, reason string) Action {
	if m.phase == phaseOver || m.refused {
		return Action{}
	}
	switch {
	case m.sent:
		m.refused = true
		return Action{Do: DoRefuse, Refusal: refuseMaybeRan(code, reason)}
	case m.heldByOther:
		return m.end(Action{Do: DoRefuse, Refusal: refuseMaybeRan(code, reason), Duty: m.releaseDuty()})
	default:
		return m.refuseNotRun(contract.Refuse(code, reason))
	}
}

func refuseMaybeRan(code contract.Code, reason string) *contract.Refusal {
	return &contract.Refusal{Code: code, Ran: contract.RanUnknown, Repeat: true, After: time.Second, Reason: reason}
}

// refuseUnknown refuses a request that may have run. A repeat does not run it
// again and returns the outcome if it has become known.
func (m *Machine) refuseUnknown(duty Duty) Action {
	refusal := &contract.Refusal{
		Code:   contract.CodeOutcomeUnknown,
		Ran:    contract.RanUnknown,
		Reason: "the request may have run; it will not be sent again",
	}
	return Action{Do: DoRefuse, Refusal: refusal, Duty: duty}
}

// refuseNotRun ends a request that was not sent.
func (m *Machine) refuseNotRun(refusal *contract.Refusal) Action {
	return m.end(Action{Do: DoRefuse, Refusal: refusal, Duty: m.releaseDuty()})
}

// releaseDuty returns the duty to remove a claim that this request may have written.
func (m *Machine) releaseDuty() Duty {
	if m.claimed || m.phase == phaseClaim {
		return Duty{DutyRelease, m.call}
	}
	return Duty{}
}

// end ends the machine. A caller that has its refusal receives no second
// response; the duty remains.
func (m *Machine) end(a Action) Action {
	m.phase = phaseOver
	if m.refused {
		a.Do = DoNothing
		a.Refusal = nil
	}
	return a
}

// Over reports whether the machine has ended and ignores all further results.
func (m *Machine) Over() bool {
	return m.phase == phaseOver
}
