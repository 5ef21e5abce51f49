package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
)

// poolKey identifies the upstreams that do the same work: a role, and the name of a
// model or a service.
type poolKey struct {
	role upstream.Role
	name string
}

// pool holds the upstreams of one key. A decision examines all of watched and samples
// rest only if watched lacks capacity, so its cost does not grow with the pool.
type pool struct {
	// watched holds the closest upstreams, own availability zone first.
	watched []*upstreamView
	// rest holds the others, closest first; those from index firstFar on are in other
	// regions.
	rest     []*upstreamView
	firstFar int
}

// poolKeys returns one key per model of an engine, or the key of a service.
func poolKeys(u *upstream.Upstream) []poolKey {
	if u.Role == upstream.RoleService {
		return []poolKey{{u.Role, u.Pool}}
	}
	keys := make([]poolKey, 0, len(u.Models))
	for _, model := range u.Models {
		keys = append(keys, poolKey{u.Role, string(model)})
	}
	return keys
}

// SetUpstreams replaces the configured upstreams. Load and health are kept for each
// upstream whose role and sidecar address stay the same.
func (b *Board) SetUpstreams(_ time.Time, ups map[upstream.ID]upstream.Upstream) {
	b.removeMissing(ups)
	for id, config := range ups {
		b.upsert(id, config)
	}
	b.rebuildPools()
}

func (b *Board) removeMissing(ups map[upstream.ID]upstream.Upstream) {
	for id, view := range b.views {
		if _, ok := ups[id]; !ok {
			view.health.Remove()
			delete(b.views, id)
		}
	}
	for key, g := range b.healthGroups {
		if g.Len() == 0 {
			delete(b.healthGroups, key)
		}
	}
}

// upsert adds or updates one upstream. A new role or sidecar address resets its load
// and health.
func (b *Board) upsert(id upstream.ID, config upstream.Upstream) {
	old, ok := b.views[id]
	if ok && old.config.Role == config.Role && old.config.SidecarAddr == config.SidecarAddr {
		old.config = config
		old.distance = config.Place.Distance(b.options.Self)
		return
	}
	if ok {
		old.health.Remove()
	}
	b.views[id] = &upstreamView{
		config:    config,
		entryHash: rendezvousHash(b.options.Seed, id),
		fleetHash: rendezvousHash(0, id),
		distance:  config.Place.Distance(b.options.Self),
		health:    b.healthGroup(&config).AddMember(),
	}
}

// healthGroup returns the group within which outlier detection compares the
// upstream, and creates it if needed. An engine of several models is in the group of
// its first.
func (b *Board) healthGroup(config *upstream.Upstream) *health.Group {
	key := poolKey{role: config.Role, name: config.Pool}
	if len(config.Models) > 0 {
		key.name = string(config.Models[0])
	}
	g, ok := b.healthGroups[key]
	if !ok {
		g = health.NewGroup(b.options.Health)
		b.healthGroups[key] = g
	}
	return g
}

// rebuildPools assigns the serving upstreams to pools.
func (b *Board) rebuildPools() {
	members := make(map[poolKey][]*upstreamView)
	b.byAddr = make(map[string]*upstreamView, len(b.views))
	for _, view := range b.views {
		b.byAddr[view.config.SidecarAddr] = view
		if view.config.State != upstream.StateServing {
			continue
		}
		for _, key := range poolKeys(&view.config) {
			members[key] = append(members[key], view)
		}
	}
	b.pools = make(map[poolKey]*pool, len(members))
	for key, list := range members {
		b.pools[key] = newPool(list, b.options.WatchCount)
	}
	b.watched = b.collectWatched()
}

// newPool splits members into the watched ones and the rest. The entries of a zone
// rank members differently, so each member is watched by some entry.
func newPool(members []*upstreamView, watch int) *pool {
	slices.SortFunc(members, compareByDistance)
	watched := min(watch, len(members))
	p := &pool{watched: members[:watched], rest: members[watched:]}
	for p.firstFar < len(p.rest) && p.rest[p.firstFar].distance < 2 {
		p.firstFar++
	}
	return p
}

// compareByDistance orders by distance, then by the hash of this entry.
func compareByDistance(a, b *upstreamView) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.entryHash, a.entryHash), cmp.Compare(a.config.ID, b.config.ID))
}

// collectWatched returns the watched upstreams of all pools without duplicates.
func (b *Board) collectWatched() []*upstreamView {
	var watched []*upstreamView
	for _, p := range b.pools {
		watched = append(watched, p.watched...)
	}
	slices.SortFunc(watched, compareByDistance)
	return slices.Compact(watched)
}

// rendezvousHash returns the hash of an upstream ID under a seed.
func rendezvousHash(seed uint64, id upstream.ID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// combineHashes mixes two hashes with the finalizer of SplitMix64. The result is the
// same on all entries.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
