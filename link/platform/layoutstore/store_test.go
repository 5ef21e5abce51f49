package layoutstore

import (
	"errors"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// TestSave writes epoch 1, then epoch 2 under a fault, and checks that Load
// returns the epoch that is stored.
func TestSave(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(f *memplatform.Faults)
		version uint64 // added to the version that was read
		err     error
		epoch   uint64
	}{
		{"written", func(*memplatform.Faults) {}, 0, nil, 2},
		{"another entry wrote first", func(*memplatform.Faults) {}, 1, platform.ErrConflict, 1},
		{"response lost after the write", func(f *memplatform.Faults) { f.LoseAnswers(1) }, 0, platform.ErrOutcomeUnknown, 2},
		{"store down", func(f *memplatform.Faults) { f.SetDown(true) }, 0, platform.ErrUnavailable, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := &memplatform.Faults{}
			s := New(memplatform.NewTable(faults))
			if layout, version, err := s.Load(t.Context()); layout != nil || version != 0 || err != nil {
				t.Fatalf("before the first write: %v, %d, %v", layout, version, err)
			}
			members := []instance.Identity{{Name: "entry-a", Incarnation: 7}}
			if err := s.Save(t.Context(), &rate.Layout{Epoch: 1, Members: members}, 0); err != nil {
				t.Fatal(err)
			}
			_, version, err := s.Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			c.fault(faults)
			if err := s.Save(t.Context(), &rate.Layout{Epoch: 2, Members: members}, version+c.version); !errors.Is(err, c.err) {
				t.Errorf("got %v, want %v", err, c.err)
			}
			faults.SetDown(false)
			layout, _, err := s.Load(t.Context())
			if err != nil || layout.Epoch != c.epoch || layout.Members[0] != members[0] {
				t.Errorf("got %+v, %v, want epoch %d", layout, err, c.epoch)
			}
		})
	}
}
