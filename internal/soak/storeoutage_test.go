package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Bounds of the deployment that is played, as in outageChanges.
const (
	// drainWithin is the time from the store's acknowledgement that a runner has left to the
	// last request that may reach it.
	drainWithin = 2 * time.Second
	// settleTime is how long after an outage of the store, or of connections to it, drainWithin
	// holds again.
	settleTime    = 3 * time.Second
	outageChanges = "[changes]\nconfig = \"2s\"\nupstreams = \"2s\"\nsettle = \"3s\"\n"
)

// storeOutage is an outage of the link to the store and a runner that leaves after it. All
// connections are dead from the moment of its end on.
type storeOutage struct {
	// watchBefore is the time from the send of the watch of the list to the end of the outage.
	watchBefore time.Duration
	// configBefore is the time from a change of the configuration, after which the gateways
	// send the watch of that, to the end of the outage; 0 for none.
	configBefore time.Duration
	// length is the time in which all data to and from the store is lost; 0 if only the
	// connections that are open go silent.
	length time.Duration
	// leavesAfter is the time from the end of the outage to the removal of the runner. With a
	// length it is at least settleTime: before, the store does not count as stable.
	leavesAfter time.Duration
	// restart kills the gateways shortly before, so that they have more connections to the
	// store open than the two of their watches.
	restart bool
}

// String describes the outage in messages of tests.
func (o storeOutage) String() string {
	return fmt.Sprintf("outage of %v, watches sent %v and %v (0 for none) before its end, runner leaves %v after it, restart %v",
		o.length, o.watchBefore, o.configBefore, o.leavesAfter, o.restart)
}

// watchPause is the pause of gateways between a change of the list and the next watch.
const watchPause = 300 * time.Millisecond

// storeOutages are outages at moments after which a watch, the read after it and the removal of
// the runner meet in different orders.
func storeOutages() (all []storeOutage) {
	const ms = time.Millisecond
	for i, o := range []storeOutage{
		{watchBefore: 50 * ms, length: time.Second, leavesAfter: settleTime},
		{watchBefore: 500 * ms, length: time.Second, leavesAfter: settleTime + 150*ms},
		{watchBefore: 900 * ms, length: time.Second, leavesAfter: settleTime},
		{watchBefore: 800 * ms, configBefore: 60 * ms, length: 55 * ms, leavesAfter: settleTime},
		{watchBefore: 800 * ms, configBefore: 60 * ms, length: 55 * ms, leavesAfter: settleTime + 60*ms},
		{watchBefore: 900 * ms, configBefore: 60 * ms, length: 55 * ms, leavesAfter: settleTime},
		{watchBefore: 900 * ms, configBefore: 205 * ms, length: 200 * ms, leavesAfter: settleTime},
		{watchBefore: 900 * ms, configBefore: 205 * ms, length: 200 * ms, leavesAfter: settleTime + 60*ms},
		{watchBefore: 50 * ms, leavesAfter: 100 * ms},
		{watchBefore: 50 * ms, leavesAfter: 350 * ms},
		{watchBefore: 50 * ms, leavesAfter: 900 * ms},
		{watchBefore: 900 * ms, configBefore: 205 * ms, leavesAfter: settleTime},
	} {
		o.restart = i%2 == 1
		all = append(all, o)
	}
	return all
}

// More outages can be played by hand.
var (
	outageCount = flag.Int("outages", 0, "number of random outages of the store to play besides the usual ones")
	outageSeed  = flag.Uint64("outage-seed", 1, "seed of the random outages")
)

// randomOutages returns outages at random moments.
func randomOutages(seed uint64, n int) (all []storeOutage) {
	random := rand.New(rand.NewPCG(seed, 2))
	upTo := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most))).Round(time.Millisecond)
	}
	for range n {
		o := storeOutage{watchBefore: upTo(3500 * time.Millisecond), restart: random.IntN(2) == 0, leavesAfter: settleTime + upTo(500*time.Millisecond)}
		switch lengths := []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 4500 * time.Millisecond}; random.IntN(3) {
		case 0:
			o.leavesAfter = upTo(settleTime)
		default:
			o.length = lengths[1+random.IntN(len(lengths)-1)]
		}
		if random.IntN(2) == 0 {
			o.configBefore = o.length + 5*time.Millisecond + upTo(300*time.Millisecond)
		}
		all = append(all, o)
	}
	return all
}

// TestRunnerThatLeavesAfterStoreOutage guards against requests to a runner that left over two
// seconds before, when a watch or connections were lost in an outage of the link to the store.
// It runs gateways as processes on the real clock, with all kinds of requests.
func TestRunnerThatLeavesAfterStoreOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	program := buildGateway(t)
	const atOnce = 6
	places := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, o := range append(storeOutages(), randomOutages(*outageSeed, *outageCount)...) {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			playStoreOutage(t, program, uint64(i+1), o)
		})
	}
	all.Wait()
}

