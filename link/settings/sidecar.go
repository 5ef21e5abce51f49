package settings

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Where
	// Peer and Operator are the listeners; required.
	Peer     Listener `toml:"peer"`
	Operator Listener `toml:"operator"`
	Platform Platform `toml:"platform"`
	// Workers is the size of the worker pool; default 4.
	Workers int `toml:"workers"`
	// Upstream is the upstream that the sidecar serves.
	Upstream Upstream `toml:"upstream"`
	Leases   Leases   `toml:"leases"`
	// Operators may use the operators' listener; default none.
	Operators []Operator `toml:"operators"`
	Drain     Drain      `toml:"drain"`
}

// Values of Upstream.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Upstream describes the engine or service next to a sidecar.
type Upstream struct {
	// ID is the upstream's name in the configuration; required.
	ID string `toml:"id"`
	// Kind is "engine" or "service"; required.
	Kind string `toml:"kind"`
	// URL is the upstream's base URL; required.
	URL string `toml:"url"`
	// Role is "prefill" or "decode"; required for engines.
	Role string `toml:"role"`
	// Models are those that an engine serves; required for engines.
	Models []string `toml:"models"`
	// Slots is how many requests run at a time; default 20.
	Slots int `toml:"slots"`
	// Blocks is an engine's KV memory, in blocks of 1024 tokens; default 400.
	Blocks int `toml:"blocks"`
	// LinkBlocksPerSecond is the rate of the KV import link; default 400.
	LinkBlocksPerSecond float64 `toml:"link_blocks_per_second"`
	// PrefillPerSecond is an engine's prompt tokens a second; default 20000.
	PrefillPerSecond int64 `toml:"prefill_per_second"`
	// MaxQueuedTokens bounds the prompts accepted and not yet prefilled;
	// default 200000.
	MaxQueuedTokens int64 `toml:"max_queued_tokens"`
}

// Leases bounds the grants and reservations of a sidecar.
type Leases struct {
	// Grant is how long a grant lives without a renewal; default 1s.
	Grant Duration `toml:"grant"`
	// MaxWindowWait is the longest that a KV cache may wait for its window on
	// the import link; default 500ms.
	MaxWindowWait Duration `toml:"max_window_wait"`
}

// DefaultSidecar returns the defaults of a sidecar. Required settings are empty.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Workers: defaultWorkers,
		Upstream: Upstream{
			Slots:               20,
			Blocks:              400,
			LinkBlocksPerSecond: 400,
			PrefillPerSecond:    20_000,
			MaxQueuedTokens:     200_000,
		},
		Leases: Leases{Grant: durationOf(time.Second), MaxWindowWait: durationOf(500 * time.Millisecond)},
		Drain:  defaultDrain(),
	}
}

// UpstreamRole converts Kind and Role to the type of package upstream. It is the
// zero value for an invalid role, which the check refuses.
func (u *Upstream) UpstreamRole() upstream.Role {
	if u.Kind == KindService {
		return upstream.RoleService
	}
	role, _ := upstream.ParseRole(u.Role)
	return role
}

func (s *Sidecar) check(c *checker) {
	s.Where.check(c)
	s.Peer.checkPeer(c, "peer")
	s.Operator.check(c, "operator")
	s.Platform.check(c)
	between(c, "workers", s.Workers, 1, maxWorkers)
	s.Upstream.check(c)
	c.duration("leases.grant", s.Leases.Grant, 50*time.Millisecond, time.Minute)
	c.duration("leases.max_window_wait", s.Leases.MaxWindowWait, time.Millisecond, time.Minute)
	checkOperators(c, s.Operators)
	s.Drain.check(c)
}

func (u *Upstream) check(c *checker) {
	c.name("upstream.id", u.ID)
	c.oneOf("upstream.kind", u.Kind, KindEngine, KindService)
	c.baseURL("upstream.url", u.URL)
	between(c, "upstream.slots", u.Slots, 1, 10_000)
	if u.Kind == KindEngine {
		u.checkEngine(c)
		return
	}
	if u.Role != "" || len(u.Models) > 0 {
		c.add("upstream.role", "role and models are for engines only")
	}
}

func (u *Upstream) checkEngine(c *checker) {
	c.oneOf("upstream.role", u.Role, upstream.RolePrefill.String(), upstream.RoleDecode.String())
	if len(u.Models) == 0 {
		c.add("upstream.models", "must name at least one model")
	}
	unique(c, "upstream.models", u.Models, func(model string) string { return model })
	between(c, "upstream.blocks", u.Blocks, 1, 1_000_000)
	between(c, "upstream.link_blocks_per_second", u.LinkBlocksPerSecond, 0.1, 1e9)
	between(c, "upstream.prefill_per_second", u.PrefillPerSecond, 1, 1_000_000_000)
	between(c, "upstream.max_queued_tokens", u.MaxQueuedTokens, 1, 1_000_000_000)
}
