package quickstart_test

import (
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/quickstart"
)

func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	cases := []struct {
		name string
		rate contract.Rate
		ok   bool
	}{
		{"within the rates", contract.Rate{PerSecond: 1e6, Burst: 1e6}, true},
		{"far over the rates", contract.Rate{PerSecond: 1, Burst: 500}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, err := fleet.Find(fleet.Wireworks)
			if err != nil {
				t.Fatal(err)
			}
			for i := range w.Accounts {
				w.Accounts[i].Rate = c.rate
			}
			f, err := fleet.Start(t.Context(), fleet.Options{Workload: w, Policy: fleet.DefaultPolicy, Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			s := quickstart.Run(t.Context(), f)
			if s.OK != c.ok || s.KeysSeen != 0 || s.Held != 0 {
				t.Errorf("got summary %+v", s)
			}
		})
	}
}
