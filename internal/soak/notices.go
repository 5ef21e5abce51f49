package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Bounds of the users on what a gateway may do after a notice of a runner.
const (
	// leavingBound is the time from an answer that says that its runner leaves to the last
	// caller's request that may still reach the runner.
	leavingBound = 2 * time.Second
	// pauseGrace is the time from an answer that asks for a pause to its beginning, and
	// pauseVisits the number of requests that may reach the runner in it.
	pauseGrace  = 500 * time.Millisecond
	pauseVisits = 2
)

// passedOn is a runner, by its identifier, and a gateway that passed on an answer of it.
type passedOn struct {
	runner  string
	gateway *process
}

// recordLeaving records that a gateway passed on that a runner leaves.
func (s *soak) recordLeaving(g *process, h http.Header) {
	if h.Get("Server-Leaving") != "1" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := passedOn{h.Get("Instance-Id"), g}
	if s.leaving[key].IsZero() {
		s.leaving[key] = time.Now()
	}
}

// pause makes a runner turn requests away with a pause of up to 3 s, now and then of an hour.
func (s *soak) pause(r *runnerNode) {
	f := userplatform.Faults{Pause: 0.3, PauseFor: time.Duration(500+s.random.IntN(2500)) * time.Millisecond}
	if s.random.IntN(8) == 0 {
		f.PauseFor = time.Hour
		r.mustRestart = true
	}
	r.runner.SetFaults(f)
}

// leave makes a runner say in its answers that it leaves, not in the store.
func (s *soak) leave(r *runnerNode) {
	r.mustRestart = true
	r.runner.SetFaults(userplatform.Faults{Leaving: true})
}

// restart starts a runner again, under another identifier.
func (s *soak) restart(r *runnerNode) {
	old := r.id()
	r.ids = append(r.ids, fmt.Sprintf("%s-%d", r.ids[0], len(r.ids)+1))
	r.mustRestart = false
	r.runner.Restart(r.id())
	if err := errors.Join(s.store.Put("servers", old, nil), s.register(r)); err != nil {
		s.failCheck("runner %s was not registered: %v", r.id(), err)
	}
}

// checkNotices checks what reached runners after they said that they leave or asked for a
// pause. What a restart or a pause of the gateway, or a fault of the link, may explain is
// left out.
func (s *soak) checkNotices() { s.checkVisits(s.ledger.Visits()) }

// checkVisits is checkNotices for the given visits, in order.
func (s *soak) checkVisits(visits []userplatform.Visit) {
	for i, v := range visits {
		g := s.requests[v.Request].gateway
		if g == nil {
			continue // a request of checkKeys
		}
		at, left := s.leaving[passedOn{v.Runner, g}]
		if sentAt := s.requests[v.Request].sentAt; left && sentAt.After(at.Add(leavingBound)) && !g.disturbedBetween(at, v.At) {
			s.failCheck("request %s, sent %v after its gateway passed on that runner %s leaves, reached it", v.Request, sentAt.Sub(at), v.Runner)
		}
		if v.Pause > 0 && s.answerReceivable(v) {
			s.checkPause(g, v, visits[i+1:])
		}
	}
}

// checkPause checks the visits after one that was turned away with a pause.
func (s *soak) checkPause(g *process, turnedAway userplatform.Visit, later []userplatform.Visit) {
	end := turnedAway.At.Add(turnedAway.Pause)
	var in []string
	for _, v := range later {
		if v.Runner != turnedAway.Runner || s.requests[v.Request].gateway != g || !v.At.Before(end) {
			continue
		}
		if g.disturbedBetween(turnedAway.At, v.At) || s.linkDisturbedBetween(v.Runner, turnedAway.At, v.At) {
			break
		}
		if v.At.After(turnedAway.At.Add(pauseGrace)) {
			in = append(in, v.Request)
		}
	}
	if len(in) > pauseVisits {
		s.failCheck("%d requests from one gateway reached runner %s in the pause of %v that it asked for: %v", len(in), turnedAway.Runner, turnedAway.Pause, in)
	}
}

// answerReceivable reports whether the answer to a visit was forwarded to its gateway before
// the gateway closed the connection. A link that was silent may deliver a request after its
// gateway has given it up; the gateway then gets no notice from the answer.
func (s *soak) answerReceivable(v userplatform.Visit) bool {
	for _, r := range slices.Concat(s.runners, s.departures.nodes) {
		if slices.Contains(r.ids, v.Runner) {
			return r.frontProxy.answeredSince(v.Conn, v.At)
		}
	}
	return true
}

// linkDisturbedBetween reports whether the link of a runner had a fault in a span, so that
// its answers may have arrived late.
func (s *soak) linkDisturbedBetween(runner string, from, to time.Time) bool {
	return slices.ContainsFunc(slices.Concat(s.runners, s.departures.nodes), func(r *runnerNode) bool { return slices.Contains(r.ids, runner) && r.linkDisturbed(from, to) })
}
