// Package health decides which upstreams of a group are outliers: those that
// fail again and again, or answer far slower than their peers. Outliers are
// ejected for a time and probed back with single requests. A cap bounds how
// many of a group are ejected, because a fault of most of them is not a fault
// of the upstreams.
package health

import (
	"slices"
	"time"
)

// Options configure the detection; zero fields get the defaults.
type Options struct {
	// Failures in a row eject a member.
	Failures int
	// SlowFactor times the median latency of the group ejects a member.
	SlowFactor float64
	// SlowFloor is a latency under which nobody is slow.
	SlowFloor time.Duration
	// Samples are the answers needed before a latency counts.
	Samples int
	// MaxShare bounds the ejected share of the group.
	MaxShare float64
	// Eject is the first ejection's length; it doubles up to MaxEject.
	Eject, MaxEject time.Duration
	// ProbeWait is how long a probe may take before the next one is sent.
	ProbeWait time.Duration
}

// Defaults of Options.
const (
	DefaultFailures   = 3
	DefaultSlowFactor = 4
	DefaultSlowFloor  = 100 * time.Millisecond
	DefaultSamples    = 8
	DefaultMaxShare   = 0.5
	DefaultEject      = 2 * time.Second
	DefaultMaxEject   = time.Minute
	DefaultProbeWait  = 2 * time.Second
)

// compareEvery is how often the latencies of a group are compared, so that the
// cost of an answer does not grow with the group.
const compareEvery = time.Second

// latencyWeight is the weight of a new answer in the mean latency.
const latencyWeight = 0.2

// quietTime without a failure makes the next ejection short again.
const quietTime = 5 * time.Minute

func (o Options) withDefaults() Options {
	setDefault(&o.Failures, DefaultFailures)
	setDefault(&o.SlowFactor, DefaultSlowFactor)
	setDefault(&o.SlowFloor, DefaultSlowFloor)
	setDefault(&o.Samples, DefaultSamples)
	setDefault(&o.MaxShare, DefaultMaxShare)
	setDefault(&o.Eject, DefaultEject)
	setDefault(&o.MaxEject, DefaultMaxEject)
	setDefault(&o.ProbeWait, DefaultProbeWait)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Verdict says what work a member may get.
type Verdict uint8

const (
	// Healthy members get work.
	Healthy Verdict = iota
	// Probing members get one request at a time, to see whether they are well.
	Probing
	// Ejected members get no work.
	Ejected
)

// Group is a set of members that do the same work.
type Group struct {
	options  Options
	members  map[*Member]struct{}
	ejected  int
	compared time.Time
}

// Member is one upstream of a group.
type Member struct {
	group    *Group
	streak   int
	samples  int
	latency  time.Duration
	ejected  bool
	until    time.Time
	length   time.Duration
	probedAt time.Time
	failedAt time.Time
}

// NewGroup returns an empty group.
func NewGroup(options Options) *Group {
	return &Group{options: options.withDefaults(), members: make(map[*Member]struct{})}
}

// Join adds a member.
func (g *Group) Join() *Member {
	m := &Member{group: g}
	g.members[m] = struct{}{}
	return m
}

// Leave takes the member out of its group.
func (m *Member) Leave() {
	m.restore()
	delete(m.group.members, m)
}

// Streak gives how often the member failed since its last success.
func (m *Member) Streak() int {
	return m.streak
}

// Verdict says what work the member may get now.
func (m *Member) Verdict(now time.Time) Verdict {
	switch {
	case !m.ejected:
		return Healthy
	case now.Before(m.until):
		return Ejected
	case now.Sub(m.probedAt) < m.group.options.ProbeWait:
		return Ejected
	default:
		return Probing
	}
}

// Probe records that a request was sent to a member whose verdict is Probing.
func (m *Member) Probe(now time.Time) {
	m.probedAt = now
}

// Failed records a failure of the member.
func (m *Member) Failed(now time.Time) {
	m.streak++
	if now.Sub(m.failedAt) > quietTime {
		m.length = 0
	}
	m.failedAt = now
	switch {
	case m.ejected && !now.Before(m.until):
		m.extend(now)
	case !m.ejected && m.streak >= m.group.options.Failures:
		m.eject(now)
	}
}

// Succeeded records an answer of the member and how long it took.
func (m *Member) Succeeded(now time.Time, took time.Duration) {
	m.streak = 0
	if m.ejected && !now.Before(m.until) {
		m.restore()
		m.samples = 0
	}
	m.sample(took)
	m.group.compare(now)
}

func (m *Member) sample(took time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.latency = took
		return
	}
	m.latency += time.Duration(latencyWeight * float64(took-m.latency))
}

// compare ejects members that are much slower than the group's median.
func (g *Group) compare(now time.Time) {
	if now.Sub(g.compared) < compareEvery {
		return
	}
	g.compared = now
	limit, ok := g.slowLimit()
	if !ok {
		return
	}
	for m := range g.members {
		if !m.ejected && m.samples >= g.options.Samples && m.latency > limit {
			m.eject(now)
		}
	}
}

// slowLimit gives the latency above which a member is slow; ok is false when
// too few members have one.
func (g *Group) slowLimit() (limit time.Duration, ok bool) {
	var latencies []time.Duration
	for m := range g.members {
		if m.samples >= g.options.Samples {
			latencies = append(latencies, m.latency)
		}
	}
	if len(latencies) < 3 {
		return 0, false
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	return max(g.options.SlowFloor, time.Duration(g.options.SlowFactor*float64(median))), true
}

// eject takes the member out of service unless too many already are.
func (m *Member) eject(now time.Time) {
	allowed := int(m.group.options.MaxShare * float64(len(m.group.members)))
	if m.group.ejected >= allowed {
		return
	}
	m.ejected = true
	m.group.ejected++
	m.extend(now)
}

// extend begins the next ejection, twice as long as the last.
func (m *Member) extend(now time.Time) {
	m.length = min(max(2*m.length, m.group.options.Eject), m.group.options.MaxEject)
	m.until = now.Add(m.length)
	m.probedAt = time.Time{}
}

// restore ends the ejection.
func (m *Member) restore() {
	if m.ejected {
		m.ejected = false
		m.group.ejected--
	}
}
