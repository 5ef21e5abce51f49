package zone

import (
	"fmt"
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	self  = Member{Name: "e1", Incarnation: 1, Place: Place{"r", "a"}, Kind: KindEntry}
)

func place(z string) Place { return Place{"r", AvailabilityZone(z)} }

func at(d time.Duration) time.Time { return start.Add(d) }

func TestMembers(t *testing.T) {
	receive := func(m *Membership, d time.Duration, name string, incarnation int64) {
		m.RecordMessage(at(d), Member{Name: name, Incarnation: incarnation, Place: place("b"), Kind: KindEntry}, 0)
	}
	list := func(m *Membership, leaving bool) {
		m.ApplyListing(at(0), []Listing{{Name: "e2", Place: place("b"), Kind: KindEntry, Addr: "x", Leaving: leaving}})
	}
	cases := []struct {
		name string
		do   func(m *Membership)
		now  time.Duration
		want string
	}{
		{"sent a message recently", func(m *Membership) { receive(m, 0, "e2", 1) }, time.Second, "e2.1 alive"},
		{"own messages are ignored", func(m *Membership) { receive(m, 0, "e1", 1) }, 0, ""},
		{"silent for a while", func(m *Membership) { receive(m, 0, "e2", 1) }, 2 * time.Second, "e2.1 suspect"},
		{"silent for long", func(m *Membership) { receive(m, 0, "e2", 1) }, 7 * time.Second, "e2.1 gone"},
		{"listed only", func(m *Membership) { list(m, false) }, time.Hour, "e2.0 suspect"},
		{"listed as leaving", func(m *Membership) { receive(m, 0, "e2", 1); list(m, true) }, 0, "e2.1 leaving"},
		{"reports that it is leaving", func(m *Membership) { receive(m, 0, "e2", 1); m.SetLeaving("e2", true) }, 0, "e2.1 leaving"},
		{"restarts after leaving", func(m *Membership) { receive(m, 0, "e2", 1); m.SetLeaving("e2", true); receive(m, 0, "e2", 2) }, 0, "e2.2 alive"},
		{"late message of the previous incarnation", func(m *Membership) { receive(m, 0, "e2", 2); receive(m, 5*time.Second, "e2", 1) }, 5 * time.Second, "e2.2 suspect"},
		{"old message relayed by a peer", func(m *Membership) {
			m.RecordMessage(at(0), Member{Name: "e2", Incarnation: 1, Place: place("b")}, 3*time.Second)
		}, 0, "e2.1 suspect"},
		{"forgotten", func(m *Membership) { receive(m, 0, "e2", 1); m.ApplyListing(at(2*time.Minute), nil) }, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMembership(self, nil)
			c.do(m)
			got := ""
			for _, member := range m.Members(at(c.now)) {
				got += fmt.Sprintf("%s.%d %v", member.Name, member.Incarnation, member.Health)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestTrust(t *testing.T) {
	abc := []AvailabilityZone{"a", "b", "c"}
	cases := []struct {
		name        string
		zones       []AvailabilityZone
		store       time.Duration
		direct      string
		via         string
		now         time.Duration
		rules       map[TrustRule]bool
		unreachable string
	}{
		{"start", abc, -1, "", "", 0, map[TrustRule]bool{Majority: false, StoreOnly: false, Always: true}, "[b c]"},
		{"store read", abc, 0, "", "", time.Second, map[TrustRule]bool{Majority: true, StoreOnly: true}, "[b c]"},
		{"store read too long ago", abc, 0, "", "", 5 * time.Second, map[TrustRule]bool{Majority: false, StoreOnly: false}, "[b c]"},
		{"store down, another zone reachable", abc, -1, "b", "", time.Second, map[TrustRule]bool{Majority: true, StoreOnly: false}, "[c]"},
		{"another zone reachable through a peer", abc, -1, "", "c", time.Second, map[TrustRule]bool{Majority: true}, "[b]"},
		{"cut off", abc, -1, "b", "c", 5 * time.Second, map[TrustRule]bool{Majority: false, Always: true}, "[b c]"},
		{"half of two", []AvailabilityZone{"a", "b"}, -1, "", "", 0, map[TrustRule]bool{Majority: false}, "[b]"},
		{"half of four", append(abc, "d"), -1, "b", "", time.Second, map[TrustRule]bool{Majority: false}, "[c d]"},
		{"one zone, alone", []AvailabilityZone{"a"}, -1, "", "", 0, map[TrustRule]bool{Majority: false}, "[]"},
		{"one zone, another instance reachable", []AvailabilityZone{"a"}, -1, "a", "", time.Second, map[TrustRule]bool{Majority: true}, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMembership(self, c.zones)
			if c.store >= 0 {
				m.RecordStoreRead(at(c.store))
			}
			if c.direct != "" {
				m.RecordMessage(at(0), Member{Name: "e2", Incarnation: 1, Place: place(c.direct)}, 0)
			}
			if c.via != "" {
				m.MergeZoneAges(at(0), []ZoneAge{{Zone: AvailabilityZone(c.via)}})
			}
			for rule, want := range c.rules {
				if got := m.KeysTrusted(at(c.now), rule); got != want {
					t.Errorf("%v: trusted %v, want %v", rule, got, want)
				}
				if parsed, err := ParseTrustRule(rule.String()); err != nil || parsed != rule {
					t.Errorf("%v parsed as %v: %v", rule, parsed, err)
				}
			}
			if got := fmt.Sprint(m.UnreachableZones(at(c.now))); got != c.unreachable {
				t.Errorf("unreachable zones %s, want %s", got, c.unreachable)
			}
		})
	}
}
