package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// latencyBounds are the inclusive upper bounds of the histogram buckets.
var latencyBounds = []time.Duration{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second,
	4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// Histogram counts durations by bucket (see LatencyBounds); the last count is for
// durations above all bounds. Counts is nil until the first duration.
type Histogram struct {
	Counts []uint64
	Sum    time.Duration
}

func (h *Histogram) add(d time.Duration) {
	if h.Counts == nil {
		h.Counts = make([]uint64, len(latencyBounds)+1)
	}
	at := 0
	for at < len(latencyBounds) && d > latencyBounds[at] {
		at++
	}
	h.Counts[at]++
	h.Sum += d
}

// LatencyBounds returns the inclusive upper bounds of a Histogram's buckets. The caller
// must not change them.
func LatencyBounds() []time.Duration {
	return latencyBounds
}

// OutcomeKey is the key by which ended requests are counted. Outcome is "answered" or
// the code of the refusal.
type OutcomeKey struct {
	Route   contract.RouteName
	Outcome string
}

// AttemptKey is the key by which failed calls to upstreams are counted. Upstream is
// "other" for upstreams that left and for calls beyond maxAttemptKeys.
type AttemptKey struct {
	Upstream upstream.ID
	// Call is the kind of call: stream, prefill, or call for a plain request. Reach is
	// a runner.Reach.
	Call, Reach string
}

// Phases of a request for a model.
const (
	// PhaseReserve lasts from the arrival to the reservation at a decode engine;
	// metrics name it place.
	PhaseReserve = "place"
	// PhasePrefill is one successful prefill.
	PhasePrefill = "prefill"
)

// maxAttemptKeys bounds the keys of failed attempts, since upstreams come and go.
// Beyond it, failures with a new key are counted as those of otherUpstreams.
const maxAttemptKeys = 2000

// Metrics are the counters of one process. They have their own lock, since they are
// read outside of the pool; it comes last in the lock order.
type Metrics struct {
	mu             sync.Mutex
	outcomes       map[OutcomeKey]uint64
	refusals       map[contract.Code]uint64
	firstEvent     map[contract.RouteName]*Histogram
	total          map[contract.RouteName]*Histogram
	configVersion  uint64
	sampledOut     uint64
	failedAttempts map[AttemptKey]uint64
	phases         map[string]*Histogram
	serviceLevels  *burn.Recorder
	crashes        CrashCounts
	notices        NoticeCounts
	sendStops      map[SendStopKey]uint64
	exclusions     ExclusionCounts
	// routes are those of the configuration in force; nil until one is known.
	routes map[contract.RouteName]bool
	names  NameCounts
	// exchanges are those that this process started.
	exchanges ExchangeCounts
	// noRoom counts the requests that were refused because they would wait in vain, by rank.
	noRoom [directory.MaxRanks]uint64
}

func (m *Metrics) recordNoRoom(rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noRoom[min(rank, len(m.noRoom)-1)]++
}

// ExchangeCounts counts the exchanges with peers that a process started, by their results, and
// the configurations that it gave to peers.
type ExchangeCounts struct {
	Completed, Failed, ConfigsSent uint64
}

func (m *Metrics) recordExchange(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.exchanges.Failed++
		return
	}
	m.exchanges.Completed++
}

func (m *Metrics) recordConfigSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exchanges.ConfigsSent++
}

// NoticeCounts counts the answers of upstreams that said that they leave, and those that
// asked for a pause.
type NoticeCounts struct {
	Leaving, Pause uint64
}

func (m *Metrics) recordNotice(n runner.Notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Leaving {
		m.notices.Leaving++
	}
	if n.Pause > 0 {
		m.notices.Pause++
	}
}

// CrashCounts counts the calls that broke off at a crash of their upstream: those that had
// delivered part of an answer and those that had not.
type CrashCounts struct {
	Begun, NotBegun uint64
}

func (m *Metrics) recordCrash(begun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if begun {
		m.crashes.Begun++
		return
	}
	m.crashes.NotBegun++
}

// NewMetrics returns counters at zero, whose service levels start at now.
func NewMetrics(now time.Time) *Metrics {
	return &Metrics{
		serviceLevels:  burn.NewRecorder(now),
		outcomes:       make(map[OutcomeKey]uint64),
		refusals:       make(map[contract.Code]uint64),
		firstEvent:     make(map[contract.RouteName]*Histogram),
		total:          make(map[contract.RouteName]*Histogram),
		failedAttempts: make(map[AttemptKey]uint64),
		phases:         make(map[string]*Histogram),
		sendStops:      make(map[SendStopKey]uint64),
	}
}

// recordFailedAttempt counts a call that led to no answer for the caller.
func (m *Metrics) recordFailedAttempt(k AttemptKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.failedAttempts[k]; !ok && len(m.failedAttempts) >= maxAttemptKeys {
		k.Upstream = otherUpstreams
	}
	m.failedAttempts[k]++
}

