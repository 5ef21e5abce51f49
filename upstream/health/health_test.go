package health

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestOutliers compares the verdicts on four members (H healthy, E ejected, P
// probing) three seconds after start.
func TestOutliers(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	fail := func(m *Member, times, ms int) {
		for range times {
			m.RecordFailure(at(ms))
		}
	}
	cases := []struct {
		name  string
		fault func(m []*Member)
		want  string
	}{
		{"too few failures", func(m []*Member) { fail(m[0], 2, 2000) }, "HHHH"},
		{"failures in a row", func(m []*Member) { fail(m[0], 3, 2000) }, "EHHH"},
		{"failures with an answer in between", func(m []*Member) { fail(m[0], 2, 2000); m[0].RecordSuccess(at(2000), 0); fail(m[0], 2, 2000) }, "HHHH"},
		{"the ejection time is over", func(m []*Member) { fail(m[0], 3, 0) }, "PHHH"},
		{"one probe at a time", func(m []*Member) { fail(m[0], 3, 0); m[0].RecordProbe(at(2500)) }, "EHHH"},
		{"another probe after an unanswered one", func(m []*Member) { fail(m[0], 3, -2000); m[0].RecordProbe(at(500)) }, "PHHH"},
		{"a successful probe ends the ejection", func(m []*Member) { fail(m[0], 3, 0); m[0].RecordProbe(at(2500)); m[0].RecordSuccess(at(2600), 0) }, "HHHH"},
		{"a failed probe doubles the ejection", func(m []*Member) { fail(m[0], 3, -5000); m[0].RecordFailure(at(-500)) }, "EHHH"},
		{"an answer during the ejection does not end it", func(m []*Member) { fail(m[0], 3, 2000); m[0].RecordSuccess(at(2100), 0) }, "EHHH"},
		{"the ejected share is capped", func(m []*Member) {
			for _, x := range m {
				fail(x, 3, 2000)
			}
		}, "EEHH"},
		{"an ejected member that left does not count", func(m []*Member) {
			fail(m[3], 3, 2000)
			m[3].Remove()
			fail(m[0], 3, 2000)
		}, "EHHH"},
		{"much slower than its peers", func(m []*Member) {
			for i := range 20 {
				for _, x := range m[1:] {
					x.RecordSuccess(at(1000+100*i), 50*time.Millisecond)
				}
				m[0].RecordSuccess(at(1000+100*i), 900*time.Millisecond)
			}
		}, "EHHH"},
		{"slower than its peers, but below the floor", func(m []*Member) {
			for i := range 20 {
				for _, x := range m[1:] {
					x.RecordSuccess(at(1000+100*i), time.Millisecond)
				}
				m[0].RecordSuccess(at(1000+100*i), 90*time.Millisecond)
			}
		}, "HHHH"},
	}
	for _, c := range cases {
		g := NewGroup(Options{})
		members := []*Member{g.AddMember(), g.AddMember(), g.AddMember(), g.AddMember()}
		c.fault(members)
		got := ""
		for _, m := range members {
			got += string("HPE"[m.Verdict(at(3000))])
		}
		if got != c.want {
			t.Errorf("%s: verdicts %s, want %s (H healthy, E ejected, P probing)", c.name, got, c.want)
		}
	}
}
