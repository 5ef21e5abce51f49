// Package burn computes how fast routes and client accounts use up the error
// budgets of their service level objectives. Each instance counts its ended
// requests in a Recorder of bounded size; Evaluate turns the snapshots of all
// instances into burn rates, remaining budgets and alerts. Locking, collection
// and output are left to the callers.
package burn

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Counts are the counters of one series over an interval.
type Counts struct {
	// Asked counts all ended requests and Refused those without a complete answer,
	// for any cause. RateRefused is the part of Refused that exceeded the account's
	// rate.
	Asked, Refused, RateRefused uint32
	// Answered counts requests with a first token; it includes those in Refused
	// whose answer broke off later. Of these, LateFirst counts
	// those whose first token and LateGap those whose longest gap between
	// tokens missed the route's target.
	Answered, LateFirst, LateGap uint32
	// PrefillTokens counts prompt tokens that were prefilled. WastedTokens is the
	// part of them that served no answer.
	PrefillTokens, WastedTokens uint64
}

// Add adds o to c.
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

// Windows are the periods over which burn rates are computed, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// slots is the number of intervals that a window is divided into.
const slots = 12

// ring counts one window. Slot i holds the counts of the interval with the number
// intervals[i], counted from the Unix epoch; 0 means unused.
type ring struct {
	intervals [slots]int64
	counts    [slots]Counts
}

// add adds c to the interval that contains now.
func (r *ring) add(now time.Time, window time.Duration, c Counts) {
	interval := now.UnixNano() / int64(window/slots)
	i := interval % slots
	if r.intervals[i] != interval {
		r.intervals[i], r.counts[i] = interval, Counts{}
	}
	r.counts[i].Add(c)
}

// sum returns the total over the window that ends with the interval of now.
func (r *ring) sum(now time.Time, window time.Duration) (total Counts) {
	interval := now.UnixNano() / int64(window/slots)
	for i := range r.intervals {
		if r.intervals[i] > interval-slots && r.intervals[i] <= interval {
			total.Add(r.counts[i])
		}
	}
	return total
}

// Key identifies a series.
type Key struct {
	Route   contract.RouteName
	Account contract.AccountID
}

// Series holds one instance's counts for one route and client account, by index
// of Windows.
type Series struct {
	Key
	Windows [len(Windows)]Counts
}
