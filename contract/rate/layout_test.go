package rate

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

// TestProposeAndCanGrant checks which entries may propose the next epoch, and
// which can grant tokens in the current one.
func TestProposeAndCanGrant(t *testing.T) {
	identities := func(names ...instance.Name) (list []instance.Identity) {
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
		canGrant bool
	}{
		{"a new entry sees only itself", nil, identities("a"), "b", identities("b"), grantorSearchTimeout - time.Second, false, false},
		{"a new entry sees the grantor", nil, identities("a"), "b", identities("a", "b"), time.Second, true, false},
		{"the grantors stay missing", nil, identities("a"), "b", identities("b"), grantorSearchTimeout + time.Second, true, false},
		{"a member of three sees one other", nil, identities("a", "b", "c"), "b", identities("b", "c"), 2 * time.Second, true, false},
		{"a member of three sees only itself", nil, identities("a", "b", "c"), "b", identities("b"), 2 * time.Second, false, false},
		{"the only member", nil, identities("b"), "b", identities("b"), time.Second, false, true},
		{"the previous grantor has not left yet", identities("a"), identities("b"), "b", identities("b"), time.Second, false, false},
		{"a member of both epochs", identities("a", "b"), identities("b"), "b", identities("b"), time.Second, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEscrow(identities(c.self)[0], Options{})
			e.SetMembers(start, c.sees)
			layout := &Layout{}
			if c.before != nil {
				layout = layout.next(c.before)
			}
			e.SetLayout(start, layout.next(c.members))
			e.ProposeLayout(start)
			now := start.Add(c.after)
			e.SetMembers(now, c.sees)
			if _, got := e.ProposeLayout(now); got != c.proposes {
				t.Errorf("ProposeLayout: got %v, want %v", got, c.proposes)
			}
			if got := e.CanGrant(now); got != c.canGrant {
				t.Errorf("CanGrant: got %v, want %v", got, c.canGrant)
			}
		})
	}
}
