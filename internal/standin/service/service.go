// Package service is a stand-in for a plain service. It counts what it ran, by
// call and by content, and fails as it is told.
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

// Always makes LoseAnswers and LoseRequests hold until they are set to 0.
const Always = -1

// Options describe a service.
type Options struct {
	// Takes is how long a call runs.
	Takes time.Duration
	// RestartAfter restarts the service after a crash; 0 means never.
	RestartAfter time.Duration
	// OnRun, if set, is told of each call as it starts to run.
	OnRun func(call string, body string)
}

// Service is one plain service.
type Service struct {
	// Received records all requests.
	Received record.Recorder

	options Options

	mu   sync.Mutex
	life context.Context
	end  context.CancelFunc
	up   bool

	loseAnswers  int
	loseRequests int
	slow         time.Duration
	refuse       int
	poison       string

	byCall map[string]int
	byBody map[string]int
}

// New starts a service.
func New(options Options) *Service {
	s := &Service{options: options, byCall: make(map[string]int), byBody: make(map[string]int)}
	s.life, s.end = context.WithCancel(context.Background())
	s.up = true
	return s
}

// Expected gives the answer to a call.
func Expected(q contract.ServiceCall) string {
	content := fmt.Sprintf("%s %s?%s %s", q.Method, q.Path, q.Query, q.Body)
	return fmt.Sprintf("{\"ran\":\"%016x\"}\n", xxhash.Sum64String(content))
}

// Crash kills the service: connections break until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Service) crash() {
	if !s.up {
		return
	}
	s.up = false
	s.end()
	if s.options.RestartAfter > 0 {
		time.AfterFunc(s.options.RestartAfter, s.Restart)
	}
}

// Restart brings a crashed service back; its counts stay.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		return
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.up = true
}

// CrashOn crashes the service when it starts a call whose body contains the
// text; an empty text ends this.
func (s *Service) CrashOn(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison = text
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

// SetSlow makes each call take d longer.
func (s *Service) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Refuse makes the service answer with a status in place of running calls; 0
// ends this.
func (s *Service) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = status
}

// RanCall gives how often a call ran, by the form of contract.CallID.String.
func (s *Service) RanCall(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCall[call]
}

// RanBody gives how often a call with this body ran.
func (s *Service) RanBody(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byBody[body]
}

// Bodies gives how often each body ran.
func (s *Service) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	bodies := make(map[string]int, len(s.byBody))
	for body, n := range s.byBody {
		bodies[body] = n
	}
	return bodies
}

// Handler serves the service over HTTP.
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
	fate := s.begin(r.Header.Get(serviceapi.HeaderCall), string(body))
	if fate.refuse != 0 {
		w.WriteHeader(fate.refuse)
		return
	}
	// A call that began runs on when its caller hangs up.
	timer := time.NewTimer(fate.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-fate.life.Done():
		panic(http.ErrAbortHandler)
	}
	if fate.mute || fate.life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	call := contract.ServiceCall{Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Body: body}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, Expected(call))
}

// fate is what happens to one call.
type fate struct {
	life   context.Context
	takes  time.Duration
	mute   bool
	refuse int
}

// begin counts a call as run and decides its fate.
func (s *Service) begin(call, body string) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || take(&s.loseRequests) {
		panic(http.ErrAbortHandler)
	}
	if s.refuse != 0 {
		return fate{refuse: s.refuse}
	}
	s.byCall[call]++
	s.byBody[body]++
	if s.options.OnRun != nil {
		s.options.OnRun(call, body)
	}
	if s.poison != "" && strings.Contains(body, s.poison) {
		s.crash()
	}
	return fate{life: s.life, takes: s.options.Takes + s.slow, mute: take(&s.loseAnswers)}
}

// take uses up one of n; a negative n lasts.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
