package rate

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// maxSpans bounds the history of shares. The bucket of an account last updated
// before the oldest span restarts empty; debt stays.
const maxSpans = 8

// span is a period in which the shares do not change.
type span struct {
	// number distinguishes spans that begin at the same time; 0 means no span.
	number int
	from   time.Time
	// members hold the shares; nil means that no entry known here holds any.
	members []instance.Identity
	// previous holds the members of the previous epoch, or nil. While entries
	// may still use the shares of that epoch, the smaller of both shares
	// applies.
	previous []instance.Identity
}

// share returns this entry's fraction of an account during the span.
func (s *span) share(self instance.Identity, account contract.AccountID) float64 {
	part := share(s.members, self, account)
	if s.previous == nil || part == 0 {
		return part
	}
	return math.Min(part, share(s.previous, self, account))
}

// history holds the spans in order of time, oldest first.
type history struct {
	spans []span
	// lastNumber is the number of the latest span added.
	lastNumber int
}

// add starts a new span and drops spans that would start after it.
func (h *history) add(s span) {
	for len(h.spans) > 0 && h.spans[len(h.spans)-1].from.After(s.from) {
		h.spans = h.spans[:len(h.spans)-1]
	}
	h.lastNumber++
	s.number = h.lastNumber
	h.spans = append(h.spans, s)
	if len(h.spans) > maxSpans {
		h.spans = h.spans[1:]
	}
}

// at returns the span in force at now, or an empty span without shares.
func (h *history) at(now time.Time) *span {
	for i := len(h.spans) - 1; i >= 0; i-- {
		if !h.spans[i].from.After(now) {
			return &h.spans[i]
		}
	}
	return &span{}
}

// refillAccount refills an account's bucket for each span since its last update. A
// smaller share truncates the tokens held; a share of zero removes them all.
func (h *history) refillAccount(a *accountState, now time.Time, self instance.Identity, rate contract.Rate) {
	if len(h.spans) == 0 {
		return
	}
	b := &a.bucket
	if first := h.spans[0].from; b.updatedAt.Before(first) {
		b.tokens, b.updatedAt = math.Min(b.tokens, 0), first
	}
	reserved := a.totalReserved()
	for i := range h.spans {
		to, last := now, true
		if i+1 < len(h.spans) && h.spans[i+1].from.Before(now) {
			to, last = h.spans[i+1].from, false
		}
		if !last && to.Before(b.updatedAt) {
			continue
		}
		part := a.share(&h.spans[i], self)
		b.refill(to, part*float64(rate.PerSecond), part*float64(rate.Burst)-reserved)
		if last {
			return
		}
	}
}

// share returns this entry's fraction during a span, cached for the latest span
// used.
func (a *accountState) share(s *span, self instance.Identity) float64 {
	if a.cachedSpan != s.number || s.number == 0 {
		a.cachedShare, a.cachedSpan = s.share(self, a.id), s.number
	}
	return a.cachedShare
}
