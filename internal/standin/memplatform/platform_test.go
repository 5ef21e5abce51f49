package memplatform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/platform/platformtest"
)

// TestContract runs the tests that each implementation of package platform must pass.
func TestContract(t *testing.T) {
	platformtest.Run(t, func(*testing.T) platformtest.Implementation {
		p := memplatform.New()
		return platformtest.Implementation{Table: p.Table, Objects: p.Objects, Instances: p.Instances, Weights: p.Weights, Standin: p}
	})
}

// TestListLags guards against a list that shows a change before or after the lag:
// each change becomes visible exactly one lag after it was made.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 10 * time.Second
		p := memplatform.New()
		p.Instances.SetLag(lag)
		steps := []struct {
			name   string
			change func()
			wait   time.Duration
			want   int
		}{
			{"before the first is shown", func() { p.Instances.Put(platform.ListedInstance{Name: "a"}) }, lag - 1, 0},
			{"first is shown", func() {}, 1, 1},
			{"second not yet", func() { p.Instances.Put(platform.ListedInstance{Name: "b"}) }, lag / 2, 1},
			{"removed before the second shows", func() { p.Instances.Remove("a") }, lag / 2, 2},
			{"removal shows", func() {}, lag, 1},
		}
		for _, s := range steps {
			s.change()
			time.Sleep(s.wait)
			list, err := p.Instances.List(t.Context())
			if err != nil || len(list) != s.want {
				t.Errorf("%s: got %v, %v, want %d", s.name, list, err, s.want)
			}
		}
	})
}
