// Package soak runs gateways as separate processes against stand-ins of the users'
// platform, breaks things around them by a seeded plan, and checks what callers and
// upstreams see. It reads nothing that the gateways say of themselves.
package soak

import (
	"context"
	"errors"
	"fmt"

	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Options configure a soak.
type Options struct {
	// Gateway is the program under test.
	Gateway string
	// Seed decides the plan of faults and the callers' requests.
	Seed uint64
	// Duration is how long faults go on.
	Duration time.Duration
	// Gateways and Callers are their numbers.
	Gateways, Callers int
	// Dir takes settings and logs.
	Dir string
	// RecoverWithin bounds the time until all is served again after the last
	// fault; DefaultRecoverWithin if zero.
	RecoverWithin time.Duration
}

// Report is what a soak saw.
type Report struct {
	Seed     uint64         `json:"seed"`
	Faults   []string       `json:"faults"`
	Outcomes map[string]int `json:"outcomes"`
	// Broken are promises that did not hold.
	Broken []string `json:"broken"`
}

// soak is one run.
type soak struct {
	options  Options
	random   *rand.Rand
	store    *userplatform.Store
	ledger   *userplatform.Ledger
	runners  []*standing
	gateways []*process
	storeVia *proxy
	servers  []*http.Server

	// changes counts the configurations; in every other one a second key holds.
	changes int

	mu     sync.Mutex
	report Report
	// asked are all requests that were sent, by their identifiers.
	asked map[string]asked
}

// standing is a runner, its proxy, and its registration.
type standing struct {
	runner *userplatform.Runner
	via    *proxy
	id     string
}

const (
	faultEvery = 250 * time.Millisecond
	// DefaultRecoverWithin is the users' own bound for serving again.
	DefaultRecoverWithin = 12 * time.Second
	callerPause          = 20 * time.Millisecond
	askAgainAfter        = 100 * time.Millisecond
)

// Run plays one soak.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.RecoverWithin == 0 {
		o.RecoverWithin = DefaultRecoverWithin
	}
	s := &soak{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		store:   userplatform.NewStore(),
		ledger:  userplatform.NewLedger(),
		report:  Report{Seed: o.Seed, Outcomes: make(map[string]int), Broken: []string{}},
		asked:   make(map[string]asked),
	}
	defer s.end()
	if err := s.start(); err != nil {
		return s.report, err
	}
	if !s.serves(ctx) {
		return s.report, errors.New("soak: the gateways did not start to serve")
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { s.call(calling, i) })
	}
	s.breakThings(ctx)
	s.heal()
	recovered := s.serves(ctx)
	stop()
	callers.Wait()
	if !recovered {
		s.broken("requests are not served %v after the last fault", s.options.RecoverWithin)
	}
	// Once with the second key and once without it.
	for range 2 {
		s.reconfigure()
		s.checkKeys(ctx)
	}
	s.check()
	return s.report, nil
}

// listen serves a handler behind a proxy.
func (s *soak) listen(h http.Handler) (*proxy, error) {
	server, addr, err := serveHTTP(h)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	return newProxy(addr)
}

