package entry

import (
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// findRoute returns the route of an incoming request, by model or by path.
func findRoute(s *config.Snapshot, in contract.Incoming) (contract.Route, *contract.Refusal) {
	if in.Generate != nil {
		route, ok := s.ModelRoute(in.Generate.Model)
		if !ok {
			return route, contract.Refuse(contract.CodeModelUnknown, "no route is configured for this model")
		}
		return route, nil
	}
	route, ok := s.ServiceRoute(in.Call.Path)
	if !ok {
		return route, contract.Refuse(contract.CodeRouteUnknown, "no route is configured for this path")
	}
	return route, nil
}

// stripPrefix returns a copy of the call without the route's prefix in its path;
// nil if call is nil.
func stripPrefix(route contract.Route, call *contract.ServiceCall) *contract.ServiceCall {
	if call == nil {
		return nil
	}
	stripped := *call
	stripped.Path = "/" + strings.TrimPrefix(strings.TrimPrefix(call.Path, route.PathPrefix), "/")
	return &stripped
}
