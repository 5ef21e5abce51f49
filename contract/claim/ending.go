package claim

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TimeUp ends the caller's wait: it left, or its time is over. What was sent is
// followed up in the background.
func (m *Machine) TimeUp(code contract.Code, reason string) Action {
	if m.phase == phaseOver || m.left {
		return Action{}
	}
	switch {
	case m.sent:
		m.left = true
		return Action{Do: DoRefuse, Refusal: maybeRan(code, reason)}
	case m.others:
		return m.over(Action{Do: DoRefuse, Refusal: maybeRan(code, reason), Duty: m.release()})
	default:
		return m.refuseNotRun(contract.Refuse(code, reason))
	}
}

func maybeRan(code contract.Code, reason string) *contract.Refusal {
	return &contract.Refusal{Code: code, Ran: contract.RanUnknown, Repeat: true, After: time.Second, Reason: reason}
}

// unknown refuses a request that may have run. A repeat is safe, and gets the
// outcome if it was learned meanwhile.
func (m *Machine) unknown(duty Duty) Action {
	refusal := &contract.Refusal{
		Code:   contract.CodeOutcomeUnknown,
		Ran:    contract.RanUnknown,
		Reason: "the request may have run; it will not be sent again",
	}
	return Action{Do: DoRefuse, Refusal: refusal, Duty: duty}
}

// refuseNotRun ends a request of which nothing was sent.
func (m *Machine) refuseNotRun(refusal *contract.Refusal) Action {
	return m.over(Action{Do: DoRefuse, Refusal: refusal, Duty: m.release()})
}

// release is the duty of a request that was not sent.
func (m *Machine) release() Duty {
	if m.claimed || m.phase == phaseClaim {
		return Duty{DutyRelease, m.call}
	}
	return Duty{}
}

// over ends the machine. A caller that has its refusal gets nothing more.
func (m *Machine) over(a Action) Action {
	m.phase = phaseOver
	if m.left {
		a.Do = DoNothing
		a.Refusal = nil
	}
	return a
}

// Over reports whether nothing more is to come.
func (m *Machine) Over() bool {
	return m.phase == phaseOver
}
