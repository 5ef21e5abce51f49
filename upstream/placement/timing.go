package placement

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

const (
	// prefillMargin is how long before its transfer window a prefill should end.
	// Estimates are inexact, and a finished KV cache can wait for the link longer than
	// the link for the cache.
	prefillMargin = 20 * time.Millisecond
	// PriorityLevels is the number of priorities, from 0 for work that may wait to
	// PriorityLevels-1 for the most urgent work.
	PriorityLevels = 10
	// topPriorityGap is the target gap between tokens up to which a decode gets the
	// top priority.
	topPriorityGap = 50 * time.Millisecond
)

// PrefillDelay returns how long to delay a prefill so that it ends just before the
// window on the transfer link opens. An earlier result could be evicted before it is
// transferred.
func PrefillDelay(windowIn, estimate time.Duration) time.Duration {
	return max(0, windowIn-estimate-prefillMargin)
}

// PrefillPriority returns the priority of a prefill, which rises as the share of the
// target that is left falls. It is 0 without a target.
func PrefillPriority(slack, target time.Duration) int {
	if target <= 0 {
		return 0
	}
	left := min(1, max(0, float64(slack)/float64(target)))
	return min(PriorityLevels-1, int((1-left)*PriorityLevels))
}

// DecodePriority returns the priority of a decode, which rises as the gap between
// tokens that its route allows falls. It is 0 without a target.
func DecodePriority(between time.Duration) int {
	if between <= 0 {
		return 0
	}
	level := int(float64(PriorityLevels-1) * float64(topPriorityGap) / float64(between))
	return min(PriorityLevels-1, max(1, level))
}

// PrefillIn estimates the time until a prefill could end, not until it starts. Unlike
// ChoosePrefill it records no work as sent; ok is false if a candidate has no recent load
// report or if there is no candidate.
func (b *Board) PrefillIn(now time.Time, n Need) (needed time.Duration, ok bool) {
	return b.minEstimate(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
}

// FirstTokenIn estimates a lower bound of the time to the first token of a new
// request: the longer of the queue and prefill at the best prefill engine and the
// transfer to the best decode engine. The caller refuses a request early if this
// exceeds its slack. The estimate is optimistic, because refusing a request that could
// have been served is worse than a late answer; ok is false if the prefill time is
// unknown.
func (b *Board) FirstTokenIn(now time.Time, n Need) (needed time.Duration, ok bool) {
	prefill, known := b.minEstimate(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
	if !known {
		return 0, false
	}
	decode, known := b.minEstimate(now, poolKey{upstream.RoleDecode, string(n.Model)}, n)
	if !known {
		return prefill, true
	}
	return max(prefill, decode), true
}

// minEstimate returns the lowest optimistic estimate among the candidates of a pool.
// ok is false if there are none or if one of them has no recent load report.
func (b *Board) minEstimate(now time.Time, key poolKey, n Need) (minEstimate time.Duration, ok bool) {
	p, found := b.pools[key]
	if !found {
		return 0, false
	}
	for _, c := range b.candidates(now, p, key.role, n) {
		if !c.view.hasReport(now) {
			return 0, false
		}
		if estimate := b.optimisticEstimate(now, key.role, c, n); !ok || estimate < minEstimate {
			minEstimate, ok = estimate, true
		}
	}
	return minEstimate, ok
}

// optimisticEstimate deducts the expected saving of a prefix cache hit, and assumes
// that a full decode engine frees a slot at once.
func (b *Board) optimisticEstimate(now time.Time, role upstream.Role, c candidate, n Need) time.Duration {
	if role == upstream.RoleDecode {
		return c.view.linkWait(now) + c.view.transferTime(upstream.BlocksFor(n.Tokens))
	}
	return c.estimate - c.view.expectedCacheSaving(now, n)
}
