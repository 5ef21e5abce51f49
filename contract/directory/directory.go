// Package directory holds the configuration of a fleet whose upstreams register
// themselves: routes by host and path, the services behind them, and client
// accounts with their keys and quotas. Gateways read it to route and admit
// requests; the platform package decodes it from the registry.
package directory

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Kind classifies a route's requests by whether they may be repeated and how they
// are answered. The zero value is invalid.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once for each attempt of the caller: 0 or 1 times.
	Once
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
		return "once"
	case Stream:
		return "stream"
	default:
		return "invalid"
	}
}

// ServiceName identifies a service.
type ServiceName string

// Share assigns a part of a route's requests to a service, in proportion to
// Weight. Negative weights count as 0.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name         contract.RouteName
	Host, Prefix string
	Kind         Kind
	// Resumable streams may continue on another upstream.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Priority is the route's priority; 0 is the most urgent. The priorities of
	// package placement count the other way.
	Priority int
	// MaxAttempts bounds the attempts on upstreams for one attempt of a caller.
	MaxAttempts int
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Objective is the latency target for the answer, or for the first event
	// of a stream. It is a duration, unrelated to burn.Objective.
	Objective time.Duration
	// MaxGap is the target for the longest pause between two events of a
	// stream.
	MaxGap time.Duration
	// GiveUp is the pause, before or between events of a stream, after which
	// callers are expected to disconnect.
	GiveUp time.Duration
	// Shares has at least one element.
	Shares []Share
	// Homes are the regions in which requests may run; empty means all.
	Homes []zone.Region
}

// Repeatable reports whether a request that may have run can be sent to an
// upstream again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service selects the service of a request by a hash of its identifier, so that
// every process selects the same one. If all weights are 0 it is the first share's.
func (r *Route) Service(id contract.RequestID) ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Shares {
		point -= max(0, s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVTokens is the KV cache capacity of one engine, in tokens.
	KVTokens contract.Tokens
	// Slots bounds the concurrent requests on one engine.
	Slots int
	// EventTokens is the number of output tokens in one event of a stream, at least 1.
	EventTokens int
	// HandleTTL is how long a prefill engine keeps the KV cache of a prompt for the
	// decode engine to fetch.
	HandleTTL time.Duration
	// RoleSwitch is how long an engine takes to change its role.
	RoleSwitch time.Duration
	// MaxReservation bounds how long KV cache memory may be reserved in advance.
	MaxReservation time.Duration
}

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name ServiceName
	// MaxConns bounds the total connections to one upstream.
	MaxConns int
	// Engine is set for services of model engines, nil for plain services.
	Engine *Engine
	// Warmup is how long an upstream is cold after its start, zero if it never is.
	// Meanwhile it can handle WarmupPerSecond requests a second.
	Warmup          time.Duration
	WarmupPerSecond float64
}

// Quota is an account's token-bucket limit across the fleet, in requests or, with
// ByTokens, in model tokens. The zero value means unlimited. contract.Rate is the
// limit of an account of entries, always in tokens.
type Quota struct {
	PerSecond, Burst float64
	// ByTokens charges requests by their declared size in model tokens.
	ByTokens bool
	// PlainCost is the charge for a request without a declared size, if
	// ByTokens is set.
	PlainCost float64
}

func (q Quota) Limited() bool {
	return q.PerSecond > 0
}

// Cost returns the charge for a request in the quota's unit: 1 per request, or
// prompt plus maximum output tokens.
func (q Quota) Cost(m *contract.Message) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case m.Sized:
		return float64(m.Prompt + m.MaxOutput)
	default:
		return q.PlainCost
	}
}

// Account holds a client account's priority, quota and home regions.
type Account struct {
	ID contract.AccountID
	// Priority replaces the route's priority if Ranked is set, that is, if the
	// account has a priority of its own.
	Priority int
	Ranked   bool
	Quota    Quota
	// Homes are the regions in which the account's requests may run; empty means all.
	Homes []zone.Region
}

// Limits bound callers' requests and connections. Sizes are in bytes.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Snapshot is one version of the configuration. It is immutable and always
// complete.
type Snapshot struct {
	// Version orders snapshots; a higher one replaces a lower one.
	Version uint64
	// Hosts holds the routes by host name in lower case, longest prefix first.
	Hosts    map[string][]*Route
	Services map[ServiceName]*Service
	Accounts map[contract.AccountID]*Account
	Keys     map[contract.KeyHash]contract.AccountID
	Limits   Limits
}

// Route returns the route of the host with the longest prefix of the path, nil if
// there is none.
func (s *Snapshot) Route(host, path string) *Route {
	for _, r := range s.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that a caller's key belongs to, nil if the key is
// unknown.
func (s *Snapshot) Account(key string) *Account {
	id, ok := s.Keys[contract.HashKey(key)]
	if !ok {
		return nil
	}
	return s.Accounts[id]
}

// RunsEngines reports whether a service is known and runs model engines.
func (s *Snapshot) RunsEngines(name ServiceName) bool {
	service, ok := s.Services[name]
	return ok && service.Engine != nil
}

// Keyed reports whether any client account is configured. Without one, no route
// needs a key.
func (s *Snapshot) Keyed() bool {
	return len(s.Accounts) > 0
}
