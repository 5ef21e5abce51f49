package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const (
	// MaxSeries bounds the series of one instance; the accounts beyond it are
	// counted together as Others.
	MaxSeries = 16_384
	// Others is the account of all those beyond MaxSeries.
	Others contract.AccountID = "(others)"
	// longestLatency and latencyDigits bound the histograms.
	longestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
)

// Event is one ended request.
type Event struct {
	Key
	Counts
	// FirstToken and LongestGap are 0 when there was none.
	FirstToken, LongestGap time.Duration
}

// Recorder counts what one instance served. It is a plain object: it lives in
// the shared table of rank stats.
type Recorder struct {
	started time.Time
	series  map[Key]*[len(Windows)]ring
	first   map[contract.RouteName]*hdrhistogram.Histogram
	gap     map[contract.RouteName]*hdrhistogram.Histogram
}

// NewRecorder returns a recorder that knows nothing of the time before now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{
		started: now,
		series:  make(map[Key]*[len(Windows)]ring),
		first:   make(map[contract.RouteName]*hdrhistogram.Histogram),
		gap:     make(map[contract.RouteName]*hdrhistogram.Histogram),
	}
}

// Record counts one ended request.
func (r *Recorder) Record(now time.Time, e Event) {
	rings, ok := r.series[e.Key]
	if !ok && len(r.series) >= MaxSeries {
		e.Account = Others
		rings, ok = r.series[e.Key]
	}
	if !ok {
		rings = new([len(Windows)]ring)
		r.series[e.Key] = rings
	}
	for i, window := range Windows {
		rings[i].add(now, window, e.Counts)
	}
	record(r.first, e.Route, e.FirstToken)
	record(r.gap, e.Route, e.LongestGap)
}

func record(all map[contract.RouteName]*hdrhistogram.Histogram, route contract.RouteName, d time.Duration) {
	if d <= 0 {
		return
	}
	h, ok := all[route]
	if !ok {
		h = hdrhistogram.New(1, longestLatency, latencyDigits)
		all[route] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatency))
}

// Latency is a route's latency since the instance started.
type Latency struct {
	Route contract.RouteName
	// FirstToken and Gap are 95 in 100 of the requests; 0 when there were none.
	FirstToken, Gap time.Duration
}

// Snapshot is what one instance tells.
type Snapshot struct {
	Instance string
	// At and Started are by the instance's clock; it knows nothing of the time
	// before Started.
	At, Started time.Time
	Series      []Series
	Latencies   []Latency
}

// Snapshot gives all series, sorted.
func (r *Recorder) Snapshot(now time.Time, instance string) Snapshot {
	s := Snapshot{Instance: instance, At: now, Started: r.started}
	for key, rings := range r.series {
		one := Series{Key: key}
		for i, window := range Windows {
			one.Windows[i] = rings[i].sum(now, window)
		}
		s.Series = append(s.Series, one)
	}
	slices.SortFunc(s.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	for route, h := range r.first {
		s.Latencies = append(s.Latencies, Latency{Route: route, FirstToken: quantile(h), Gap: quantile(r.gap[route])})
	}
	slices.SortFunc(s.Latencies, func(a, b Latency) int { return cmp.Compare(a.Route, b.Route) })
	return s
}

// reported is the quantile of latencies, in percent.
const reported = 95

func quantile(h *hdrhistogram.Histogram) time.Duration {
	if h == nil || h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(reported)) * time.Microsecond
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}
