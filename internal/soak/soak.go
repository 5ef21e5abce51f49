// Package soak runs gateways as separate processes against stand-ins of the users'
// platform, injects faults by a seeded plan, and checks what callers and upstreams
// observe. The checks use neither the logs nor the metrics of the gateways. The command
// trefoil-dev soak and the test call it.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"

	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Options configure a soak.
type Options struct {
	// Gateway is the path of the gateway program.
	Gateway string
	// Seed determines the order of the faults and the random choices of the stand-ins.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Gateways is the number of processes, Callers that of concurrent callers.
	Gateways, Callers int
	// Dir is the existing folder for settings files and logs of the gateways.
	Dir string
	// Evacuation runs an evacuation of a zone for Duration, beside restarts, in place of the
	// other faults.
	Evacuation bool
	// Changes is the table of that name in the settings of the gateways; empty for none.
	Changes string
	// RecoverWithin bounds the time until all gateways serve every kind of request,
	// at the start and after the last fault; DefaultRecoverWithin if zero.
	RecoverWithin time.Duration
}

// Report holds the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Faults lists the injected faults in order.
	Faults []string `json:"faults"`
	// Outcomes counts requests by kind and status; " broken" marks those whose answer
	// ended with an error.
	Outcomes map[string]int `json:"outcomes"`
	// Broken describes each failed check. It is unrelated to " broken" in Outcomes.
	Broken []string `json:"broken"`
	// LastVisit is the time from the write of an evacuation to the last request that reached
	// its zone while it lasted.
	LastVisit time.Duration `json:"last_visit,omitempty"`
}

// soak holds the state of one run.
type soak struct {
	options    Options
	random     *rand.Rand
	store      *userplatform.Store
	ledger     *userplatform.Ledger
	runners    []*runnerNode
	gateways   []*process
	storeProxy *proxy
	servers    []*http.Server
	departures departures
	// names is the number of routes and accounts in the next configuration that no other
	// one has.
	names int

	// changes counts the configurations written; every second one contains secondKey.
	changes int

	// rush is the time, in nanoseconds since 1970, until which callers send more plain
	// requests.
	rush atomic.Int64

	// mu guards requests and, while callers run, the outcomes and failed checks in report.
	mu     sync.Mutex
	report Report
	// leaving holds when a caller first got an answer, through a gateway, of a runner that
	// leaves.
	leaving map[passedOn]time.Time
	// slow waits for the callers that read slowly.
	slow sync.WaitGroup
	// requests holds all requests that were sent, by identifier.
	requests map[string]sentRequest
	// storeCopy and lost are those of the next and the last return of the store from a copy.
	storeCopy userplatform.StoreCopy
	lost      userplatform.LostRows
	// evacuation is the one of the run, cutOff the gateway that the store is silent to in it.
	evacuation evacuation
	cutOff     *proxy
}

const (
	faultInterval = 250 * time.Millisecond
	// DefaultRecoverWithin is the bound that the users require.
	DefaultRecoverWithin = 12 * time.Second
	callerInterval       = 20 * time.Millisecond
	retryEvery           = 100 * time.Millisecond
)

// Run starts stand-ins and gateways, injects faults, and stops all of them before it
// returns. Failed checks are in the report; an error means that the run did not finish.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.RecoverWithin == 0 {
		o.RecoverWithin = DefaultRecoverWithin
	}
	s := &soak{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		store:    userplatform.NewStore(),
		ledger:   userplatform.NewLedger(),
		report:   Report{Seed: o.Seed, Outcomes: make(map[string]int), Broken: []string{}},
		requests: make(map[string]sentRequest),
		leaving:  make(map[passedOn]time.Time),
	}
	ports, err := newPortRange()
	if err != nil {
		return s.report, err
	}
	s.departures.ports = ports
	defer func() { _ = ports.close() }()
	defer s.end()
	if err := s.start(ports); err != nil {
		return s.report, err
	}
	if !s.awaitServing(ctx) {
		return s.report, s.notServing()
	}
	callersCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { s.runCaller(callersCtx, i) })
	}
	if o.Evacuation {
		s.runEvacuation(ctx)
	} else {
		s.injectFaults(ctx, faults, o.Duration)
	}
	s.heal()
	recovered := s.awaitServing(ctx)
	leavers := s.leaveInPrefills(ctx)
	s.startCold("")
	clock.Wait(ctx, coldFor)
	stop()
	callers.Wait()
	s.slow.Wait()
	if !recovered {
		s.failCheck("requests are not served %v after the last fault", s.options.RecoverWithin)
	}
	// Check one configuration with the second key and one without it.
	for range 2 {
		s.reconfigure()
		s.checkKeys(ctx)
	}
	s.check()
	s.checkNotices()
	s.checkEnds()
	s.checkCold()
	s.checkLeavers(leavers)
	s.checkEvacuation()
	s.checkEntries(ctx)
	s.checkNames(ctx)
	s.checkCrowded(ctx)
	s.checkMemory()
	s.checkDeparted(ctx)
	return s.report, nil
}

