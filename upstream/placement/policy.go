package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// rankFunc orders candidates in place, best first. It may drop some.
type rankFunc func(b *Board, now time.Time, role upstream.Role, n Need, candidates []candidate) []candidate

var rankFuncs = map[string]rankFunc{
	PolicyReserve:     rankByCost,
	PolicyLeastLoaded: rankByLoad,
	PolicyRandomOfTwo: rankRandomOfTwo,
}

// rankByCost ranks by estimated cost plus jitter and drops upstreams that recently
// reported that they are full.
func rankByCost(b *Board, now time.Time, role upstream.Role, n Need, candidates []candidate) []candidate {
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		reportedFull := now.Sub(c.view.reportedAt) < fullReportTTL && !c.view.fitsSoon(n)
		return role != upstream.RolePrefill && reportedFull
	})
	for i := range candidates {
		candidates[i].cost += time.Duration(b.random.Int64N(int64(jitterCost)))
	}
	preferPrefixOwner(role, n, candidates)
	slices.SortFunc(candidates, byCost)
	return candidates
}

// preferPrefixOwner lowers the cost of the candidate that rendezvous hashing assigns
// to the prefix. All entries compute the same owner, so prompts with the same prefix
// hit one cache without coordination.
func preferPrefixOwner(role upstream.Role, n Need, candidates []candidate) {
	if role != upstream.RolePrefill || n.Prefix == 0 || len(candidates) == 0 {
		return
	}
	owner := &candidates[0]
	for i := range candidates {
		if combineHashes(candidates[i].view.fleetHash, n.Prefix) > combineHashes(owner.view.fleetHash, n.Prefix) {
			owner = &candidates[i]
		}
	}
	owner.cost -= time.Duration(affinityShare * float64(owner.view.prefixPrefillTime(n)))
}

// rankByLoad ranks by the reported load plus the work sent since the report.
func rankByLoad(_ *Board, _ time.Time, role upstream.Role, _ Need, candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.view.usedCapacity(role), y.view.usedCapacity(role)), cmp.Compare(x.view.entryHash, y.view.entryHash))
	})
	return candidates
}

// usedCapacity is the load for a role: queued prompt tokens for prefill, used slots
// otherwise.
func (v *upstreamView) usedCapacity(role upstream.Role) int64 {
	if role == upstream.RolePrefill {
		return int64(v.load.QueuedTokens + v.pending.tokens)
	}
	return int64(v.load.Slots - v.load.FreeSlots + v.pending.slots)
}

// rankRandomOfTwo shuffles the candidates and puts the less loaded of the first two
// first.
func rankRandomOfTwo(b *Board, _ time.Time, role upstream.Role, _ Need, candidates []candidate) []candidate {
	b.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	if len(candidates) > 1 && candidates[1].view.usedCapacity(role) < candidates[0].view.usedCapacity(role) {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
	return candidates
}
