package fleet

import (
	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
)

// OperatorKey is the key of the fleet's one operator.
const OperatorKey = "operator-of-the-development-fleet"

// OpenOperators opens the operators' listener of an entry and gives its address.
func (f *Fleet) OpenOperators(n *EntryNode) (addr string, err error) {
	l, err := f.network.listen(n.Place.Zone, "")
	if err != nil {
		return "", err
	}
	log := f.options.Log
	if log == nil {
		log = hclog.NewNullLogger()
	}
	store := configstore.New(n.platform.Table(), n.platform.Objects())
	f.serve(l, api.NewHandler(api.Options{
		Service:   operator.NewService(store, n.entry, n.entry, clock.System{}),
		Operators: []api.Operator{{Name: "developer", Key: contract.HashKey(OperatorKey), Role: api.RoleWrite}},
		Ready: func() (bool, string) {
			state := n.entry.State()
			return state == instance.Serving, state.String()
		},
		Log: log,
	}))
	return l.Addr().String(), nil
}
