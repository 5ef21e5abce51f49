package demand

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windows and HalfLife, the length of each, bound the age of the values in a window.
const windows = 3

// significantDigits is the precision of the values in a window.
const significantDigits = 2

// window holds the distribution of the recent values of one quantity.
type window struct {
	least, most int64
	histogram   *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time
}

// newWindow returns an empty window. Values outside of the range are recorded as its
// bounds.
func newWindow(least, most int64) window {
	return window{least: least, most: most}
}

func (w *window) record(now time.Time, value float64) {
	if w.histogram == nil {
		w.histogram = hdrhistogram.NewWindowed(windows, w.least, w.most, significantDigits)
		w.rotatedAt = now
	}
	if now.Sub(w.rotatedAt) >= HalfLife {
		w.histogram.Rotate()
		w.rotatedAt = now
	}
	// The value is within the range of the histogram, so it is always recorded.
	_ = w.histogram.Current.RecordValue(min(max(int64(value), w.least), w.most))
}

// outliers is the number of values above a quantile at least: so few values may be much too
// high without any effect.
const outliers = 2

// quantile returns the number of values and their percentile, a lower one if there are few
// values.
func (w *window) quantile(percentile float64) (count, value float64) {
	if w.histogram == nil {
		return 0, 0
	}
	merged := w.histogram.Merge()
	count = float64(merged.TotalCount())
	percentile = min(percentile, 100*(1-outliers/count))
	return count, float64(merged.ValueAtQuantile(max(0, percentile)))
}
