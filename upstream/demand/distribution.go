package demand

import (
	"math"
	"slices"
)

// bucketRatio is the ratio between the bounds of a bucket, and so the precision.
const bucketRatio = 1.1

// maxBuckets bounds the buckets of a distribution: the largest value is some 10^8 times
// the smallest.
const maxBuckets = 200

// Distribution counts values by buckets whose width grows with the value, so that those of
// several processes can be merged. Its fields are exported for the encoding.
type Distribution struct {
	// First is the number of the bucket of Counts[0]; bucket n holds the values from
	// bucketRatio^n to bucketRatio^(n+1).
	First  int
	Counts []uint32
}

// add counts a positive value. A value too far from the others is ignored.
func (d *Distribution) add(value float64) {
	d.addCount(int(math.Floor(math.Log(value)/math.Log(bucketRatio))), 1)
}

func (d *Distribution) addCount(bucket int, count uint32) {
	if len(d.Counts) == 0 {
		d.First = bucket
	}
	first, end := min(d.First, bucket), max(d.First+len(d.Counts), bucket+1)
	if end-first > maxBuckets {
		return
	}
	if end-first > len(d.Counts) {
		counts := make([]uint32, end-first)
		copy(counts[d.First-first:], d.Counts)
		d.First, d.Counts = first, counts
	}
	d.Counts[bucket-d.First] += count
}

// merge adds the values of another distribution.
func (d *Distribution) merge(o Distribution) {
	for i, count := range o.Counts {
		if count > 0 {
			d.addCount(o.First+i, count)
		}
	}
}

// clone returns a copy that shares no memory.
func (d Distribution) clone() Distribution {
	d.Counts = slices.Clone(d.Counts)
	return d
}

// halve halves the weight of all values the given number of times.
func (d *Distribution) halve(times int) {
	for i := range d.Counts {
		d.Counts[i] >>= min(times, 31)
	}
}

func (d *Distribution) count() (n float64) {
	for _, count := range d.Counts {
		n += float64(count)
	}
	return n
}

// outliers is the number of values above a quantile at least: so few values may be much too
// high without any effect.
const outliers = 2

// quantile returns the value that a share of the values does not exceed, a lower one if
// there are few values, and 0 if there are none.
func (d *Distribution) quantile(share float64) float64 {
	n := d.count()
	rank := max(0, min(share*n, n-outliers))
	for i, count := range d.Counts {
		if count > 0 && rank <= float64(count) {
			return math.Pow(bucketRatio, float64(d.First+i)+rank/float64(count))
		}
		rank -= float64(count)
	}
	return 0
}

// valid reports whether a distribution is within the bounds that add keeps.
func (d *Distribution) valid() bool {
	const largest = 1 << 20
	return len(d.Counts) <= maxBuckets && d.First > -largest && d.First < largest
}
