// Package stats counts what an entry served, in the shared table of rank stats.
package stats

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Stats is an entry's recorder. It implements entry.Recorder.
type Stats struct {
	self  instance.Identity
	table *table.Single[*burn.Recorder]
}

// New returns a recorder that starts now.
func New(now time.Time, self instance.Identity) *Stats {
	return &Stats{self: self, table: table.NewSingle(table.RankStats, burn.NewRecorder(now))}
}

// Ended implements entry.Recorder.
func (s *Stats) Ended(now time.Time, ended entry.Ended) {
	event := eventOf(ended)
	s.table.With(table.NewHeld(), func(r **burn.Recorder) { (*r).Record(now, event) })
}

// Snapshot gives what was counted.
func (s *Stats) Snapshot(now time.Time) (snapshot burn.Snapshot) {
	s.table.With(table.NewHeld(), func(r **burn.Recorder) { snapshot = (*r).Snapshot(now, s.self.String()) })
	return snapshot
}

// eventOf judges an ended request by its route's targets. A caller that left is
// no fault of the service.
func eventOf(ended entry.Ended) burn.Event {
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
