// Package health implements outlier detection for groups of upstreams. A member
// that fails several times in a row, or is much slower than the group's median,
// is ejected for a time and then probed with single requests. The ejected share
// of a group is capped, because a failure of most members usually has a cause
// outside of them. Groups have no lock of their own: the caller must not use a
// group or its members concurrently.
package health

import (
	"slices"
	"time"
)

// Options configure the detection; zero fields get the defaults.
type Options struct {
	// Failures is the number of consecutive failures that ejects a member.
	Failures int
	// SlowFactor is the multiple of the group's median latency above which a
	// member is ejected.
	SlowFactor float64
	// SlowFloor is the latency up to which no member is ejected as slow.
	SlowFloor time.Duration
	// Samples is the number of answers after which a member's latency is used.
	Samples int
	// MaxShare bounds the share of the group that may be ejected at a time.
	MaxShare float64
	// EjectFor is the duration of the first ejection; each further one lasts twice
	// as long, up to MaxEject.
	EjectFor, MaxEject time.Duration
	// ProbeWait is the timeout of a probe, after which another one may be sent.
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

// compareInterval is the shortest time between two comparisons of a group's
// latencies. Comparing on each answer would make its cost grow with the group.
const compareInterval = time.Second

// latencyWeight is the weight of a new answer in the moving average of latency.
const latencyWeight = 0.2

// ejectionResetAfter without a failure resets the duration of the next ejection to
// Options.EjectFor.
const ejectionResetAfter = 5 * time.Minute

func (o Options) withDefaults() Options {
	setDefault(&o.Failures, DefaultFailures)
	setDefault(&o.SlowFactor, DefaultSlowFactor)
	setDefault(&o.SlowFloor, DefaultSlowFloor)
	setDefault(&o.Samples, DefaultSamples)
	setDefault(&o.MaxShare, DefaultMaxShare)
	setDefault(&o.EjectFor, DefaultEject)
	setDefault(&o.MaxEject, DefaultMaxEject)
	setDefault(&o.ProbeWait, DefaultProbeWait)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Verdict is the eligibility of a member for work.
type Verdict uint8

const (
	// Healthy members get work.
	Healthy Verdict = iota
	// Probing members get one request at a time, whose result ends or extends the
	// ejection.
	Probing
	// Ejected members get no work.
	Ejected
)

// Group is a set of members that do the same work, so that their latencies can be
// compared.
type Group struct {
	options    Options
	members    map[*Member]struct{}
	ejected    int
	comparedAt time.Time
}

// Member is one upstream of a group.
type Member struct {
	group               *Group
	consecutiveFailures int
	samples             int
	latency             time.Duration
	ejected             bool
	ejectedUntil        time.Time
	ejectionLength      time.Duration
	probedAt            time.Time
	failedAt            time.Time
}

// NewGroup returns a group without members.
func NewGroup(options Options) *Group {
	return &Group{options: options.withDefaults(), members: make(map[*Member]struct{})}
}

// AddMember adds a new, healthy member to the group and returns it.
func (g *Group) AddMember() *Member {
	m := &Member{group: g}
	g.members[m] = struct{}{}
	return m
}

// Remove removes the member from its group, which also frees its place among the
// ejected. The member must not be used afterwards.
func (m *Member) Remove() {
	m.restore()
	delete(m.group.members, m)
}

// Len returns the number of members.
func (g *Group) Len() int {
	return len(g.members)
}

// ConsecutiveFailures returns the number of consecutive failures since the last success.
func (m *Member) ConsecutiveFailures() int {
	return m.consecutiveFailures
}

// Verdict returns the eligibility of the member at the given time.
func (m *Member) Verdict(now time.Time) Verdict {
	switch {
	case !m.ejected:
		return Healthy
	case now.Before(m.ejectedUntil):
		return Ejected
	case now.Sub(m.probedAt) < m.group.options.ProbeWait:
		return Ejected
	default:
		return Probing
	}
}

// RecordProbe records that the caller sent a request to a member whose verdict is Probing,
// so that it gets no other one within ProbeWait. It sends nothing.
func (m *Member) RecordProbe(now time.Time) {
	m.probedAt = now
}

// RecordFailure records a failure of the member. The member is ejected after
// Options.Failures in a row, and again at once if its ejection time is over.
func (m *Member) RecordFailure(now time.Time) {
	m.consecutiveFailures++
	if now.Sub(m.failedAt) > ejectionResetAfter {
		m.ejectionLength = 0
	}
	m.failedAt = now
	switch {
	case m.ejected && !now.Before(m.ejectedUntil):
		m.startEjection(now)
	case !m.ejected && m.consecutiveFailures >= m.group.options.Failures:
		m.eject(now)
	}
}

// RecordSuccess records an answer of the member and its latency. It ends an ejection
// whose time is over; an answer during an ejection does not end it.
func (m *Member) RecordSuccess(now time.Time, took time.Duration) {
	m.consecutiveFailures = 0
	if m.ejected && !now.Before(m.ejectedUntil) {
		m.restore()
		m.samples = 0
	}
	m.sample(took)
	m.group.ejectSlow(now)
}

// sample updates the moving average of the latency.
func (m *Member) sample(took time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.latency = took
		return
	}
	m.latency += time.Duration(latencyWeight * float64(took-m.latency))
}

// ejectSlow ejects the sampled members above slowLimit, at most once per compareInterval.
func (g *Group) ejectSlow(now time.Time) {
	if now.Sub(g.comparedAt) < compareInterval {
		return
	}
	g.comparedAt = now
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

// slowLimit returns the latency above which a member is ejected; ok is false if
// fewer than 3 members have enough samples.
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

// eject ejects the member unless MaxShare of the group is ejected already.
func (m *Member) eject(now time.Time) {
	allowed := int(m.group.options.MaxShare * float64(len(m.group.members)))
	if m.group.ejected >= allowed {
		return
	}
	m.ejected = true
	m.group.ejected++
	m.startEjection(now)
}

// startEjection starts an ejection that lasts twice as long as the last one, within EjectFor
// and MaxEject.
func (m *Member) startEjection(now time.Time) {
	m.ejectionLength = min(max(2*m.ejectionLength, m.group.options.EjectFor), m.group.options.MaxEject)
	m.ejectedUntil = now.Add(m.ejectionLength)
	m.probedAt = time.Time{}
}

// restore ends the ejection, if there is one.
func (m *Member) restore() {
	if m.ejected {
		m.ejected = false
		m.group.ejected--
	}
}
