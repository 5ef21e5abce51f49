package entry

import (
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// findRoute finds the route of what came in.
func findRoute(s *config.Snapshot, in contract.Incoming) (contract.Route, *contract.Refusal) {
	if in.Generate != nil {
		route, ok := s.ModelRoute(in.Generate.Model)
		if !ok {
			return route, contract.Refuse(contract.CodeModelUnknown, "no route leads to this model")
		}
		return route, nil
	}
	route, ok := s.ServiceRoute(in.Call.Path)
	if !ok {
		return route, contract.Refuse(contract.CodeRouteUnknown, "no route leads to this path")
	}
	return route, nil
}

// below cuts the route's prefix from a service call's path.
func below(route contract.Route, call *contract.ServiceCall) *contract.ServiceCall {
	if call == nil {
		return nil
	}
	cut := *call
	cut.Path = "/" + strings.TrimPrefix(strings.TrimPrefix(call.Path, route.PathPrefix), "/")
	return &cut
}
