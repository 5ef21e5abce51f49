package transfer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	stalled := Progress{Elapsed: 300 * ms, Expected: 50 * ms, KeptFor: 400 * ms, Prefill: 200 * ms, Slack: 500 * ms, OtherEngineHasRoom: true}
	with := func(change func(p *Progress)) Progress {
		p := stalled
		change(&p)
		return p
	}
	cases := []struct {
		name string
		p    Progress
		want Action
	}{
		{"on time", with(func(p *Progress) { p.Elapsed = 199 * ms }), Wait},
		{"interrupted before the stall time", with(func(p *Progress) { p.Elapsed, p.Failed = 0, true }), Restart},
		{"stalled", stalled, Restart},
		{"stalled twice", with(func(p *Progress) { p.Restarts = 1 }), TransferElsewhere},
		{"stalled twice, no room elsewhere", with(func(p *Progress) { p.Restarts, p.OtherEngineHasRoom = 1, false }), Restart},
		{"evicted", with(func(p *Progress) { p.KeptFor = 0 }), RepeatPrefill},
		{"evicted, no time for another prefill", with(func(p *Progress) { p.KeptFor, p.Slack = 0, 200*ms }), Abandon},
		{"evicted, no time left but patient", with(func(p *Progress) { p.KeptFor, p.Slack, p.Patient = 0, 0, true }), RepeatPrefill},
		{"evicted twice", with(func(p *Progress) { p.KeptFor, p.Patient, p.RepeatedPrefills = 0, true, 1 }), Abandon},
		{"target already missed", with(func(p *Progress) { p.Slack = 0 }), Abandon},
	}
	for _, c := range cases {
		if got := Decide(c.p); got != c.want {
			t.Errorf("%s: action %d, want %d", c.name, got, c.want)
		}
	}
}

// TestReservedWindowsMatchRate reserves and releases at random and checks that windows
// never overlap, start at ready or later, and have the length that the rate implies.
func TestReservedWindowsMatchRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSchedule(10)
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			call := contract.CallID{Attempt: contract.Attempt(i)}
			blocks := rapid.IntRange(0, 20).Draw(t, "blocks")
			ready := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ready")) * ms)
			w := s.Find(call, blocks, ready)
			if w.Start.Before(ready) || w.End.Sub(w.Start) != time.Duration(blocks)*100*ms {
				t.Fatalf("%d blocks ready at %v got %v", blocks, ready, w)
			}
			s.Add(w)
			if rapid.Bool().Draw(t, "release") {
				s.Release(contract.CallID{Attempt: contract.Attempt(rapid.IntRange(0, i).Draw(t, "call"))})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * ms)
			s.Backlog(now)
			for j := 1; j < len(s.Windows()); j++ {
				if s.Windows()[j].Start.Before(s.Windows()[j-1].End) {
					t.Fatalf("windows overlap: %v", s.Windows())
				}
			}
		}
	})
}
