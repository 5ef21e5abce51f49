package rate

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// TestWhoMayMoveOn checks which entries may propose the epoch after one, and
// which are ready in it.
func TestWhoMayMoveOn(t *testing.T) {
	who := func(names ...instance.Name) (list []instance.Identity) {
		for _, name := range names {
			list = append(list, instance.Identity{Name: name, Incarnation: 1})
		}
		return list
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name     string
		before   []instance.Identity
		members  []instance.Identity
		self     instance.Name
		sees     []instance.Identity
		after    time.Duration
		proposes bool
		ready    bool
	}{
		{"the newcomer knows nobody", nil, who("a"), "b", who("b"), strangersFor - time.Second, false, false},
		{"the newcomer knows the grantor", nil, who("a"), "b", who("a", "b"), time.Second, true, false},
		{"the grantors stay away", nil, who("a"), "b", who("b"), strangersFor + time.Second, true, false},
		{"a member of three sees one other", nil, who("a", "b", "c"), "b", who("b", "c"), 2 * time.Second, true, false},
		{"a member of three is alone", nil, who("a", "b", "c"), "b", who("b"), 2 * time.Second, false, false},
		{"the only member", nil, who("b"), "b", who("b"), time.Second, false, true},
		{"the grantor before was not heard to leave", who("a"), who("b"), "b", who("b"), time.Second, false, false},
		{"a member of both epochs", who("a", "b"), who("b"), "b", who("b"), time.Second, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEscrow(who(c.self)[0], Options{})
			e.SetMembers(start, c.sees)
			layout := &Layout{}
			if c.before != nil {
				layout = layout.next(c.before)
			}
			e.SetLayout(start, layout.next(c.members))
			e.Propose(start)
			now := start.Add(c.after)
			e.SetMembers(now, c.sees)
			if _, got := e.Propose(now); got != c.proposes {
				t.Errorf("proposes: got %v, want %v", got, c.proposes)
			}
			if got := e.Ready(now); got != c.ready {
				t.Errorf("ready: got %v, want %v", got, c.ready)
			}
		})
	}
}
