package entry

import (
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TestRefusalOfTerminatedRequest checks what the refusal of a request that is
// ended from outside says of it, by where it stands at that moment and what
// earlier attempts did.
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
		r := &request{state: c.state, reached: c.reached}
		said := r.withReached(&contract.Refusal{Code: contract.CodeKeyWithdrawn, Ran: r.ranWhenTerminated()})
		if said.Ran != c.want {
			t.Errorf("%v, reached %v: said %v, want %v", c.state, c.reached, said.Ran, c.want)
		}
	}
}
