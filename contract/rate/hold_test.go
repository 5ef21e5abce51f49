package rate_test

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/internal/ratesim"
)

// overAfterCut returns the most tokens granted beyond the bound when an entry
// joins two others while one of them, still alive, is cut off. It tries many
// moments for the cut, since only some fall right before the new layout.
func overAfterCut(t *testing.T, lease time.Duration) (over float64) {
	t.Helper()
	const joins, step, cuts = 10 * time.Second, 50 * time.Millisecond, 60
	account := contract.ClientAccount{ID: "a", Rate: contract.Rate{PerSecond: 1000, Burst: 200}}
	for i := range cuts {
		f, err := ratesim.NewFleet(ratesim.Options{
			Policy: rate.PolicyEscrow, Entries: 3, Zones: 3, Seed: 1,
			Rate: rate.Options{LeaseDuration: lease}, Accounts: []contract.ClientAccount{account},
		})
		if err != nil {
			t.Fatal(err)
		}
		isolated, joiner := f.Entries[1], f.Entries[2]
		f.Crash(joiner)
		f.At(joins, func() {
			if err := f.Start(joiner); err != nil {
				t.Error(err)
			}
		})
		f.At(joins+time.Duration(i)*step, func() {
			f.SetStoreCut(isolated, true)
			for _, other := range []*ratesim.Entry{f.Entries[0], joiner} {
				f.SetCut(isolated, other, true)
			}
		})
		const calls = 2400
		for n := range calls {
			e := f.Entries[n%len(f.Entries)]
			f.At(joins-2*time.Second+time.Duration(n)*5*time.Millisecond, func() { f.Request(e, "a", 20, 0, 1) })
		}
		f.Run(joins + 12*time.Second)
		over = max(over, f.Tally("a").MaxExcess)
	}
	return over
}

// TestExpiryWaitCoversLease guards against two entries spending the same tokens. An
// entry is cut off right before a layout takes a part of its share away: its leases
// last for LeaseDuration while the others wait LeaseExpiryWait. With leases of twice
// LeaseExpiryWait the bound breaks.
func TestExpiryWaitCoversLease(t *testing.T) {
	for _, tt := range []struct {
		name   string
		lease  time.Duration
		broken bool
	}{
		{"lease within the expiry wait", rate.LeaseDuration, false},
		{"lease of twice the expiry wait", 2 * rate.LeaseExpiryWait, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := overAfterCut(t, tt.lease); (got > tolerance) != tt.broken {
				t.Errorf("%.2f tokens over the bound; want the bound broken: %v", got, tt.broken)
			}
		})
	}
}
