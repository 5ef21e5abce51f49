package rate_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/internal/ratesim"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that runs are repeatable. For a longer run:
// go test ./contract/rate -run BoundHolds -rapid.checks=3000 -rapid.seed=77
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// tolerance allows for rounding errors, in tokens.
const tolerance = 0.01

const runFor = 40 * time.Second

// runRandomFleet runs a random fleet at three times the rate with random
// faults.
func runRandomFleet(t *rapid.T, policy string, options rate.Options) *ratesim.Fleet {
	n := rapid.IntRange(1, 5).Draw(t, "entries")
	account := contract.ClientAccount{ID: "a", Rate: contract.Rate{PerSecond: 1000, Burst: 2000}}
	f, err := ratesim.NewFleet(ratesim.Options{
		Policy: policy, Entries: n, Zones: 3, Rate: options,
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Loss:     rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss"),
		Repeat:   rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat"),
		Late:     rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		LateBy:   4 * time.Second,
		Drift:    0.002,
		Accounts: []contract.ClientAccount{account},
	})
	if err != nil {
		t.Fatal(err)
	}
	calls(t, f, n)
	for i := range rapid.IntRange(0, 12).Draw(t, "faults") {
		fault(t, f, fmt.Sprint("fault ", i))
	}
	f.Run(runFor)
	return f
}

// calls schedules requests for three times the rate, in bursts with pauses
// between. The busiest entry gets two thirds of them, the rest is divided equally.
func calls(t *rapid.T, f *ratesim.Fleet, n int) {
	busiest := rapid.IntRange(0, n-1).Draw(t, "busiest")
	use := rapid.SampledFrom([]float64{1, 0.4}).Draw(t, "use")
	for s := 2; s < int(runFor/time.Second); s++ {
		if s%8 < 3 {
			continue
		}
		for i := range 30 {
			at := time.Duration(s)*time.Second + time.Duration(i)*33*time.Millisecond
			e := f.Entries[busiest]
			if i%3 == 0 {
				e = f.Entries[i%n]
			}
			cost := contract.Tokens(100)
			if i == 7 {
				cost = 1500
			}
			f.At(at, func() { f.Request(e, "a", cost, 300*time.Millisecond, use) })
		}
	}
}

func fault(t *rapid.T, f *ratesim.Fleet, name string) {
	ms := func(what string, to int) time.Duration {
		return time.Duration(rapid.IntRange(0, to).Draw(t, name+what)) * time.Millisecond
	}
	at, lasts := ms(" at", 35_000), ms(" lasts", 9000)
	e := f.Entries[rapid.IntRange(0, len(f.Entries)-1).Draw(t, name+" of")]
	other := f.Entries[rapid.IntRange(0, len(f.Entries)-1).Draw(t, name+" with")]
	switch rapid.SampledFrom([]string{"pause", "crash", "cut", "cut from all entries", "store down", "cut from the store"}).Draw(t, name) {
	case "pause":
		f.At(at, func() { f.Pause(e, lasts) })
	case "crash":
		f.At(at, func() { f.Crash(e) })
		f.At(at+lasts, func() {
			if !e.Up {
				_ = f.Start(e)
			}
		})
	case "cut":
		f.At(at, func() { f.SetCut(e, other, true) })
		f.At(at+lasts, func() { f.SetCut(e, other, false) })
	case "cut from all entries":
		for _, o := range f.Entries {
			f.At(at, func() { f.SetCut(e, o, true) })
			f.At(at+lasts, func() { f.SetCut(e, o, false) })
		}
	case "store down":
		f.At(at, func() { f.StoreDown = true })
		f.At(at+lasts, func() { f.StoreDown = false })
	case "cut from the store":
		f.At(at, func() { f.SetStoreCut(e, true) })
		f.At(at+lasts, func() { f.SetStoreCut(e, false) })
	}
}

func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := runRandomFleet(t, rate.PolicyEscrow, rate.Options{})
		if got := f.Tally("a"); got.MaxExcess > tolerance {
			t.Fatalf("%.2f tokens over the bound", got.MaxExcess)
		}
	})
}

// TestBoundNeedsLeases cuts one entry off while callers still reach it. The
// bound holds with the lease that the grantors wait for, and breaks with a
// longer one.
func TestBoundNeedsLeases(t *testing.T) {
	for lease, broken := range map[time.Duration]bool{rate.LeaseDuration: false, 8 * time.Second: true} {
		account := contract.ClientAccount{ID: "a", Rate: contract.Rate{PerSecond: 1000, Burst: 2000}}
		f, err := ratesim.NewFleet(ratesim.Options{
			Policy: rate.PolicyEscrow, Entries: 3, Zones: 3, Seed: 1,
			Rate: rate.Options{LeaseDuration: lease}, Accounts: []contract.ClientAccount{account},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.Run(10 * time.Second)
		for _, other := range f.Entries[1:] {
			f.SetCut(f.Entries[0], other, true)
		}
		f.SetStoreCut(f.Entries[0], true)
		for i := range 800 {
			f.At(12*time.Second+time.Duration(i)*10*time.Millisecond, func() { f.Request(f.Entries[i%3], "a", 30, 0, 1) })
		}
		f.Run(25 * time.Second)
		if got := f.Tally("a"); (got.MaxExcess > tolerance) != broken {
			t.Errorf("lease %v: %.2f tokens over the bound; want the bound broken: %v", lease, got.MaxExcess, broken)
		}
	}
}
