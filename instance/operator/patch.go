package operator

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// DefaultTimeout is the timeout of a new route that is created without one.
const DefaultTimeout = time.Minute

// AccountPatch holds the values of a client account that a command sets. Nil fields
// leave the current value unchanged.
type AccountPatch struct {
	Rate   *contract.Tokens
	Burst  *contract.Tokens
	Weight *int
}

func (p AccountPatch) apply(a *contract.ClientAccount) {
	assign(&a.Rate.PerSecond, p.Rate)
	assign(&a.Rate.Burst, p.Burst)
	assign(&a.Weight, p.Weight)
}

// RoutePatch holds the values of a route that a command sets. Nil fields leave the
// current value unchanged.
type RoutePatch struct {
	Model      *contract.ModelName
	Service    *string
	Path       *string
	Open       *bool
	Repeatable *bool
	// Patient sets contract.Route.Patient: requests wait for capacity up to their
	// timeout instead of the target of the first token.
	Patient       *bool
	Timeout       *time.Duration
	FirstToken    *time.Duration
	BetweenTokens *time.Duration
	Cost          *contract.Tokens
}

func (p RoutePatch) apply(r *contract.Route) {
	assign(&r.Model, p.Model)
	assign(&r.Service, p.Service)
	assign(&r.PathPrefix, p.Path)
	assign(&r.Open, p.Open)
	assign(&r.Repeatable, p.Repeatable)
	assign(&r.Patient, p.Patient)
	assign(&r.Timeout, p.Timeout)
	assign(&r.Targets.FirstToken, p.FirstToken)
	assign(&r.Targets.BetweenTokens, p.BetweenTokens)
	assign(&r.CallCost, p.Cost)
}

// UpstreamPatch holds the values of an upstream that a command sets. Nil fields
// leave the current value unchanged.
type UpstreamPatch struct {
	Role   *upstream.Role
	Region *zone.Region
	Zone   *zone.AvailabilityZone
	// Service is the name of the upstream's pool, set in upstream.Upstream.Pool.
	Service *string
	Models  *[]contract.ModelName
	// Address is the host:port of the upstream's sidecar.
	Address *string
}

func (p UpstreamPatch) apply(u *upstream.Upstream) {
	assign(&u.Role, p.Role)
	assign(&u.Place.Region, p.Region)
	assign(&u.Place.Zone, p.Zone)
	assign(&u.Pool, p.Service)
	assign(&u.Models, p.Models)
	assign(&u.SidecarAddr, p.Address)
}

// assign stores *given in *to unless given is nil.
func assign[V any](to *V, given *V) {
	if given != nil {
		*to = *given
	}
}

// CreateAccount creates a client account. Its weight defaults to 1.
type CreateAccount struct {
	ID     contract.AccountID
	Values AccountPatch
}

// SetAccount changes the given values of an existing client account.
type SetAccount struct {
	ID     contract.AccountID
	Values AccountPatch
}

// CreateRoute creates a model route if Values has a model, else a service route. A
// model route is repeatable by default.
type CreateRoute struct {
	Name   contract.RouteName
	Values RoutePatch
}

// SetRoute changes the given values of an existing route.
type SetRoute struct {
	Name   contract.RouteName
	Values RoutePatch
}

// AddUpstream adds an upstream to the configuration.
type AddUpstream struct {
	ID     upstream.ID
	Values UpstreamPatch
}

// SetUpstream changes the given values of an existing upstream.
type SetUpstream struct {
	ID     upstream.ID
	Values UpstreamPatch
}

func (c CreateAccount) resolve(*config.Snapshot) (config.Command, error) {
	a := contract.ClientAccount{ID: c.ID, Weight: 1}
	c.Values.apply(&a)
	return config.CreateAccount{Account: a}, nil
}

func (c SetAccount) resolve(s *config.Snapshot) (config.Command, error) {
	a, ok := s.Accounts[c.ID]
	if !ok {
		return nil, &config.NotFoundError{Kind: config.KindAccount, Name: string(c.ID)}
	}
	c.Values.apply(&a)
	return config.SetAccount{Account: a}, nil
}

func (c CreateRoute) resolve(*config.Snapshot) (config.Command, error) {
	r := contract.Route{Name: c.Name, Kind: contract.RouteService, Timeout: DefaultTimeout}
	if c.Values.Model != nil {
		r.Kind = contract.RouteModel
		r.Repeatable = true
	}
	c.Values.apply(&r)
	return config.CreateRoute{Route: r}, nil
}

func (c SetRoute) resolve(s *config.Snapshot) (config.Command, error) {
	r, ok := s.Routes[c.Name]
	if !ok {
		return nil, &config.NotFoundError{Kind: config.KindRoute, Name: string(c.Name)}
	}
	c.Values.apply(&r)
	return config.SetRoute{Route: r}, nil
}

func (c AddUpstream) resolve(*config.Snapshot) (config.Command, error) {
	u := upstream.Upstream{ID: c.ID}
	c.Values.apply(&u)
	return config.AddUpstream{Upstream: u}, nil
}

func (c SetUpstream) resolve(s *config.Snapshot) (config.Command, error) {
	u, ok := s.Upstreams[c.ID]
	if !ok {
		return nil, &config.NotFoundError{Kind: config.KindUpstream, Name: string(c.ID)}
	}
	c.Values.apply(&u)
	return config.SetUpstream{Upstream: u}, nil
}
