package settings

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/link/caller"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Entry holds the settings of an entry.
type Entry struct {
	Where
	// Zones are all availability zones of the fleet, its own among them;
	// required.
	Zones []string `toml:"zones"`
	// Caller, Peer and Operator are the listeners; required.
	Caller   Listener `toml:"caller"`
	Peer     Listener `toml:"peer"`
	Operator Listener `toml:"operator"`
	Platform Platform `toml:"platform"`
	// PseudonymSecret makes the names by which upstreams know client accounts;
	// the same at all entries, 16 characters or more, required.
	PseudonymSecret string `toml:"pseudonym_secret"`
	// Peers are the peer listeners of some other entries, to start from;
	// default none.
	Peers []string `toml:"peers"`
	// Workers is the size of the worker pool; default 4.
	Workers int `toml:"workers"`
	// Limits bound the resources that callers can use.
	Limits CallerLimits `toml:"limits"`
	Rates  Rates        `toml:"rates"`
	// Placement is the policy for choosing upstreams.
	Placement Placement `toml:"placement"`
	// Trust is the rule for serving keyed routes.
	Trust Trust `toml:"trust"`
	// Claims configures stored outcomes of requests that may not be repeated.
	Claims Claims `toml:"claims"`
	// Operators may use the operators' listener; default none.
	Operators []Operator `toml:"operators"`
	Drain     Drain      `toml:"drain"`
}

// CallerLimits are the limits of the callers' front end.
type CallerLimits struct {
	// HeaderBytes bounds the headers of a request; default 16KiB.
	HeaderBytes Size `toml:"header_bytes"`
	// HeaderTimeout bounds the time to send the headers; default 5s.
	HeaderTimeout Duration `toml:"header_timeout"`
	// BodyBytes bounds the body of a request; default 4MiB.
	BodyBytes Size `toml:"body_bytes"`
	// BodyTimeout bounds the time to send the body; default 10s.
	BodyTimeout Duration `toml:"body_timeout"`
	// HeldBytes bounds the bodies of all running requests; default 128MiB.
	HeldBytes Size `toml:"held_bytes"`
	// Connections bounds the callers' open connections; default 4096.
	Connections int `toml:"connections"`
	// IdleTimeout closes connections with no request; default 1m.
	IdleTimeout Duration `toml:"idle_timeout"`
	// WriteTimeout bounds each write to a caller; default 10s.
	WriteTimeout Duration `toml:"write_timeout"`
	// MaxTokens is the most that a caller may ask to generate; default 8192.
	MaxTokens int64 `toml:"max_tokens"`
	// DefaultMaxTokens applies when a caller gives no limit; default 256.
	DefaultMaxTokens int64 `toml:"default_max_tokens"`
	// Running bounds the requests that are admitted at a time; default 2048.
	Running int `toml:"running"`
}

// Rates holds the policy that enforces the rate of an account across entries.
type Rates struct {
	// Policy is "escrow" or "fixed-split"; default "escrow".
	Policy string `toml:"policy"`
}

// Placement holds the settings for choosing upstreams.
type Placement struct {
	// Policy is "reserve", "least-loaded" or "random-of-two"; default
	// "reserve".
	Policy string `toml:"policy"`
	// Watch is how many upstreams of each pool are watched; default 16.
	Watch int `toml:"watch"`
	// Queue is the order in which waiting requests start: "weighted" between
	// client accounts by slack and weight, or "fifo"; default "weighted".
	Queue string `toml:"queue"`
}

// Values of Placement.Policy.
const (
	PlacementReserve     = "reserve"
	PlacementLeastLoaded = "least-loaded"
	PlacementRandomOfTwo = "random-of-two"
)

// Trust holds the rule for when an entry may serve keyed routes from its local copy
// of the configuration.
type Trust struct {
	// Rule is "majority", "store-only" or "always"; default "majority": the
	// store was read, or more than half of the availability zones were heard
	// from, within the last seconds. docs/OPERATIONS.md says what each lets
	// through.
	Rule string `toml:"rule"`
}

// Claims configures the stored outcomes of requests on routes that may not be
// repeated.
type Claims struct {
	// Keep is how long an outcome is kept for repeats; default 24h.
	Keep Duration `toml:"keep"`
	// SweepEvery is the time between two sweeps of old outcomes; default 10s.
	SweepEvery Duration `toml:"sweep_every"`
	// SweepBatch is the most outcomes deleted in one sweep; default 50.
	SweepBatch int `toml:"sweep_batch"`
}

// DefaultEntry returns the defaults of an entry. Required settings are empty.
func DefaultEntry() Entry {
	return Entry{
		Workers:   defaultWorkers,
		Limits:    defaultCallerLimits(),
		Rates:     Rates{Policy: rate.DefaultPolicy},
		Placement: Placement{Policy: PlacementReserve, Watch: 16, Queue: fair.QueueWeighted},
		Trust:     Trust{Rule: zone.DefaultTrustRule.String()},
		Claims:    Claims{Keep: durationOf(24 * time.Hour), SweepEvery: durationOf(10 * time.Second), SweepBatch: 50},
		Drain:     defaultDrain(),
	}
}

