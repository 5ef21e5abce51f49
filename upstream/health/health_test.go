package health

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestOutliers lists the verdicts on four members (H healthy, E ejected, P
// probing) three seconds after the start.
func TestOutliers(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	fail := func(m *Member, times, ms int) {
		for range times {
			m.Failed(at(ms))
		}
	}
	cases := []struct {
		name  string
		fault func(m []*Member)
		want  string
	}{
		{"few failures", func(m []*Member) { fail(m[0], 2, 2000) }, "HHHH"},
		{"failures in a row", func(m []*Member) { fail(m[0], 3, 2000) }, "EHHH"},
		{"failures with an answer between", func(m []*Member) { fail(m[0], 2, 2000); m[0].Succeeded(at(2000), 0); fail(m[0], 2, 2000) }, "HHHH"},
		{"time is over", func(m []*Member) { fail(m[0], 3, 0) }, "PHHH"},
		{"one probe at a time", func(m []*Member) { fail(m[0], 3, 0); m[0].Probe(at(2500)) }, "EHHH"},
		{"a lost probe is sent again", func(m []*Member) { fail(m[0], 3, -2000); m[0].Probe(at(500)) }, "PHHH"},
		{"the probe succeeded", func(m []*Member) { fail(m[0], 3, 0); m[0].Probe(at(2500)); m[0].Succeeded(at(2600), 0) }, "HHHH"},
		{"the probe failed: twice as long", func(m []*Member) { fail(m[0], 3, -5000); m[0].Failed(at(-500)) }, "EHHH"},
		{"an answer from before does not end it", func(m []*Member) { fail(m[0], 3, 2000); m[0].Succeeded(at(2100), 0) }, "EHHH"},
		{"no more than the cap", func(m []*Member) {
			for _, x := range m {
				fail(x, 3, 2000)
			}
		}, "EEHH"},
		{"a member that left makes room", func(m []*Member) {
			fail(m[3], 3, 2000)
			m[3].Leave()
			fail(m[0], 3, 2000)
		}, "EHHH"},
		{"far slower than its peers", func(m []*Member) {
			for i := range 20 {
				for _, x := range m[1:] {
					x.Succeeded(at(1000+100*i), 50*time.Millisecond)
				}
				m[0].Succeeded(at(1000+100*i), 900*time.Millisecond)
			}
		}, "EHHH"},
		{"slower, yet fast enough", func(m []*Member) {
			for i := range 20 {
				for _, x := range m[1:] {
					x.Succeeded(at(1000+100*i), time.Millisecond)
				}
				m[0].Succeeded(at(1000+100*i), 90*time.Millisecond)
			}
		}, "HHHH"},
	}
	for _, c := range cases {
		g := NewGroup(Options{})
		members := []*Member{g.Join(), g.Join(), g.Join(), g.Join()}
		c.fault(members)
		got := ""
		for _, m := range members {
			got += string("HPE"[m.Verdict(at(3000))])
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
