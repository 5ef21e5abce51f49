package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const (
	// MaxSeries bounds the series of one instance. Requests of further accounts
	// are counted under OtherAccounts, one series per route.
	MaxSeries = 16_384
	// OtherAccounts stands for all accounts beyond MaxSeries.
	OtherAccounts contract.AccountID = "(others)"
	// maxLatency is the upper limit of the histograms in microseconds; longer
	// latencies are recorded as maxLatency.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits is the histograms' precision in significant decimal digits.
	latencyDigits = 2
)

// Event describes one ended request.
type Event struct {
	Key
	Counts
	// FirstToken is the time to the first token and LongestGap the longest gap
	// between tokens; 0 if there was none.
	FirstToken, LongestGap time.Duration
}

// Recorder counts the ended requests of one instance. It is not safe for
// concurrent use; an entry keeps it in a shared table with lock rank
// table.RankStats.
type Recorder struct {
	started time.Time
	series  map[Key]*[len(Windows)]ring
	first   map[contract.RouteName]*hdrhistogram.Histogram
	gap     map[contract.RouteName]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder; its data starts at now.
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
		e.Account = OtherAccounts
		rings, ok = r.series[e.Key]
	}
	if !ok {
		rings = new([len(Windows)]ring)
		r.series[e.Key] = rings
	}
	for i, window := range Windows {
		rings[i].add(now, window, e.Counts)
	}
	recordLatency(r.first, e.Route, e.FirstToken)
	recordLatency(r.gap, e.Route, e.LongestGap)
}

// recordLatency adds d to the histogram of route; 0 means no value.
func recordLatency(histograms map[contract.RouteName]*hdrhistogram.Histogram, route contract.RouteName, d time.Duration) {
	if d <= 0 {
		return
	}
	h, ok := histograms[route]
	if !ok {
		h = hdrhistogram.New(1, maxLatency, latencyDigits)
		histograms[route] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// Latency is a route's latency on one instance since the instance started.
type Latency struct {
	Route contract.RouteName
	// FirstToken and Gap are 95th percentiles over requests; 0 without data.
	FirstToken, Gap time.Duration
}

// Snapshot is the state of one instance's Recorder.
type Snapshot struct {
	Instance string
	// At and Started are by the instance's clock. Data before Started is
	// missing.
	At, Started time.Time
	Series      []Series
	Latencies   []Latency
}

// Snapshot returns a copy of all series and latencies, sorted by key.
func (r *Recorder) Snapshot(now time.Time, instance string) Snapshot {
	s := Snapshot{Instance: instance, At: now, Started: r.started}
	for key, rings := range r.series {
		out := Series{Key: key}
		for i, window := range Windows {
			out.Windows[i] = rings[i].sum(now, window)
		}
		s.Series = append(s.Series, out)
	}
	slices.SortFunc(s.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	for route, h := range r.first {
		s.Latencies = append(s.Latencies, Latency{Route: route, FirstToken: quantile(h), Gap: quantile(r.gap[route])})
	}
	slices.SortFunc(s.Latencies, func(a, b Latency) int { return cmp.Compare(a.Route, b.Route) })
	return s
}

// latencyPercentile is the percentile of the reported latencies.
const latencyPercentile = 95

func quantile(h *hdrhistogram.Histogram) time.Duration {
	if h == nil || h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(latencyPercentile)) * time.Microsecond
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}