// notServing is the error of a run whose gateways do not serve after their start. It has the
// end of their logs.
func (s *soak) notServing() error {
	err := errors.New("soak: the gateways do not serve all kinds of requests after their start")
	for _, g := range s.gateways {
		err = fmt.Errorf("%w\n%s: %s", err, g.log, g.logTail())
	}
	return err
}

// listen serves a handler on a free port behind a proxy and returns the proxy.
func (s *soak) listen(h http.Handler) (*proxy, error) {
	server, addr, err := serveHTTP(h)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	return newProxy(addr)
}

// start starts the stand-ins and the gateways.
func (s *soak) start(ports *portRange) (err error) {
	if s.storeProxy, err = s.listen(s.store); err != nil {
		return err
	}
	for i, phase := range []string{"prefill", "prefill", "decode", "decode", "decode", "", ""} {
		id := fmt.Sprintf("i-%d", i)
		r := userplatform.NewRunner(id, phase, s.ledger, s.options.Seed+uint64(i))
		node, err := s.startRunner(r, phase, id)
		if err != nil {
			return err
		}
		node.zone = s.zoneOf(i)
		s.runners = append(s.runners, node)
		if err := s.register(s.runners[i]); err != nil {
			return err
		}
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.options.Gateways {
		store, err := s.storeFor(i)
		if err != nil {
			return err
		}
		g, err := newProcess(s.options, i, store, s.gateways, ports)
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

// floodPeer sends a message that never ends to the peer listener of a gateway, until the
// gateway closes the connection or floodFor has passed.
func floodPeer(addr string) {
	const floodFor = 2 * time.Second
	c, err := net.DialTimeout("tcp", addr, floodFor)
	if err != nil {
		return // the gateway is not running
	}
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(floodFor)) != nil {
		return
	}
	// The length of a gob message of a gigabyte, and filler.
	text := append([]byte{0xfc, 0x40, 0, 0, 0}, make([]byte, 32<<10)...)
	for {
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// checkMemory checks that no gateway that runs now has used more memory than it is given.
func (s *soak) checkMemory() {
	for _, g := range s.gateways {
		if peak := g.peakMemory(); peak > gatewayMemoryMB<<20 {
			s.failCheck("gateway at %s used %d MB, its limit is %d MB", g.callersAddr, peak>>20, gatewayMemoryMB)
		}
	}
}

// randomDelay returns a link delay from 5 ms to below 205 ms.
func (s *soak) randomDelay() time.Duration {
	return time.Duration(5+s.random.IntN(200)) * time.Millisecond
}

// configure writes the next configuration.
func (s *soak) configure() error {
	s.changes++
	return s.store.Put("op", "config", s.addNames(configuration(s.changes, s.secondKeyActive())))
}

// reconfigure writes the next configuration while gateways run; a failure to write it
// is a failed check.
func (s *soak) reconfigure() {
	if err := s.configure(); err != nil {
		s.failCheck("the configuration was not written: %v", err)
	}
}

// secondKeyActive reports whether the last configuration contains secondKey.
func (s *soak) secondKeyActive() bool { return s.changes%2 == 0 }

// heal ends all faults.
func (s *soak) heal() {
	s.writeAgain()
	s.store.SetUnavailable(false)
	s.store.SetLoseAnswers(false)
	s.storeProxy.heal()
	for _, r := range s.runners {
		r.healLink()
		r.runner.SetFaults(userplatform.Faults{})
		if r.mustRestart {
			s.restart(r)
		}
	}
	for _, g := range s.gateways {
		g.resume()
	}
}

// awaitServing sends each kind of request to each gateway until it is answered with
// success. It returns false if that takes longer than RecoverWithin in total.
func (s *soak) awaitServing(ctx context.Context) bool {
	end := time.Now().Add(s.options.RecoverWithin)
	for _, g := range s.gateways {
		for _, k := range kinds {
			for !s.ask(ctx, http.DefaultClient, g, k, "probe") {
				if time.Now().After(end) || ctx.Err() != nil {
					return false
				}
				clock.Wait(ctx, retryEvery)
			}
		}
	}
	return true
}

// failCheck records a failed check.
func (s *soak) failCheck(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, args...))
}

// end stops the processes, proxies and servers that the run started.
func (s *soak) end() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, r := range s.runners {
		r.frontProxy.close()
	}
	if s.storeProxy != nil {
		s.storeProxy.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
