package quickstart_test

import (
	"context"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/quickstart"
)

// TestEveryCallerGetsItsOwnAnswer checks that all requests within the rates succeed, and
// that requests far over the rates are reported as failed and leave nothing held.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	cases := []struct {
		name    string
		rate    contract.Rate
		timeout time.Duration
		ok      bool
	}{
		{"within the rates", contract.Rate{PerSecond: 1e6, Burst: 1e6}, time.Minute, true},
		{"far over the rates", contract.Rate{PerSecond: 1, Burst: 500}, 2 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, err := fleet.FindWorkload(fleet.Wireworks)
			if err != nil {
				t.Fatal(err)
			}
			for i := range w.Accounts {
				w.Accounts[i].Rate = c.rate
			}
			f, err := fleet.Start(t.Context(), fleet.Options{Workload: w, Policy: fleet.DefaultPolicy})
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			s := quickstart.Run(ctx, f)
			if s.OK != c.ok || s.KeysSeen != 0 || s.Held != 0 {
				t.Errorf("got summary %+v", s)
			}
		})
	}
}
