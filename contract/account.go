package contract

import "time"

// Rate is a client account's limit across the whole fleet. Over any window T
// the account gets at most PerSecond × T + Burst tokens.
type Rate struct {
	// PerSecond is the sustained rate in tokens a second.
	PerSecond Tokens
	// Burst is the most that may be taken at once, in tokens.
	Burst Tokens
}

// ClientAccount is one tenant.
type ClientAccount struct {
	ID   AccountID
	Rate Rate
	// Weight is the account's share where upstreams are full; 1 is usual.
	Weight int
}

// Key is one credential of a client account.
type Key struct {
	Hash    KeyHash
	Account AccountID
	// Label is the operator's name for the key.
	Label string
	// Withdrawn keys stay listed so that a caller gets the right error.
	Withdrawn bool
}

// RouteKind tells model routes from plain services.
type RouteKind uint8

const (
	// RouteModel leads to prefill and decode engines.
	RouteModel RouteKind = iota + 1
	// RouteService leads to a plain service.
	RouteService
)

// String gives the word used by operators.
func (k RouteKind) String() string {
	switch k {
	case RouteModel:
		return "model"
	case RouteService:
		return "service"
	default:
		return "invalid"
	}
}

// LatencyTargets are the limits a route's answers should keep; 0 means none.
type LatencyTargets struct {
	// FirstToken is from the arrival of the request to the first token.
	FirstToken time.Duration
	// BetweenTokens is the longest gap between two tokens.
	BetweenTokens time.Duration
}

// Route leads requests to a pool of upstreams.
type Route struct {
	Name RouteName
	Kind RouteKind
	// Model is set for model routes: the model that callers name.
	Model ModelName
	// Service is set for service routes: the pool of upstreams.
	Service string
	// PathPrefix is set for service routes: the callers' path, such as "/desk/".
	PathPrefix string
	// Open routes need no key and are charged to nobody.
	Open bool
	// Repeatable requests may be sent to an upstream more than once.
	Repeatable bool
	// Patient requests wait for capacity up to their timeout and are not
	// refused for a first token that comes late.
	Patient bool
	Targets LatencyTargets
	// Timeout is the longest a request may take in all.
	Timeout time.Duration
	// CallCost is what one call of a service route costs, in tokens.
	CallCost Tokens
}
