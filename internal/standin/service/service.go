// Package service is a stand-in for a plain service. It counts the calls that it
// ran, by call identifier and by body, and injects the faults that a test sets.
package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/record"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/serviceapi"
)

// Always as the count of LoseAnswers or LoseRequests applies the fault until it is
// set to 0.
const Always = -1

// Options configure a service.
type Options struct {
	// Takes is the running time of a call, without the delay that a fault adds.
	Takes time.Duration
	// RestartAfter restarts the service after a crash; 0 means never.
	RestartAfter time.Duration
	// OnRun, if set, is called when a call starts to run. The service holds its
	// lock meanwhile, so it must not call the service.
	OnRun func(call string, body string)
}

// Service is a simulated plain service, started by New. It is safe for concurrent
// use.
type Service struct {
	// Received records all requests.
	Received record.Recorder

	options Options

	mu sync.Mutex
	// lifetime ends at a crash, which aborts the running calls.
	lifetime    context.Context
	endLifetime context.CancelFunc
	up          bool

	loseAnswers  int
	loseRequests int
	slow         time.Duration
	// refuse is the status of all responses, unless 0.
	refuse int
	// crashText crashes the service at a body that contains it, unless empty.
	crashText string

	byCall map[string]int
	byBody map[string]int
}

// New returns a running service.
func New(options Options) *Service {
	s := &Service{options: options, byCall: make(map[string]int), byBody: make(map[string]int)}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.up = true
	return s
}

// Expected returns the answer to a call, which depends on its content only. The
// field "ran" holds a hash of the content.
func Expected(q contract.ServiceCall) string {
	content := fmt.Sprintf("%s %s?%s %s", q.Method, q.Path, q.Query, q.Body)
	return fmt.Sprintf("{\"ran\":\"%016x\"}\n", xxhash.Sum64String(content))
}

// Crash stops the service: connections break until Restart, or until
// Options.RestartAfter if that is set.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash implements Crash; the caller holds mu.
func (s *Service) crash() {
	if !s.up {
		return
	}
	s.up = false
	s.endLifetime()
	if s.options.RestartAfter > 0 {
		time.AfterFunc(s.options.RestartAfter, s.Restart)
	}
}

// Restart starts a crashed service, which keeps its counts. A running service is
// left as it is.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		return
	}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.up = true
}

// CrashOn crashes the service when it starts a call whose body contains the
// text; an empty text ends this.
func (s *Service) CrashOn(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashText = text
}

// LoseAnswers breaks the connection after each of the next n calls has run.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// LoseRequests breaks the connection of each of the next n calls before it runs.
func (s *Service) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseRequests = n
}

// SetSlow adds d to the running time of each later call; 0 ends this.
func (s *Service) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Refuse makes the service answer calls and health checks with a status, without
// running the calls; 0 ends this.
func (s *Service) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = status
}

// CallRuns returns how often a call was started, by its contract.CallID.String.
func (s *Service) CallRuns(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCall[call]
}

// BodyRuns returns how often a call with this body was started.
func (s *Service) BodyRuns(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byBody[body]
}

// Bodies returns how often a call with each body was started.
func (s *Service) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	bodies := make(map[string]int, len(s.byBody))
	for body, n := range s.byBody {
		bodies[body] = n
	}
	return bodies
}

// Handler serves health checks, and calls at all other paths. A crashed service
// breaks connections without a response.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+serviceapi.PathHealth, s.serveHealth)
	mux.HandleFunc("/", s.serveCall)
	return s.Received.Wrap(mux)
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	up, refuse := s.up, s.refuse
	s.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if refuse != 0 {
		w.WriteHeader(refuse)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	plan := s.begin(r.Header.Get(serviceapi.HeaderCall), string(body))
	if plan.refuse != 0 {
		w.WriteHeader(plan.refuse)
		return
	}
	// A call that has started continues if its caller disconnects.
	timer := time.NewTimer(plan.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-plan.lifetime.Done():
		panic(http.ErrAbortHandler)
	}
	if plan.loseAnswer || plan.lifetime.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	call := contract.ServiceCall{Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Body: body}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, Expected(call))
}

// callPlan holds the faults that apply to one call.
type callPlan struct {
	lifetime context.Context
	takes    time.Duration
	// loseAnswer breaks the connection after the call has run.
	loseAnswer bool
	// refuse is the status of the response if the call is not run, or 0.
	refuse int
}

// begin counts a call as run and decides which faults apply. It breaks the
// connection, by a panic, for a call that does not run.
func (s *Service) begin(call, body string) callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || consume(&s.loseRequests) {
		panic(http.ErrAbortHandler)
	}
	if s.refuse != 0 {
		return callPlan{refuse: s.refuse}
	}
	s.byCall[call]++
	s.byBody[body]++
	if s.options.OnRun != nil {
		s.options.OnRun(call, body)
	}
	if s.crashText != "" && strings.Contains(body, s.crashText) {
		s.crash()
	}
	return callPlan{lifetime: s.lifetime, takes: s.options.Takes + s.slow, loseAnswer: consume(&s.loseAnswers)}
}

// consume reports whether a fault with n uses left applies, and uses one of them. A
// negative n is without limit.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
