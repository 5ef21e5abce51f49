package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const (
	// MaxSeries bounds the series of one instance. Requests of further accounts
	// are counted under OtherAccounts, one series per route, and beyond twice as many
	// series under OtherRoutes.
	MaxSeries = 16_384
	// OtherAccounts stands for all accounts beyond MaxSeries.
	OtherAccounts contract.AccountID = "(others)"
	// maxLatency is the upper limit of the histograms in microseconds; longer
	// latencies are recorded as maxLatency.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
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
	// latencies has the routes with a latency.
	latencies map[contract.RouteName]*routeLatencies
	// routes and accounts report which names exist, see Retain.
	routes   func(contract.RouteName) bool
	accounts func(contract.AccountID) bool
}

// NewRecorder returns an empty recorder; its data starts at now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{
		started:   now,
		series:    make(map[Key]*[len(Windows)]ring),
		latencies: make(map[contract.RouteName]*routeLatencies),
	}
}

// Record counts one ended request.
func (r *Recorder) Record(now time.Time, e Event) {
	e.Key = r.bounded(r.existing(e.Key))
	rings := r.ensureSeries(e.Key)
	for i, window := range Windows {
		rings[i].add(now, window, e.Counts)
	}
	if e.FirstToken <= 0 && e.LongestGap <= 0 {
		return
	}
	l := r.ensureLatencies(e.Route)
	recordLatency(&l.first, e.FirstToken)
	recordLatency(&l.gap, e.LongestGap)
}

// recordLatency adds d to a histogram; 0 means no value.
func recordLatency(l *latencies, d time.Duration) {
	if d > 0 {
		l.add(min(max(d.Microseconds(), 1), maxLatency))
	}
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
	for route, l := range r.latencies {
		if l.first.total > 0 {
			s.Latencies = append(s.Latencies, Latency{Route: route, FirstToken: quantile(&l.first), Gap: quantile(&l.gap)})
		}
	}
	slices.SortFunc(s.Latencies, func(a, b Latency) int { return cmp.Compare(a.Route, b.Route) })
	return s
}

// latencyPercentile is the percentile of the reported latencies.
const latencyPercentile = 95

func quantile(l *latencies) time.Duration {
	return time.Duration(l.quantile(latencyPercentile)) * time.Microsecond
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}
