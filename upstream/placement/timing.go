package placement

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
)

const (
	// prefillMargin is how much earlier than the window a prefill should end,
	// since estimates err and a KV cache may wait longer than a link.
	prefillMargin = 20 * time.Millisecond
	// PriorityLevels is the number of priorities, from 0 for work that may
	// wait to PriorityLevels-1 for work that is due.
	PriorityLevels = 10
	// strictGap is the gap between tokens whose decode gets the top priority.
	strictGap = 50 * time.Millisecond
)

// StartIn says how long to delay a prefill that takes the estimated time, so
// that it ends as the window on the transfer link opens: its result is evicted
// soon after.
func StartIn(windowIn, estimate time.Duration) time.Duration {
	return max(0, windowIn-estimate-prefillMargin)
}

// PrefillPriority orders prefills: the smaller the share of the target that is
// left, the more urgent. Without a target it is 0.
func PrefillPriority(slack, target time.Duration) int {
	if target <= 0 {
		return 0
	}
	left := min(1, max(0, float64(slack)/float64(target)))
	return min(PriorityLevels-1, int((1-left)*PriorityLevels))
}

// DecodePriority orders decodes by the gap between tokens that their route
// allows. Without a target it is 0.
func DecodePriority(between time.Duration) int {
	if between <= 0 {
		return 0
	}
	level := int(float64(PriorityLevels-1) * float64(strictGap) / float64(between))
	return min(PriorityLevels-1, max(1, level))
}

// PrefillIn estimates how soon a prefill could be done. Unlike Prefill it counts
// nothing as sent; ok is false when nothing is known about the engines.
func (b *Board) PrefillIn(now time.Time, n Need) (needed time.Duration, ok bool) {
	return b.least(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
}

// FirstTokenIn estimates the least time to the first token of a new request: the
// best prefill engine's queue and the prompt, or the link to the best decode
// engine. What needs longer than its slack is refused early. It errs towards
// less, because a refusal of what could have been served is worse than a late
// answer; ok is false when nothing is known about the upstreams it needs.
func (b *Board) FirstTokenIn(now time.Time, n Need) (needed time.Duration, ok bool) {
	prefill, known := b.least(now, poolKey{upstream.RolePrefill, string(n.Model)}, n)
	if !known {
		return 0, false
	}
	decode, known := b.least(now, poolKey{upstream.RoleDecode, string(n.Model)}, n)
	if !known {
		return prefill, true
	}
	return max(prefill, decode), true
}

// least gives the least estimate among the candidates of a pool.
func (b *Board) least(now time.Time, key poolKey, n Need) (least time.Duration, ok bool) {
	p, found := b.pools[key]
	if !found {
		return 0, false
	}
	for _, c := range b.candidates(now, p, key.role, n) {
		if !c.r.known(now) {
			return 0, false
		}
		if estimate := b.hopeful(now, key.role, c, n); !ok || estimate < least {
			least, ok = estimate, true
		}
	}
	return least, ok
}

// hopeful is the estimate at best: a prompt prefix is cached, and a full decode
// engine frees a slot at once.
func (b *Board) hopeful(now time.Time, role upstream.Role, c candidate, n Need) time.Duration {
	if role == upstream.RoleDecode {
		return c.r.linkWait(now) + c.r.transferTime(upstream.BlocksFor(n.Tokens))
	}
	return c.estimate - c.r.cacheHope(now, n)
}
