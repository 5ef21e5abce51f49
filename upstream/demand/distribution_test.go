package demand

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestQuantile compares quantiles of random values, drawn at several processes and merged,
// with the sorted values.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		parts := make([]Distribution, rapid.IntRange(1, 5).Draw(t, "processes"))
		var values []float64
		for range rapid.IntRange(20, 2000).Draw(t, "values") {
			v := 1000 * math.Exp(random.NormFloat64())
			values = append(values, v)
			parts[random.IntN(len(parts))].add(v)
		}
		var all Distribution
		for _, p := range parts {
			all.merge(p)
		}
		if int(all.count()) != len(values) {
			t.Fatalf("%v values counted, want %d", all.count(), len(values))
		}
		slices.Sort(values)
		share := rapid.Float64Range(0.1, 0.9).Draw(t, "share")
		rank := min(int(share*float64(len(values))), len(values)-outliers-1)
		got := all.quantile(share)
		least, most := values[max(0, rank-1)]/bucketRatio, values[min(len(values)-1, rank+1)]*bucketRatio
		if got < least || got > most {
			t.Fatalf("quantile %v is %v, want %v to %v", share, got, least, most)
		}
	})
}

// TestDistributionIsBounded checks that no value makes a distribution grow without bound.
func TestDistributionIsBounded(t *testing.T) {
	var d Distribution
	for e := -300; e < 300; e += 7 {
		d.add(math.Pow(10, float64(e)))
	}
	if len(d.Counts) > maxBuckets {
		t.Errorf("%d buckets, want at most %d", len(d.Counts), maxBuckets)
	}
	if !d.valid() {
		t.Error("a distribution that add made is not valid")
	}
}

// TestOutliersAreLeftOut checks that two values far above the others do not count.
func TestOutliersAreLeftOut(t *testing.T) {
	var d Distribution
	for range 6 {
		d.add(100)
	}
	d.add(5000)
	d.add(5000)
	if got := d.quantile(0.9); got > 110 {
		t.Errorf("quantile %v of six times 100 and two outliers", got)
	}
	if got := (&Distribution{}).quantile(0.9); got != 0 {
		t.Errorf("quantile %v of nothing, want 0", got)
	}
}

func TestHalve(t *testing.T) {
	var d Distribution
	for range 100 {
		d.add(3)
	}
	d.halve(2)
	if d.count() != 25 {
		t.Errorf("%v values after two halvings of 100, want 25", d.count())
	}
	d.halve(1000)
	if d.count() != 0 {
		t.Errorf("%v values after many halvings, want 0", d.count())
	}
}