// playStoreOutage plays an outage once for each kind of runner, on a deployment of its own.
func playStoreOutage(t *testing.T, program string, seed uint64, o storeOutage) {
	s := &soak{
		options:  Options{Gateway: program, Seed: seed, Gateways: 5, Callers: 10, Dir: t.TempDir(), Changes: outageChanges, RecoverWithin: 2 * time.Minute},
		store:    userplatform.NewStore(),
		ledger:   userplatform.NewLedger(),
		report:   Report{Outcomes: make(map[string]int)},
		requests: make(map[string]sentRequest),
		leaving:  make(map[passedOn]time.Time),
	}
	ports, err := newPortRange()
	if err != nil {
		t.Error(err)
		return
	}
	s.departures.ports = ports
	defer func() { _ = ports.close() }()
	defer s.end()
	if err := s.start(ports); err != nil {
		t.Errorf("%v: %v", o, err)
		return
	}
	if !s.awaitServing(t.Context()) {
		t.Errorf("%v: %v", o, s.notServing())
		return
	}
	callersCtx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range s.options.Callers {
		callers.Go(func() { s.runCaller(callersCtx, i) })
	}
	for i := range s.runners {
		if phase := s.runners[i].phase; i > 0 && phase == s.runners[i-1].phase {
			continue // one of each kind
		}
		s.playDeparture(t, i, o)
	}
	stop()
	callers.Wait()
}

// playDeparture plays an outage before the runner with the given number leaves.
func (s *soak) playDeparture(t *testing.T, number int, o storeOutage) {
	ctx := t.Context()
	if o.restart {
		for _, g := range s.gateways {
			g.signalEnd(true)
		}
		if !s.awaitServing(ctx) {
			t.Errorf("%v: %v", o, s.notServing())
			return
		}
	}
	old := s.runners[number]
	next, err := s.startSuccessor(old)
	if err != nil {
		t.Error(err)
		return
	}
	// The change of the list after which the gateways send the watch that is lost.
	if err := s.register(next); err != nil {
		t.Error(err)
		return
	}
	s.runners[number] = next
	joined := time.Now()
	end := joined.Add(watchPause + o.watchBefore)
	if o.configBefore > 0 {
		clock.Wait(ctx, time.Until(end.Add(-o.configBefore)))
		s.reconfigure()
	}
	if o.length > 0 {
		clock.Wait(ctx, time.Until(end.Add(-o.length)))
		s.storeProxy.setLosing(true)
	}
	clock.Wait(ctx, time.Until(end))
	open := s.storeProxy.killOpen()
	s.storeProxy.setLosing(false)
	end = time.Now()
	clock.Wait(ctx, time.Until(end.Add(o.leavesAfter)))
	left := time.Now()
	if err := s.store.Put("servers", old.id(), nil); err != nil {
		t.Error(err)
		return
	}
	clock.Wait(ctx, drainWithin+2500*time.Millisecond)
	old.exit()
	calm := end.Add(settleTime)
	before, late, last := 0, 0, time.Duration(0)
	for _, v := range s.ledger.Visits() {
		s.mu.Lock()
		sentAt := s.requests[v.Request].sentAt
		s.mu.Unlock()
		if v.Runner == old.id() && v.At.Before(left) {
			before++
		}
		if v.Runner == old.id() && v.At.After(left.Add(drainWithin)) && sentAt.After(calm) {
			late, last = late+1, v.At.Sub(left)
		}
	}
	if before == 0 {
		t.Errorf("%v: no request reached runner %s (%q) before it left", o, old.id(), old.phase)
	}
	if late > 0 {
		t.Errorf("%v: %d requests reached runner %s (%q), the last one %v after it had left; %d connections to the store were open", o, late, old.id(), old.phase, last.Round(time.Millisecond), open)
		s.logRegistryLines(t, end)
	}
}

// logRegistryLines prints what the gateways logged of the store since a time.
func (s *soak) logRegistryLines(t *testing.T, since time.Time) {
	for _, g := range s.gateways {
		text, err := os.ReadFile(g.log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			for _, event := range []string{"registry_", "upstream_changed"} {
				if at, ok := lineTime(line); ok && at.After(since) && strings.Contains(line, `"@message":"`+event) {
					t.Logf("%+.2f s %s: %s", at.Sub(since).Seconds(), filepath.Base(g.log), strings.TrimSpace(line))
				}
			}
		}
	}
}

// lineTime returns the time of a line of a log.
func lineTime(line string) (time.Time, bool) {
	const field = `"@timestamp":"`
	_, rest, ok := strings.Cut(line, field)
	text, _, _ := strings.Cut(rest, `"`)
	at, err := time.Parse("2006-01-02T15:04:05.000000Z07:00", text)
	return at, ok && err == nil
}
