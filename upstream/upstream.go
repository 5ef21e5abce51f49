// Package upstream describes the back ends that requests are routed to: model
// engines with their roles, slots and KV blocks, and plain services. Decisions
// about where work goes live in its sub-packages.
package upstream

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// ID names one upstream and the sidecar beside it.
type ID string

// Role says what work an upstream takes.
type Role uint8

const (
	// RolePrefill engines turn prompts into KV blocks.
	RolePrefill Role = iota + 1
	// RoleDecode engines generate tokens from imported KV blocks.
	RoleDecode
	// RoleService upstreams answer plain calls.
	RoleService
)

// String gives the word used by operators.
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

// ParseRole is the inverse of Role.String; ok is false for another word.
func ParseRole(word string) (role Role, ok bool) {
	for _, known := range []Role{RolePrefill, RoleDecode, RoleService} {
		if known.String() == word {
			return known, true
		}
	}
	return 0, false
}

// State is where an upstream stands in its life.
type State uint8

const (
	// StateServing upstreams take new work.
	StateServing State = iota + 1
	// StateDraining upstreams finish what they have.
	StateDraining
	// StateRetired upstreams are gone for good.
	StateRetired
)

// String gives the word used by operators.
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

// Upstream is an upstream's entry in the configuration.
type Upstream struct {
	ID    ID
	Place zone.Place
	Role  Role
	State State
	// Pool is the service's name for RoleService, empty for engines.
	Pool string
	// Models are those that an engine serves.
	Models []contract.ModelName
	// Versions are those wanted of models; a model that is not in it may have
	// any version.
	Versions map[contract.ModelName]string
	// SidecarAddr is the host:port of the sidecar's peer listener.
	SidecarAddr string
}

// Serves reports whether the upstream takes work for the model.
func (u *Upstream) Serves(model contract.ModelName) bool {
	for _, m := range u.Models {
		if m == model {
			return true
		}
	}
	return false
}

// BlockTokens is the size of a KV block: engines hold memory in such pieces.
const BlockTokens contract.Tokens = 1024

// BlocksFor gives the blocks that hold the tokens, rounded up.
func BlocksFor(tokens contract.Tokens) int {
	return int((tokens + BlockTokens - 1) / BlockTokens)
}

// CacheNews tells that the prefix of a prompt entered or left an engine's cache.
// Prefix is one of PrefixHashes; a missing Seq shows a lost event.
type CacheNews struct {
	Seq    uint64
	Prefix uint64
	Stored bool
}

// Load is what a sidecar says of its upstream. It rides on every reply.
type Load struct {
	Upstream ID
	Role     Role
	// Slots and Blocks are capacities; the Free values are what a new grant
	// could take now.
	Slots, FreeSlots   int
	Blocks, FreeBlocks int
	// SoonSlots and SoonBlocks are what becomes free besides within about the
	// time of a prefill.
	SoonSlots, SoonBlocks int
	// QueuedTokens are prompt tokens accepted and not yet prefilled.
	QueuedTokens contract.Tokens
	// PrefillPerSecond is the engine's prompt tokens a second.
	PrefillPerSecond contract.Tokens
	// LinkBlocksPerSecond is the rate of the KV import link; 0 means no limit.
	LinkBlocksPerSecond float64
	// TransferBacklog is how long the import link is reserved from now.
	TransferBacklog time.Duration
	// Cache are the latest cache events of a prefill engine, in order. They come
	// late and with gaps.
	Cache []CacheNews
	// Leaving means no new work.
	Leaving bool
	// At is when the sidecar read these values, by its own clock.
	At time.Time
}
