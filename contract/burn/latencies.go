package burn

import (
	"math"
	"math/bits"
)

// exactBits sets the precision: values below 2^exactBits are exact, larger ones have
// 2^(exactBits-1) buckets for each power of two, which keeps two significant digits.
const exactBits = 8

// latencies is a histogram of microseconds that holds buckets only from the smallest to the
// largest value seen. A histogram with all buckets takes 24 KB, which is too much for
// some thousand routes on a small machine.
type latencies struct {
	// low is the number of the first bucket in counts.
	low    int
	counts []uint32
	total  uint64
}

// bucketOf returns the number of the bucket of a positive value.
func bucketOf(v int64) int {
	shift := max(0, bits.Len64(uint64(v))-exactBits)
	return shift<<(exactBits-1) + int(v>>shift)
}

// highest returns the largest value of a bucket.
func highest(bucket int) int64 {
	shift := max(0, bucket>>(exactBits-1)-1)
	return int64(bucket-shift<<(exactBits-1)+1)<<shift - 1
}

// cover extends counts to the buckets from first to last.
func (l *latencies) cover(first, last int) {
	if len(l.counts) > 0 {
		first, last = min(first, l.low), max(last, l.low+len(l.counts)-1)
	}
	if last-first+1 == len(l.counts) {
		return
	}
	counts := make([]uint32, last-first+1)
	if len(l.counts) > 0 {
		copy(counts[l.low-first:], l.counts)
	}
	l.low, l.counts = first, counts
}

// add counts a positive value.
func (l *latencies) add(v int64) {
	bucket := bucketOf(v)
	l.cover(bucket, bucket)
	l.count(bucket, 1)
}

func (l *latencies) count(bucket int, n uint32) {
	at := &l.counts[bucket-l.low]
	*at += min(n, math.MaxUint32-*at)
	l.total += uint64(n)
}

// merge adds the counts of another histogram.
func (l *latencies) merge(o *latencies) {
	if len(o.counts) == 0 {
		return
	}
	l.cover(o.low, o.low+len(o.counts)-1)
	for i, n := range o.counts {
		if n > 0 {
			l.count(o.low+i, n)
		}
	}
}

// quantile returns the value that a share of all, in percent, does not exceed; 0 without
// any.
func (l *latencies) quantile(percent float64) int64 {
	wanted := max(1, uint64(math.Round(percent/100*float64(l.total))))
	var seen uint64
	for i, n := range l.counts {
		if seen += uint64(n); seen >= wanted {
			return highest(l.low + i)
		}
	}
	return 0
}
