// Package directory is the configuration of a fleet whose upstreams register
// themselves: routes by host and path, the services they lead to, and client
// accounts with their keys and quotas. A snapshot is immutable and arrives as a
// whole; decisions only read it.
package directory

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Kind says what may be repeated.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once for each attempt of the caller.
	Once
	// Stream requests are answered by a series of events.
	Stream
)

// String gives the word used in logs.
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

// ServiceName names a pool of upstreams.
type ServiceName string

// Share is one service of a route and its weight among them.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name         contract.RouteName
	Host, Prefix string
	Kind         Kind
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one attempt of a caller is sent to.
	MaxAttempts int
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// that earns the full credit.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream.
	MaxGap time.Duration
	// GiveUp is the pause, before or between events, after which callers leave a
	// stream.
	GiveUp time.Duration
	// Shares has at least one service.
	Shares []Share
}

// Repeatable reports whether a request may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service of one request by its identifier, so that every
// process picks the same one.
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
	// KVTokens is the memory of one engine.
	KVTokens contract.Tokens
	// Slots bounds the requests that one engine runs at a time.
	Slots int
	// HandleTTL is how long a KV cache waits for its decode engine.
	HandleTTL time.Duration
	// RoleSwitch is how long a change of role takes.
	RoleSwitch time.Duration
	// MaxReservation bounds how long memory may be reserved ahead.
	MaxReservation time.Duration
}

// Service is a pool of upstreams.
type Service struct {
	Name ServiceName
	// MaxConns bounds the connections that one upstream takes from all callers.
	MaxConns int
	// Engine is set for services of model engines.
	Engine *Engine
}

// Quota is an account's limit across the fleet, in tokens or in requests.
type Quota struct {
	PerSecond, Burst float64
	// ByTokens says that requests count by their tokens.
	ByTokens bool
	// PlainCost is what a request without a declared size counts.
	PlainCost float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.PerSecond > 0
}

// Cost is what a request counts against the quota.
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

// Account is one client account.
type Account struct {
	ID contract.AccountID
	// Priority takes precedence over the route's, if Ranked.
	Priority int
	Ranked   bool
	Quota    Quota
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	// Version orders snapshots; a higher one replaces a lower one.
	Version uint64
	// Hosts holds the routes of each host, the longest prefix first.
	Hosts    map[string][]*Route
	Services map[ServiceName]*Service
	Accounts map[contract.AccountID]*Account
	Keys     map[contract.KeyHash]contract.AccountID
	Limits   Limits
}

// Route finds the route of a request: the longest prefix of its path among the
// routes of its host. It is nil if there is none.
func (s *Snapshot) Route(host, path string) *Route {
	for _, r := range s.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account finds the account that holds a key; nil if none does.
func (s *Snapshot) Account(key string) *Account {
	id, ok := s.Keys[contract.HashKey(key)]
	if !ok {
		return nil
	}
	return s.Accounts[id]
}

// Keyed reports whether callers need keys at all.
func (s *Snapshot) Keyed() bool {
	return len(s.Accounts) > 0
}
