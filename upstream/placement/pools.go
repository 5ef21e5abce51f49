package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
)

// poolKey names the upstreams that do the same work: a role, and a model or the
// name of a service.
type poolKey struct {
	role upstream.Role
	name string
}

// pool holds the upstreams of one key. Only near is looked at in each decision;
// rest is sampled when near is short, so the cost does not grow with the pool.
type pool struct {
	// near are the watched ones, own availability zone first.
	near []*runner
	// rest are the others, closest first; those before far are in the region.
	rest []*runner
	far  int
}

// keysOf lists the pools of an upstream.
func keysOf(u *upstream.Upstream) []poolKey {
	if u.Role == upstream.RoleService {
		return []poolKey{{u.Role, u.Pool}}
	}
	keys := make([]poolKey, 0, len(u.Models))
	for _, model := range u.Models {
		keys = append(keys, poolKey{u.Role, string(model)})
	}
	return keys
}

// SetUpstreams takes in the upstreams of a configuration. What is known of
// those that stay is kept.
func (b *Board) SetUpstreams(_ time.Time, ups map[upstream.ID]upstream.Upstream) {
	b.dropMissing(ups)
	for id, up := range ups {
		b.put(id, up)
	}
	b.rebuild()
}

func (b *Board) dropMissing(ups map[upstream.ID]upstream.Upstream) {
	for id, r := range b.runners {
		if _, ok := ups[id]; !ok {
			r.health.Leave()
			delete(b.runners, id)
		}
	}
}

// put adds or updates one upstream. One that moved or changed its work starts
// anew.
func (b *Board) put(id upstream.ID, up upstream.Upstream) {
	old, ok := b.runners[id]
	if ok && old.up.Role == up.Role && old.up.SidecarAddr == up.SidecarAddr {
		old.up = up
		old.distance = up.Place.Distance(b.options.Self)
		return
	}
	if ok {
		old.health.Leave()
	}
	b.runners[id] = &runner{
		up:       up,
		rank:     rendezvous(b.options.Seed, id),
		home:     rendezvous(0, id),
		distance: up.Place.Distance(b.options.Self),
		health:   b.group(&up).Join(),
	}
}

// group finds or makes the group whose members are compared with each other.
func (b *Board) group(up *upstream.Upstream) *health.Group {
	key := poolKey{role: up.Role, name: up.Pool}
	if len(up.Models) > 0 {
		key.name = string(up.Models[0])
	}
	g, ok := b.groups[key]
	if !ok {
		g = health.NewGroup(b.options.Health)
		b.groups[key] = g
	}
	return g
}

// rebuild sorts the upstreams that take new work into pools.
func (b *Board) rebuild() {
	members := make(map[poolKey][]*runner)
	b.byAddr = make(map[string]*runner, len(b.runners))
	for _, r := range b.runners {
		b.byAddr[r.up.SidecarAddr] = r
		if r.up.State != upstream.StateServing {
			continue
		}
		for _, key := range keysOf(&r.up) {
			members[key] = append(members[key], r)
		}
	}
	b.pools = make(map[poolKey]*pool, len(members))
	for key, list := range members {
		b.pools[key] = newPool(list, b.options.Watch)
	}
	b.watched = b.collectWatched()
}

// newPool splits members into the watched ones and the rest. All entries of a
// zone rank members differently, so each member is watched by some of them.
func newPool(members []*runner, watch int) *pool {
	slices.SortFunc(members, compareRunners)
	near := min(watch, len(members))
	p := &pool{near: members[:near], rest: members[near:]}
	for p.far < len(p.rest) && p.rest[p.far].distance < 2 {
		p.far++
	}
	return p
}

// compareRunners orders by distance, then by rank.
func compareRunners(a, b *runner) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.rank, a.rank), cmp.Compare(a.up.ID, b.up.ID))
}

// collectWatched lists each watched upstream once.
func (b *Board) collectWatched() []*runner {
	var watched []*runner
	for _, p := range b.pools {
		watched = append(watched, p.near...)
	}
	slices.SortFunc(watched, compareRunners)
	return slices.Compact(watched)
}

// rendezvous hashes a seed and an upstream.
func rendezvous(seed uint64, id upstream.ID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// mix hashes two hashes into one; equal on all entries. It is the finalizer of
// SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