// start brings up stand-ins and gateways.
func (s *soak) start() (err error) {
	if s.storeVia, err = s.listen(s.store); err != nil {
		return err
	}
	for i, phase := range []string{"prefill", "prefill", "decode", "decode", "decode", "", ""} {
		id := fmt.Sprintf("i-%d", i)
		r := userplatform.NewRunner(id, phase, s.ledger, s.options.Seed+uint64(i))
		via, err := s.listen(r)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, &standing{r, via, id})
		if err := s.register(s.runners[i], phase); err != nil {
			return err
		}
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.options.Gateways {
		g, err := newProcess(s.options, i, s.storeVia.addr(), s.gateways)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) register(r *standing, phase string) error {
	service := "engines"
	if phase == "" {
		service = "desk"
	}
	return s.store.Put("servers", r.id, map[string]any{
		"service": service, "address": r.via.addr(), "zone": "z", "state": "ready", "slots": 64, "phase": phase, "born": 1,
	})
}

// breakThings draws a fault at a time until the duration is over. Faults overlap.
func (s *soak) breakThings(ctx context.Context) {
	for end := time.Now().Add(s.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[s.random.IntN(len(faults))]
		s.report.Faults = append(s.report.Faults, f.name)
		f.do(s)
		select {
		case <-time.After(faultEvery):
		case <-ctx.Done():
		}
	}
}

// fault is one kind of trouble.
type fault struct {
	name string
	do   func(s *soak)
}

var faults = []fault{
	{"kill", func(s *soak) { s.anyGateway().restart(true) }},
	{"stop", func(s *soak) { s.anyGateway().restart(false) }},
	{"pause", func(s *soak) { s.anyGateway().pause(time.Duration(100+s.random.IntN(1500)) * time.Millisecond) }},
	{"hang up", func(s *soak) { s.anyGateway().hangUp() }},
	{"store away", func(s *soak) { s.store.SetAway(true) }},
	{"store back", func(s *soak) { s.store.SetAway(false) }},
	{"store reset", func(s *soak) { s.storeVia.resetAll() }},
	{"store silent", func(s *soak) { s.storeVia.setSilent(true, toTarget, fromTarget) }},
	{"store cut one way", func(s *soak) { s.storeVia.setSilent(true, s.random.IntN(directions)) }},
	{"store slow", func(s *soak) { s.storeVia.setDelay(s.aWhile()) }},
	{"store heard", func(s *soak) { s.storeVia.heal() }},
	{"store loses answers", func(s *soak) { s.store.SetLosing(true) }},
	{"store keeps answers", func(s *soak) { s.store.SetLosing(false) }},
	{"store forgets", func(s *soak) { s.store.Forget() }},
	{"configuration", func(s *soak) { s.reconfigure() }},
	{"runner reset", func(s *soak) { s.anyRunner().via.resetAll() }},
	{"runner silent", func(s *soak) { s.anyRunner().via.setSilent(true, toTarget, fromTarget) }},
	{"runner cut one way", func(s *soak) { s.anyRunner().via.setSilent(true, s.random.IntN(directions)) }},
	{"runner slow", func(s *soak) { s.anyRunner().via.setDelay(s.aWhile()) }},
	{"runner heard", func(s *soak) { s.anyRunner().via.heal() }},
	{"runner rejects", func(s *soak) { s.anyRunner().runner.SetFaults(userplatform.Faults{Reject: 0.5}) }},
	{"runner loses answers", func(s *soak) { s.anyRunner().runner.SetFaults(userplatform.Faults{Lose: 0.3}) }},
	{"runner breaks off", func(s *soak) { s.anyRunner().runner.SetFaults(userplatform.Faults{Break: 0.5}) }},
	{"runner is sound", func(s *soak) { s.anyRunner().runner.SetFaults(userplatform.Faults{}) }},
}

// aWhile is a delay of a link.
func (s *soak) aWhile() time.Duration { return time.Duration(5+s.random.IntN(200)) * time.Millisecond }

// configure writes the next configuration.
func (s *soak) configure() error {
	s.changes++
	return s.store.Put("op", "config", configuration(s.changes, s.secondHolds()))
}

// reconfigure does it while gateways run.
func (s *soak) reconfigure() {
	if err := s.configure(); err != nil {
		s.broken("the configuration was not written: %v", err)
	}
}

// secondHolds reports whether the second key is part of the configuration.
func (s *soak) secondHolds() bool { return s.changes%2 == 0 }

func (s *soak) anyGateway() *process { return s.gateways[s.random.IntN(len(s.gateways))] }
func (s *soak) anyRunner() *standing { return s.runners[s.random.IntN(len(s.runners))] }

// heal ends all faults.
func (s *soak) heal() {
	s.store.SetAway(false)
	s.store.SetLosing(false)
	s.storeVia.heal()
	for _, r := range s.runners {
		r.via.heal()
		r.runner.SetFaults(userplatform.Faults{})
	}
	for _, g := range s.gateways {
		g.wake()
	}
}

// serves reports whether each gateway answers each kind of request in time.
func (s *soak) serves(ctx context.Context) bool {
	end := time.Now().Add(s.options.RecoverWithin)
	for _, g := range s.gateways {
		for _, k := range kinds {
			for !s.ask(ctx, http.DefaultClient, g, k, "probe") {
				if time.Now().After(end) || ctx.Err() != nil {
					return false
				}
				clock.Wait(ctx, askAgainAfter)
			}
		}
	}
	return true
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, args...))
}

// end stops what the soak started, by its own handles.
func (s *soak) end() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, r := range s.runners {
		r.via.close()
	}
	if s.storeVia != nil {
		s.storeVia.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
