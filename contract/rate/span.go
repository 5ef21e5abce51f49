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

// accrue brings an account's hand up to now through all spans since it was looked
// at. A smaller share cuts what is held; a share that was lost takes all of it.
func (h history) accrue(a *account, now time.Time, self instance.Identity, limit contract.Rate) {
	if len(h) == 0 {
		return
	}
	b := &a.hand
	if b.at.Before(h[0].from) {
		b.tokens, b.at = math.Min(b.tokens, 0), h[0].from
	}
	reserved := a.totalReserved()
	for i := range h {
		to, last := now, true
		if i+1 < len(h) && h[i+1].from.Before(now) {
			to, last = h[i+1].from, false
		}
		if !last && to.Before(b.at) {
			continue
		}
		part := a.share(&h[i], self)
		b.accrue(to, part*float64(limit.PerSecond), part*float64(limit.Burst)-reserved)
		if last {
			return
		}
	}
}

// share is the entry's fraction during a span, remembered for the latest one.
func (a *account) share(s *span, self instance.Identity) float64 {
	if a.partFrom != s.from || a.partFrom.IsZero() {
		a.part, a.partFrom = s.share(self, a.id), s.from
	}
	return a.part
}
