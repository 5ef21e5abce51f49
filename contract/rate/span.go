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
	// number tells spans apart that begin at the same time; 0 is none.
	number int
	from   time.Time
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
type history struct {
	spans []span
	// count numbers the spans.
	count int
}

// add starts a new span; those that were to start later are dropped.
func (h *history) add(s span) {
	for len(h.spans) > 0 && h.spans[len(h.spans)-1].from.After(s.from) {
		h.spans = h.spans[:len(h.spans)-1]
	}
	h.count++
	s.number = h.count
	h.spans = append(h.spans, s)
	if len(h.spans) > maxSpans {
		h.spans = h.spans[1:]
	}
}

// at is the span in force.
func (h *history) at(now time.Time) *span {
	for i := len(h.spans) - 1; i >= 0; i-- {
		if !h.spans[i].from.After(now) {
			return &h.spans[i]
		}
	}
	return &span{}
}

// accrue brings an account's hand up to now through all spans since it was looked
// at. A smaller share cuts what is held; a share that was lost takes all of it.
func (h *history) accrue(a *account, now time.Time, self instance.Identity, limit contract.Rate) {
	if len(h.spans) == 0 {
		return
	}
	b := &a.hand
	if first := h.spans[0].from; b.at.Before(first) {
		b.tokens, b.at = math.Min(b.tokens, 0), first
	}
	reserved := a.totalReserved()
	for i := range h.spans {
		to, last := now, true
		if i+1 < len(h.spans) && h.spans[i+1].from.Before(now) {
			to, last = h.spans[i+1].from, false
		}
		if !last && to.Before(b.at) {
			continue
		}
		part := a.share(&h.spans[i], self)
		b.accrue(to, part*float64(limit.PerSecond), part*float64(limit.Burst)-reserved)
		if last {
			return
		}
	}
}

// share is the entry's fraction during a span, remembered for the latest one.
func (a *account) share(s *span, self instance.Identity) float64 {
	if a.partOf != s.number || s.number == 0 {
		a.part, a.partOf = s.share(self, a.id), s.number
	}
	return a.part
}
