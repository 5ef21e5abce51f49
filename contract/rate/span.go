package rate

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// maxSpans bounds the history of shares; an account that was last looked at
// before the oldest span starts again at zero.
const maxSpans = 8

// span is a stretch of time with unchanged shares.
type span struct {
	from time.Time
	// members hold the shares; nil means that nobody here holds any.
	members []instance.Identity
	// before, unless nil, are the members of the epoch before: while entries
	// may still use the shares of that epoch, the smaller of both holds.
	before []instance.Identity
}

// share is this entry's fraction of an account during the span.
func (s *span) share(self instance.Identity, account contract.AccountID) float64 {
	part := share(s.members, self, account)
	if s.before == nil || part == 0 {
		return part
	}
	return math.Min(part, share(s.before, self, account))
}

// history is the shares over time, oldest first.
type history []span

// add starts a new span; those that were to start later are dropped.
func (h *history) add(s span) {
	for len(*h) > 0 && (*h)[len(*h)-1].from.After(s.from) {
		*h = (*h)[:len(*h)-1]
	}
	*h = append(*h, s)
	if len(*h) > maxSpans {
		*h = (*h)[1:]
	}
}

// at is the span in force.
func (h history) at(now time.Time) *span {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].from.After(now) {
			return &h[i]
		}
	}
	return &span{}
}

// accrue brings a bucket up to now through all spans since it was looked at. A
// smaller share cuts what is held; a share that was lost takes all of it.
func (h history) accrue(b *bucket, now time.Time, self instance.Identity, account contract.AccountID, limit contract.Rate, reserved float64) {
	if len(h) == 0 {
		return
	}
	if b.at.Before(h[0].from) {
		b.tokens, b.at = math.Min(b.tokens, 0), h[0].from
	}
	for i := range h {
		to := now
		if i+1 < len(h) && h[i+1].from.Before(now) {
			to = h[i+1].from
		}
		if i+1 < len(h) && to.Before(b.at) {
			continue
		}
		part := h[i].share(self, account)
		b.accrue(to, part*float64(limit.PerSecond), part*float64(limit.Burst)-reserved)
		if !to.Before(now) {
			return
		}
	}
}
