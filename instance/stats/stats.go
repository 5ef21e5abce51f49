// Package stats records the ended requests of an entry for the burn-rate reports.
// It evaluates each request against the latency targets of its route, and keeps
// the counters in a shared table of rank RankStats.
package stats

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Recorder counts ended requests. It implements entry.Recorder and is safe for
// concurrent use. Its methods use a HeldLocks of their own, so the lock order check does
// not see the caller's locks: callers must hold no table lock.
type Recorder struct {
	self  instance.Identity
	table *table.Single[*burn.Recorder]
}

// New returns a recorder without counts. Its snapshots give now as their start.
func New(now time.Time, self instance.Identity) *Recorder {
	return &Recorder{self: self, table: table.NewSingle(table.RankStats, burn.NewRecorder(now))}
}

// RecordRequest implements entry.Recorder.
func (s *Recorder) RecordRequest(now time.Time, ended entry.RequestRecord) {
	event := eventOf(ended)
	s.table.With(table.NewHeldLocks(), func(r **burn.Recorder) { (*r).Record(now, event) })
}

// Retain implements entry.Recorder.
func (s *Recorder) Retain(c *config.Snapshot) {
	s.table.With(table.NewHeldLocks(), func(r **burn.Recorder) {
		(*r).Retain(
			func(route contract.RouteName) bool { _, ok := c.Routes[route]; return ok },
			func(account contract.AccountID) bool { _, ok := c.Accounts[account]; return ok })
	})
}

// Snapshot returns the counts and latencies recorded up to now.
func (s *Recorder) Snapshot(now time.Time) (snapshot burn.Snapshot) {
	s.table.With(table.NewHeldLocks(), func(r **burn.Recorder) { snapshot = (*r).Snapshot(now, s.self.String()) })
	return snapshot
}

// eventOf classifies an ended request by the targets of its route. A request that
// its caller canceled counts for prefill and wasted tokens only, because the
// service did not cause its end.
func eventOf(ended entry.RequestRecord) burn.Event {
	e := burn.Event{
		Key:        burn.Key{Route: ended.Route.Name, Account: ended.Account},
		FirstToken: ended.FirstToken,
		LongestGap: ended.LongestGap,
	}
	e.PrefillTokens = uint64(ended.PrefillTokens)
	e.WastedTokens = uint64(ended.WastedTokens)
	if ended.Refusal != nil && ended.Refusal.Code == contract.CodeCanceled {
		return e
	}
	e.Asked = 1
	if ended.Refusal != nil {
		e.Refused = 1
		e.RateRefused = oneIf(ended.Refusal.Code == contract.CodeRateLimited)
	}
	if ended.FirstToken > 0 {
		targets := ended.Route.Targets
		e.Answered = 1
		e.LateFirst = oneIf(targets.FirstToken > 0 && ended.FirstToken > targets.FirstToken)
		e.LateGap = oneIf(targets.BetweenTokens > 0 && ended.LongestGap > targets.BetweenTokens)
	}
	return e
}

func oneIf(is bool) uint32 {
	if is {
		return 1
	}
	return 0
}
