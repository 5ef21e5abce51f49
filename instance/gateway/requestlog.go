package gateway

import (
	"sync"
	"time"
)

const (
	// detailedPerSecond is how many requests per second are logged regardless of
	// their outcome, about 150 KB of text per second.
	detailedPerSecond = 200
	// maxBufferedLines bounds the buffered lines of one request; later ones are
	// dropped.
	maxBufferedLines = 32
)

// sampler chooses the requests that are logged as they go, with a token bucket of one
// second's burst. Other requests are logged only if they are retried, fail or are late.
type sampler struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// allow takes a token and reports whether there was one.
func (s *sampler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refilledAt.IsZero() {
		s.tokens = detailedPerSecond
	} else if now.After(s.refilledAt) {
		s.tokens = min(detailedPerSecond, s.tokens+now.Sub(s.refilledAt).Seconds()*detailedPerSecond)
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// requestLog holds the buffered log lines of one request. It has a lock because steps
// and the end of a request may log concurrently; it comes after those of the tables in
// the lock order.
type requestLog struct {
	mu sync.Mutex
	// buffering is set if the sampler did not choose the request, until its first
	// failure.
	buffering bool
	buffered  []bufferedLine
}

type bufferedLine struct {
	at   time.Time
	text logMessage
	args []any
}

// logEvent logs an event of a request, or buffers it.
func (g *Gateway) logEvent(r *request, text logMessage, args ...any) {
	args = append([]any{"request", r.message.ID}, args...)
	s := &r.log
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buffering {
		if len(s.buffered) < maxBufferedLines {
			s.buffered = append(s.buffered, bufferedLine{at: g.clock.Now(), text: text, args: args})
		}
		return
	}
	g.log.Info(string(text), args...)
}

// flushAndLogEvent logs an event of a request with a failed attempt, a late answer or a
// refusal. It first writes the buffered lines, each with its original time as "at", and
// ends the buffering.
func (g *Gateway) flushAndLogEvent(r *request, text logMessage, args ...any) {
	s := &r.log
	s.mu.Lock()
	for _, l := range s.buffered {
		g.log.Info(string(l.text), append(l.args, "at", l.at.UTC().Format(time.RFC3339Nano))...)
	}
	s.buffering, s.buffered = false, nil
	s.mu.Unlock()
	g.logEvent(r, text, args...)
}

// sampledOut reports whether the lines of the request are still only buffered.
func (s *requestLog) sampledOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffering
}

// late reports whether the first event or a later gap missed the route's objectives.
func (r *request) late() bool {
	return r.lateFirst() || r.lateGap()
}

func (r *request) lateFirst() bool {
	return r.route.Objective > 0 && !r.firstEventAt.IsZero() && r.firstEventAt.Sub(r.arrived) > r.route.Objective
}

func (r *request) lateGap() bool {
	return r.route.MaxGap > 0 && r.longestGap > r.route.MaxGap
}

// logAdmitted logs the admission of a request and decides whether its lines are
// buffered.
func (g *Gateway) logAdmitted(r *request) {
	r.log.buffering = !g.sampler.allow(r.arrived)
	g.logEvent(r, eventAdmitted, "route", r.route.Name, "account", r.accountID(), "service", r.service, "config", r.configVersion,
		"cost", r.cost, "prompt", r.message.Prompt, "rank", r.rank, "caller_waits_ms", r.message.CallerTimeout.Milliseconds())
}