func (m *Metrics) recordPhase(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogramFor(m.phases, name).add(took)
}

// recordSampledOut counts a request without failure whose log lines were discarded.
func (m *Metrics) recordSampledOut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sampledOut++
}

// recordRefusal counts a request that was refused at admission; route is nil if none
// matched.
func (m *Metrics) recordRefusal(now time.Time, route *directory.Route, code contract.Code) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusals[code]++
	if route == nil {
		return
	}
	c := burn.Counts{Asked: 1, Refused: 1}
	if code == contract.CodeRateLimited {
		c.RateRefused = 1
	}
	m.serviceLevels.Record(now, burn.Event{Key: burn.Key{Route: route.Name}, Counts: c})
}

func (m *Metrics) recordOutcome(r *request, refusal *contract.Refusal, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Code)
	}
	label := m.routeLabel(r.route.Name)
	m.outcomes[OutcomeKey{label, outcome}]++
	m.serviceLevels.Record(now, r.serviceLevelEvent(refusal))
	if !r.firstEventAt.IsZero() {
		histogramFor(m.firstEvent, label).add(r.firstEventAt.Sub(r.arrived))
	}
	if refusal == nil {
		histogramFor(m.total, label).add(now.Sub(r.arrived))
	}
}

// serviceLevelEvent is what an ended request adds to the service levels of its route.
// All prefills of a refused request are wasted, and all but one of an answered one.
func (r *request) serviceLevelEvent(refusal *contract.Refusal) burn.Event {
	e := burn.Event{Key: burn.Key{Route: r.route.Name}, Counts: burn.Counts{Asked: 1}, LongestGap: r.longestGap}
	wasted := r.totalPrefills
	if refusal != nil {
		e.Refused = 1
	} else {
		wasted = max(0, wasted-1)
	}
	e.PrefillTokens = uint64(r.totalPrefills) * uint64(r.message.Prompt)
	e.WastedTokens = uint64(wasted) * uint64(r.message.Prompt)
	if r.firstEventAt.IsZero() {
		return e
	}
	e.Answered, e.FirstToken = 1, r.firstEventAt.Sub(r.arrived)
	if r.lateFirst() {
		e.LateFirst = 1
	}
	if r.lateGap() {
		e.LateGap = 1
	}
	return e
}

func histogramFor[K comparable](of map[K]*Histogram, key K) *Histogram {
	h, ok := of[key]
	if !ok {
		h = &Histogram{}
		of[key] = h
	}
	return h
}

// MetricsSnapshot is a consistent copy of all counters.
type MetricsSnapshot struct {
	Outcomes          map[OutcomeKey]uint64
	Refusals          map[contract.Code]uint64
	FirstEvent, Total map[contract.RouteName]Histogram
	// ConfigVersion is the version of the configuration in force, 0 if none is known.
	ConfigVersion uint64
	// SampledOut counts requests without failure whose log lines were discarded.
	SampledOut uint64
	// FailedAttempts counts calls that led to no answer for the caller.
	FailedAttempts map[AttemptKey]uint64
	Phases         map[string]Histogram
	Crashes        CrashCounts
	Notices        NoticeCounts
	// SendStops counts the sends that the check before each send stopped.
	SendStops map[SendStopKey]uint64
	// NoRoom counts the requests that were refused because they would wait in vain, by rank.
	NoRoom     [directory.MaxRanks]uint64
	Exclusions ExclusionCounts
	Names      NameCounts
	Exchanges  ExchangeCounts
	// ServiceLevels are the service levels by route, over several windows.
	ServiceLevels burn.Snapshot
}

// Snapshot copies the counters.
func (m *Metrics) Snapshot(now time.Time) MetricsSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MetricsSnapshot{
		Outcomes:       maps.Clone(m.outcomes),
		Refusals:       maps.Clone(m.refusals),
		FirstEvent:     cloneHistograms(m.firstEvent),
		Total:          cloneHistograms(m.total),
		ConfigVersion:  m.configVersion,
		SampledOut:     m.sampledOut,
		FailedAttempts: maps.Clone(m.failedAttempts),
		Phases:         cloneHistograms(m.phases),
		Crashes:        m.crashes,
		Notices:        m.notices,
		SendStops:      maps.Clone(m.sendStops),
		NoRoom:         m.noRoom,
		Exclusions:     m.exclusions,
		Names:          m.names,
		Exchanges:      m.exchanges,
		ServiceLevels:  m.serviceLevels.Snapshot(now, ""),
	}
}

// cloneHistograms makes a deep copy.
func cloneHistograms[K comparable](of map[K]*Histogram) map[K]Histogram {
	out := make(map[K]Histogram, len(of))
	for key, h := range of {
		out[key] = Histogram{Counts: slices.Clone(h.Counts), Sum: h.Sum}
	}
	return out
}
