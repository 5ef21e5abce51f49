package claim

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
)

// StartLookup starts the machine of a request that is refused for a reason outside of the
// claim and may repeat one that ran. It sends nothing: it returns the outcome of the earlier
// request, or the refusal if no request with the key ran. If neither can be determined
// before Cancel, the refusal is returned with RanUnknown; a repeat may get the outcome.
func (m *Machine) StartLookup(refusal *contract.Refusal) Action {
	m.lookup = true
	m.pendingRefusal = refusal
	return m.readRow()
}
