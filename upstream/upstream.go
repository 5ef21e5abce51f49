// Package upstream defines the upstreams that requests are routed to: model
// engines with their roles, slots and KV blocks, and plain services. It holds
// data types only; placement, admission and health decisions are made in its
// subpackages.
package upstream

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// ID identifies an upstream and its sidecar.
type ID string

// Role is the kind of work that an upstream accepts. The zero value is invalid.
type Role uint8

const (
	// RolePrefill engines turn prompts into KV blocks.
	RolePrefill Role = iota + 1
	// RoleDecode engines generate tokens from imported KV blocks.
	RoleDecode
	// RoleService upstreams handle plain requests without a model.
	RoleService
)

// String returns the name used in the configuration and by operator tools.
func (r Role) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	case RoleService:
		return "service"
	default:
		return "invalid"
	}
}

// ParseRole is the inverse of Role.String; ok is false for an unknown name.
func ParseRole(name string) (role Role, ok bool) {
	for _, known := range []Role{RolePrefill, RoleDecode, RoleService} {
		if known.String() == name {
			return known, true
		}
	}
	return 0, false
}

// State is the lifecycle state of an upstream. The zero value is invalid.
type State uint8

const (
	// StateServing upstreams accept new work.
	StateServing State = iota + 1
	// StateDraining upstreams finish running work and accept no new work.
	StateDraining
	// StateRetired upstreams are permanently removed.
	StateRetired
)

// String returns the name used in the configuration and by operator tools.
func (s State) String() string {
	switch s {
	case StateServing:
		return "serving"
	case StateDraining:
		return "draining"
	case StateRetired:
		return "retired"
	default:
		return "invalid"
	}
}

// Upstream is the configuration of one upstream.
type Upstream struct {
	ID    ID
	Place zone.Place
	Role  Role
	State State
	// Pool is the name of the service (Service in a contract.Route) for
	// RoleService; empty for engines.
	Pool string
	// Models lists the models that an engine serves.
	Models []contract.ModelName
	// Versions holds the required version by model; a model without an entry
	// may have any version.
	Versions map[contract.ModelName]string
	// SidecarAddr is the host:port of the sidecar's peer listener.
	SidecarAddr string
}

// Serves reports whether the model is configured on the upstream.
func (u *Upstream) Serves(model contract.ModelName) bool {
	for _, m := range u.Models {
		if m == model {
			return true
		}
	}
	return false
}

// BlockTokens is the number of tokens in a KV block, the unit in which engines
// allocate KV cache memory.
const BlockTokens contract.Tokens = 1024

// BlocksFor returns the number of KV blocks needed for the tokens, rounded up.
func BlocksFor(tokens contract.Tokens) int {
	return int((tokens + BlockTokens - 1) / BlockTokens)
}

// CacheEvent is an event of an engine's prefix cache: a prefix was stored or, if
// Stored is false, evicted. Prefix is one of PrefixHashes; a gap in Seq means
// that events were lost.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Stored bool
}

// Load is the state of an upstream as its sidecar reports it on every reply.
type Load struct {
	Upstream ID
	Role     Role
	// Slots and Blocks are capacities; FreeSlots and FreeBlocks are available
	// to a new grant now.
	Slots, FreeSlots   int
	Blocks, FreeBlocks int
	// SoonSlots and SoonBlocks become free, in addition to the free ones, within
	// about the duration of a prefill.
	SoonSlots, SoonBlocks int
	// QueuedTokens counts prompt tokens that are accepted but not yet prefilled.
	QueuedTokens contract.Tokens
	// PrefillPerSecond is the engine's prefill rate in prompt tokens per second.
	PrefillPerSecond contract.Tokens
	// LinkBlocksPerSecond is the rate of the KV import link in blocks per second;
	// 0 means no limit.
	LinkBlocksPerSecond float64
	// TransferBacklog is the total reserved time left on the import link.
	TransferBacklog time.Duration
	// Cache holds the latest cache events of a prefill engine, in order. Events
	// may be late, and some may be missing.
	Cache []CacheEvent
	// Leaving is set while the upstream is draining: it accepts no new work.
	Leaving bool
	// At is when the values were read, by the sidecar's clock.
	At time.Time
}
