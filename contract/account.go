package contract

import "time"

// Rate is a client account's token-bucket limit across the whole fleet. Over any
// window T the account gets at most PerSecond × T + Burst tokens.
type Rate struct {
	// PerSecond is the sustained rate in tokens per second.
	PerSecond Tokens
	// Burst is the bucket size in tokens.
	Burst Tokens
}

// ClientAccount is one tenant: the unit of rate limiting and fair sharing.
type ClientAccount struct {
	ID   AccountID
	Rate Rate
	// Weight is the account's relative share when upstreams are full; 1 is usual.
	Weight int
}

// Key is one API key of a client account, stored as a hash.
type Key struct {
	Hash    KeyHash
	Account AccountID
	// Label is the operator's name for the key.
	Label string
	// Withdrawn keys stay in the configuration so that their callers get
	// CodeKeyWithdrawn, not CodeKeyInvalid.
	Withdrawn bool
}

// RouteKind distinguishes model routes from service routes. The zero value is
// invalid.
type RouteKind uint8

const (
	// RouteModel routes are served by prefill and decode engines.
	RouteModel RouteKind = iota + 1
	// RouteService routes are served by plain services.
	RouteService
)

// String returns the name that operators use.
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

// LatencyTargets are a route's latency objectives; 0 means none.
type LatencyTargets struct {
	// FirstToken is the time from the request's arrival to the first token.
	FirstToken time.Duration
	// BetweenTokens is the longest gap between two tokens.
	BetweenTokens time.Duration
}

// Route maps requests to a pool of upstreams.
type Route struct {
	Name RouteName
	Kind RouteKind
	// Model is the model name in callers' requests; set for model routes only.
	Model ModelName
	// Service is the pool of upstreams; set for service routes only.
	Service string
	// PathPrefix is matched against the request path, such as "/desk/"; set for
	// service routes only.
	PathPrefix string
	// Open routes need no key and are charged to no account.
	Open bool
	// Repeatable requests may be sent to an upstream more than once.
	Repeatable bool
	// Patient requests wait for capacity up to their timeout; they are not
	// refused because the first token would miss its target.
	Patient bool
	Targets LatencyTargets
	// Timeout bounds the whole request, from arrival to the end of the answer.
	Timeout time.Duration
	// CallCost is charged for one call of a service route, in tokens.
	CallCost Tokens
}
