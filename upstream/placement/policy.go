package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// scorer ranks candidates, best first. It may drop some.
type scorer func(b *Board, now time.Time, role upstream.Role, n Need, candidates []candidate) []candidate

var scorers = map[string]scorer{
	PolicyReserve:     rankByCost,
	PolicyLeastLoaded: rankByLoad,
	PolicyRandomOfTwo: rankRandomOfTwo,
}

// rankByCost ranks by the estimated cost, with some noise, and leaves out
// upstreams that just said that they are full.
func rankByCost(b *Board, now time.Time, role upstream.Role, n Need, candidates []candidate) []candidate {
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		justFull := now.Sub(c.r.seen) < freshFor && !c.r.fits(n)
		return role != upstream.RolePrefill && justFull
	})
	for i := range candidates {
		candidates[i].cost += time.Duration(b.random.Int64N(int64(noiseCost)))
	}
	preferHome(role, n, candidates)
	slices.SortFunc(candidates, byCost)
	return candidates
}

// preferHome lowers the cost of the engine where all entries send prompts with
// the same beginning, so that they meet a cache without being told of it.
func preferHome(role upstream.Role, n Need, candidates []candidate) {
	if role != upstream.RolePrefill || n.Prefix == 0 || len(candidates) == 0 {
		return
	}
	home := &candidates[0]
	for i := range candidates {
		if mix(candidates[i].r.home, n.Prefix) > mix(home.r.home, n.Prefix) {
			home = &candidates[i]
		}
	}
	home.cost -= time.Duration(homeShare * float64(home.r.prefixWorth(n)))
}

// rankByLoad ranks by the reported load and the entry's own sends.
func rankByLoad(_ *Board, _ time.Time, role upstream.Role, _ Need, candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.r.used(role), y.r.used(role)), cmp.Compare(x.r.rank, y.r.rank))
	})
	return candidates
}

// used gives a number that grows with the load in the work of a role.
func (r *runner) used(role upstream.Role) int64 {
	if role == upstream.RolePrefill {
		return int64(r.load.QueuedTokens + r.pending.tokens)
	}
	return int64(r.load.Slots - r.load.FreeSlots + r.pending.slots)
}

// rankRandomOfTwo draws at random and puts the less loaded of the first two
// first.
func rankRandomOfTwo(b *Board, _ time.Time, role upstream.Role, _ Need, candidates []candidate) []candidate {
	b.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	if len(candidates) > 1 && candidates[1].r.used(role) < candidates[0].r.used(role) {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
	return candidates
}
