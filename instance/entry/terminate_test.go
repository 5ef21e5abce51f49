package entry

import (
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TestRefusalOfTerminatedRequest checks whether the refusal of a terminated
// request states that it ran, by the request's state and the outcome of earlier
// attempts.
func TestRefusalOfTerminatedRequest(t *testing.T) {
	cases := []struct {
		state   state
		reached contract.Ran
		want    contract.Ran
	}{
		{stateCharging, contract.RanNo, contract.RanNo},
		{stateQueued, contract.RanNo, contract.RanNo},
		{stateQueued, contract.RanYes, contract.RanYes},
		{stateQueued, contract.RanUnknown, contract.RanUnknown},
		{stateReserving, contract.RanNo, contract.RanUnknown},
		{statePrefilling, contract.RanNo, contract.RanUnknown},
		{stateDecoding, contract.RanYes, contract.RanUnknown},
		{stateCalling, contract.RanNo, contract.RanUnknown},
	}
	for _, c := range cases {
		r := &request{state: c.state, ran: c.reached}
		got := r.withKnownRan(&contract.Refusal{Code: contract.CodeKeyWithdrawn, Ran: r.ranWhenTerminated()})
		if got.Ran != c.want {
			t.Errorf("%v, reached %v: got %v, want %v", c.state, c.reached, got.Ran, c.want)
		}
	}
}
