package gateway

import (
	"sync"
	"time"
)

const (
	// detailedPerSecond is how many requests a second are logged whatever becomes
	// of them: some 150 KB of text a second.
	detailedPerSecond = 200
	// maxHeld bounds the lines that are kept of one request.
	maxBufferedLines = 32
)

// sampler chooses the requests that are logged in full: all of them up to a rate.
// Of the others only those that fail or are late are logged, with all their lines.
type sampler struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// take reports whether another request may be logged in full.
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

// requestLog is the log lines of one request. Its lock is taken after those of the
// tables, since steps and the end of a request may write at the same time.
type requestLog struct {
	mu        sync.Mutex
	buffering bool
	buffered  []bufferedLine
}

type bufferedLine struct {
	at    time.Time
	event event
	args  []any
}

// note records a decision on a request.
func (g *Gateway) logEvent(r *request, e event, args ...any) {
	args = append([]any{"request", r.message.ID}, args...)
	s := &r.log
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buffering {
		if len(s.buffered) < maxBufferedLines {
			s.buffered = append(s.buffered, bufferedLine{at: g.clock.Now(), event: e, args: args})
		}
		return
	}
	g.log.Info(string(e), args...)
}

// noteTrouble records a decision on a request that does not go well, and all that
// was held back of it, with the times of then.
func (g *Gateway) flushAndLogEvent(r *request, e event, args ...any) {
	s := &r.log
	s.mu.Lock()
	for _, l := range s.buffered {
		g.log.Info(string(l.event), append(l.args, "at", l.at.UTC().Format(time.RFC3339Nano))...)
	}
	s.buffering, s.buffered = false, nil
	s.mu.Unlock()
	g.logEvent(r, e, args...)
}

// dropped reports whether the lines of a request that went well stay unwritten.
func (s *requestLog) sampledOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffering
}

// late reports whether an answer came later than what earns the full credit.
func (r *request) late() bool {
	return r.lateFirst() || r.lateGap()
}

func (r *request) lateFirst() bool {
	return r.route.Objective > 0 && !r.firstEventAt.IsZero() && r.firstEventAt.Sub(r.arrived) > r.route.Objective
}

func (r *request) lateGap() bool {
	return r.route.MaxGap > 0 && r.longestGap > r.route.MaxGap
}

// logAdmitted records that a request has a row, with what that rests on.
func (g *Gateway) logAdmitted(r *request) {
	r.log.buffering = !g.sampler.allow(r.arrived)
	g.logEvent(r, eventAdmitted, "route", r.route.Name, "account", r.accountID(), "service", r.service, "config", r.version,
		"cost", r.cost, "prompt", r.message.Prompt, "caller_waits_ms", r.message.Patience.Milliseconds())
}
