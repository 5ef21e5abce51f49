// Package burn decides how fast routes and client accounts use up what their
// service levels allow to go wrong. It counts ended requests in rings of bounded
// size and turns the counts of all entries into burn rates, budgets and alerts.
package burn

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Counts are what one series counted in some stretch of time.
type Counts struct {
	// Asked counts ended requests; Refused those that got no whole answer, for
	// whatever cause; RateRefused those of them over the account's rate.
	Asked, Refused, RateRefused uint32
	// Answered counts requests with a first token; LateFirst those whose first
	// token and LateGap those whose longest gap missed the route's target.
	Answered, LateFirst, LateGap uint32
	// PrefillTokens were run, WastedTokens of them for nothing.
	PrefillTokens, WastedTokens uint64
}

// Add adds other counts.
func (c *Counts) Add(o Counts) {
	c.Asked += o.Asked
	c.Refused += o.Refused
	c.RateRefused += o.RateRefused
	c.Answered += o.Answered
	c.LateFirst += o.LateFirst
	c.LateGap += o.LateGap
	c.PrefillTokens += o.PrefillTokens
	c.WastedTokens += o.WastedTokens
}

// Windows are the times over which burn rates are given, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// slots is the number of parts of a window that are counted apart.
const slots = 12

// ring counts one window: slot i holds the part with number at, if any.
type ring struct {
	at     [slots]int64
	counts [slots]Counts
}

// add counts into the part that now is in.
func (r *ring) add(now time.Time, window time.Duration, c Counts) {
	part := now.UnixNano() / int64(window/slots)
	i := part % slots
	if r.at[i] != part {
		r.at[i], r.counts[i] = part, Counts{}
	}
	r.counts[i].Add(c)
}

// sum gives the counts of the parts that lie in the window.
func (r *ring) sum(now time.Time, window time.Duration) (total Counts) {
	part := now.UnixNano() / int64(window/slots)
	for i := range r.at {
		if r.at[i] > part-slots && r.at[i] <= part {
			total.Add(r.counts[i])
		}
	}
	return total
}

// Key names a series.
type Key struct {
	Route   contract.RouteName
	Account contract.AccountID
}

// Series is what one instance counted for one route and client account, one
// value for each window.
type Series struct {
	Key
	Windows [len(Windows)]Counts
}