// minSecretBytes is the minimum length of PseudonymSecret.
const minSecretBytes = 16

// defaultRunning is the default of CallerLimits.Running.
const defaultRunning = 2048

func defaultCallerLimits() CallerLimits {
	l := caller.DefaultLimits()
	return CallerLimits{
		HeaderBytes:      sizeOf(int64(l.HeaderBytes)),
		HeaderTimeout:    durationOf(l.HeaderTimeout),
		BodyBytes:        sizeOf(l.BodyBytes),
		BodyTimeout:      durationOf(l.BodyTimeout),
		HeldBytes:        sizeOf(l.HeldBytes),
		Connections:      l.Connections,
		IdleTimeout:      durationOf(l.IdleTimeout),
		WriteTimeout:     durationOf(l.WriteTimeout),
		MaxTokens:        l.MaxTokens,
		DefaultMaxTokens: l.DefaultMaxTokens,
		Running:          defaultRunning,
	}
}

// ToCallerLimits converts the limits to the type of package caller.
func (l *CallerLimits) ToCallerLimits() caller.Limits {
	return caller.Limits{
		HeaderBytes:      int(l.HeaderBytes.Bytes),
		HeaderTimeout:    l.HeaderTimeout.Duration,
		BodyBytes:        l.BodyBytes.Bytes,
		BodyTimeout:      l.BodyTimeout.Duration,
		HeldBytes:        l.HeldBytes.Bytes,
		Connections:      l.Connections,
		IdleTimeout:      l.IdleTimeout.Duration,
		WriteTimeout:     l.WriteTimeout.Duration,
		MaxTokens:        l.MaxTokens,
		DefaultMaxTokens: l.DefaultMaxTokens,
	}
}

func (s *Entry) check(c *checker) {
	s.Where.check(c)
	s.checkZones(c)
	s.Caller.check(c, "caller")
	s.Peer.checkPeer(c, "peer")
	s.Operator.check(c, "operator")
	s.Platform.check(c)
	if len(s.PseudonymSecret) < minSecretBytes {
		c.add("pseudonym_secret", "must have at least %d characters", minSecretBytes)
	}
	c.addrs("peers", s.Peers)
	between(c, "workers", s.Workers, 1, maxWorkers)
	s.Limits.check(c)
	s.Rates.check(c)
	s.checkPolicies(c)
	checkOperators(c, s.Operators)
	s.Drain.check(c)
}

func (s *Entry) checkZones(c *checker) {
	for _, name := range s.Zones {
		c.name("zones", name)
	}
	unique(c, "zones", s.Zones, func(name string) string { return name })
	if !slices.Contains(s.Zones, s.Zone) {
		c.add("zones", "must list all availability zones, %q among them", s.Zone)
	}
}

func (s *Entry) checkPolicies(c *checker) {
	c.oneOf("placement.policy", s.Placement.Policy, PlacementReserve, PlacementLeastLoaded, PlacementRandomOfTwo)
	c.oneOf("placement.queue", s.Placement.Queue, fair.QueueWeighted, fair.QueueFIFO)
	between(c, "placement.watch", s.Placement.Watch, 1, 1000)
	c.oneOf("trust.rule", s.Trust.Rule, zone.Majority.String(), zone.StoreOnly.String(), zone.Always.String())
	c.duration("claims.keep", s.Claims.Keep, time.Minute, 90*24*time.Hour)
	c.duration("claims.sweep_every", s.Claims.SweepEvery, 100*time.Millisecond, time.Hour)
	between(c, "claims.sweep_batch", s.Claims.SweepBatch, 1, 500)
}

func (r *Rates) check(c *checker) {
	c.oneOf("rates.policy", r.Policy, rate.PolicyEscrow, rate.PolicyFixedSplit)
}

func (l *CallerLimits) check(c *checker) {
	c.size("limits.header_bytes", l.HeaderBytes, 1<<10, 1<<20)
	c.duration("limits.header_timeout", l.HeaderTimeout, 10*time.Millisecond, time.Minute)
	c.size("limits.body_bytes", l.BodyBytes, 1<<10, 1<<30)
	c.duration("limits.body_timeout", l.BodyTimeout, 10*time.Millisecond, 10*time.Minute)
	c.size("limits.held_bytes", l.HeldBytes, l.BodyBytes.Bytes, 64<<30)
	between(c, "limits.connections", l.Connections, 1, 1_000_000)
	c.duration("limits.idle_timeout", l.IdleTimeout, time.Second, time.Hour)
	c.duration("limits.write_timeout", l.WriteTimeout, 10*time.Millisecond, 10*time.Minute)
	between(c, "limits.max_tokens", l.MaxTokens, 1, 1<<20)
	between(c, "limits.default_max_tokens", l.DefaultMaxTokens, 1, l.MaxTokens)
	between(c, "limits.running", l.Running, 1, 1_000_000)
}
