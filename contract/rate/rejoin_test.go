package rate_test

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/internal/ratesim"
)

// TestRejoinKeepsOthers cuts an entry off from its peers and the table for
// longer than grantorSearchTimeout. After it reaches the table again, and
// before it has a message from any peer, it must not write a layout that leaves
// the others out.
func TestRejoinKeepsOthers(t *testing.T) {
	const cutAt, joinedAt = 10 * time.Second, 40 * time.Second
	account := contract.ClientAccount{ID: "a", Rate: contract.Rate{PerSecond: 1000, Burst: 2000}}
	for seed := range uint64(8) {
		f, err := ratesim.NewFleet(ratesim.Options{
			Policy: rate.PolicyEscrow, Entries: 3, Zones: 3, Seed: seed,
			Accounts: []contract.ClientAccount{account},
		})
		if err != nil {
			t.Fatal(err)
		}
		isolated := f.Entries[1]
		cut := func(apart bool) {
			f.SetStoreCut(isolated, apart)
			f.SetCut(isolated, f.Entries[0], apart)
			f.SetCut(isolated, f.Entries[2], apart)
		}
		f.At(cutAt, func() { cut(true) })
		f.At(joinedAt, func() { cut(false) })
		for at := joinedAt; at < joinedAt+3*time.Second; at += 50 * time.Millisecond {
			f.Run(at)
			layoutPolicy, ok := isolated.Policy.(rate.LayoutPolicy)
			if !ok {
				t.Fatal("the policy has no layout")
			}
			if members := layoutPolicy.Layout().Members; len(members) < 2 {
				t.Fatalf("seed %d, %v after the cut: layout of %v alone", seed, at-joinedAt, members)
			}
		}
	}
}
