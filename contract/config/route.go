package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// MaxTimeout bounds a route's timeout.
const MaxTimeout = 24 * time.Hour

// CreateRoute adds a route.
type CreateRoute struct {
	Route contract.Route
}

// SetRoute replaces all values of an existing route.
type SetRoute struct {
	Route contract.Route
}

// DeleteRoute removes an existing route.
type DeleteRoute struct {
	Name contract.RouteName
}

// String implements Command.
func (c CreateRoute) String() string { return "create " + formatRoute(c.Route) }

// String implements Command.
func (c SetRoute) String() string { return "set " + formatRoute(c.Route) }

// String implements Command.
func (c DeleteRoute) String() string { return fmt.Sprintf("delete route %s", c.Name) }

func formatRoute(r contract.Route) string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s", r.Name)
	if r.Kind == contract.RouteModel {
		fmt.Fprintf(&b, " model %s", r.Model)
	} else {
		fmt.Fprintf(&b, " service %s path %s cost %d", r.Service, r.PathPrefix, r.CallCost)
	}
	fmt.Fprintf(&b, " open %t repeatable %t patient %t timeout %s", r.Open, r.Repeatable, r.Patient, r.Timeout)
	fmt.Fprintf(&b, " first_token %s between_tokens %s", r.Targets.FirstToken, r.Targets.BetweenTokens)
	return b.String()
}

func (c CreateRoute) apply(s *Snapshot) error {
	if _, ok := s.Routes[c.Route.Name]; ok {
		return &ExistsError{KindRoute, string(c.Route.Name)}
	}
	return putRoute(s, c.Route)
}

func (c SetRoute) apply(s *Snapshot) error {
	if _, ok := s.Routes[c.Route.Name]; !ok {
		return &NotFoundError{KindRoute, string(c.Route.Name)}
	}
	return putRoute(s, c.Route)
}

func (c DeleteRoute) apply(s *Snapshot) error {
	if _, ok := s.Routes[c.Name]; !ok {
		return &NotFoundError{KindRoute, string(c.Name)}
	}
	delete(s.Routes, c.Name)
	return nil
}

// putRoute validates r and stores it in s.
func putRoute(s *Snapshot, r contract.Route) error {
	if err := checkRoute(r); err != nil {
		return err
	}
	if err := checkRouteUnique(s, r); err != nil {
		return err
	}
	s.Routes[r.Name] = r
	return nil
}

func checkRoute(r contract.Route) error {
	name := string(r.Name)
	if err := checkName(KindRoute, name, "name", name); err != nil {
		return err
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		return &InvalidError{KindRoute, name, "timeout", fmt.Sprintf("must be above 0 and at most %s", MaxTimeout)}
	}
	if r.Targets.FirstToken < 0 || r.Targets.BetweenTokens < 0 {
		return &InvalidError{KindRoute, name, "latency targets", "must not be negative"}
	}
	switch r.Kind {
	case contract.RouteModel:
		return checkModelRoute(r)
	case contract.RouteService:
		return checkServiceRoute(r)
	default:
		return &InvalidError{KindRoute, name, "kind", "must be model or service"}
	}
}

func checkModelRoute(r contract.Route) error {
	name := string(r.Name)
	if r.Service != "" || r.PathPrefix != "" || r.CallCost != 0 {
		return &InvalidError{KindRoute, name, "service, path and cost", "must be unset on a model route"}
	}
	return checkName(KindRoute, name, "model", string(r.Model))
}

func checkServiceRoute(r contract.Route) error {
	name := string(r.Name)
	if r.Model != "" {
		return &InvalidError{KindRoute, name, "model", "must be unset on a service route"}
	}
	if err := checkName(KindRoute, name, "service", r.Service); err != nil {
		return err
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || len(r.PathPrefix) < 2 {
		return &InvalidError{KindRoute, name, "path", "must begin and end with / and be more than /"}
	}
	if isReservedPath(r.PathPrefix) {
		return &InvalidError{KindRoute, name, "path", "must not be under /v1/, which is reserved for model routes"}
	}
	if r.CallCost < 0 || r.CallCost > MaxTokens {
		return &InvalidError{KindRoute, name, "cost", fmt.Sprintf("must be 0 to %d tokens", MaxTokens)}
	}
	return nil
}

func isReservedPath(prefix string) bool {
	return strings.HasPrefix(prefix, "/v1/")
}

// checkRouteUnique rejects a second route for the same model or path prefix, so
// that all instances select the same route for a request.
func checkRouteUnique(s *Snapshot, r contract.Route) error {
	for _, other := range s.Routes {
		if other.Name == r.Name || other.Kind != r.Kind {
			continue
		}
		if r.Kind == contract.RouteModel && other.Model == r.Model {
			return &InvalidError{KindRoute, string(r.Name), "model", fmt.Sprintf("%q is already used by route %q", r.Model, other.Name)}
		}
		if r.Kind == contract.RouteService && other.PathPrefix == r.PathPrefix {
			return &InvalidError{KindRoute, string(r.Name), "path", fmt.Sprintf("%q is already used by route %q", r.PathPrefix, other.Name)}
		}
	}
	return nil
}
