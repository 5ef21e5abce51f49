package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// engineRestart is how long a crashed engine of crashingEngines is down.
const engineRestart = 3 * time.Second

// prefillTime is the time of a prefill of crashingEngines.
const prefillTime = 20 * time.Millisecond

// crashingEngines are decode engines that crash as they begin the answer to a prompt with
// a deadly part, and break off all other streams then.
type crashingEngines struct {
	*fakeRunners
	registry *fakeRegistry
	// leaks is set if the first event leaves an engine as it crashes.
	leaks bool
	// firstEvent is the time to the first event, wholeAnswer that to the last one.
	firstEvent, wholeAnswer time.Duration

	mu     sync.Mutex
	deadly map[contract.PartID]bool
	// crashed is closed at the crash of an engine's current incarnation.
	crashed map[upstream.ID]chan struct{}
	down    map[upstream.ID]bool
	crashes []time.Time
	// reached is when messages with a deadly part reached an engine, prefills included.
	reached []time.Time
}

func newCrashingEngines(f *fleet, deadly ...contract.PartID) *crashingEngines {
	c := &crashingEngines{
		fakeRunners: f.runners, registry: f.registry, firstEvent: 60 * time.Millisecond, wholeAnswer: 600 * time.Millisecond,
		deadly: make(map[contract.PartID]bool), crashed: make(map[upstream.ID]chan struct{}), down: make(map[upstream.ID]bool),
	}
	for _, id := range deadly {
		c.deadly[id] = true
	}
	f.client = c
	return c
}

// arrive records a message at an engine. crashed is nil if the engine is down.
func (c *crashingEngines) arrive(to runner.Target, m *contract.Message) (isDeadly bool, crashed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[to.ID] {
		return false, nil
	}
	isDeadly = slices.ContainsFunc(m.SharedParts(), func(id contract.PartID) bool { return c.deadly[id] })
	if isDeadly {
		c.reached = append(c.reached, time.Now())
	}
	if c.crashed[to.ID] == nil {
		c.crashed[to.ID] = make(chan struct{})
	}
	return isDeadly, c.crashed[to.ID]
}

// crash ends an engine's incarnation; the next one registers engineRestart later.
func (c *crashingEngines) crash(id upstream.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[id] {
		return
	}
	c.down[id] = true
	c.crashes = append(c.crashes, time.Now())
	close(c.crashed[id])
	delete(c.crashed, id)
	time.AfterFunc(engineRestart, func() {
		c.mu.Lock()
		c.down[id] = false
		c.mu.Unlock()
		c.registry.change(func() {
			r := c.registry.list[id]
			r.Born++
			c.registry.list[id] = r
		})
	})
}

var engineDown = runner.Result{Reach: runner.NotSent, Refused: true, Err: syscall.ECONNREFUSED}

func (c *crashingEngines) Reserve(ctx context.Context, to runner.Target, n contract.Tokens, ttl time.Duration) (string, runner.Result) {
	c.mu.Lock()
	down := c.down[to.ID]
	c.mu.Unlock()
	if down {
		return "", engineDown
	}
	return c.fakeRunners.Reserve(ctx, to, n, ttl)
}

func (c *crashingEngines) Prefill(ctx context.Context, to runner.Target, m *contract.Message, o runner.Options) (runner.Handle, runner.Result) {
	if _, crashed := c.arrive(to, m); crashed == nil {
		return runner.Handle{}, engineDown
	}
	time.Sleep(prefillTime)
	return c.fakeRunners.Prefill(ctx, to, m, o)
}

func (c *crashingEngines) Stream(ctx context.Context, to runner.Target, m *contract.Message, o runner.Options, sink runner.StreamReceiver) (runner.Answer, runner.Result) {
	isDeadly, crashed := c.arrive(to, m)
	if crashed == nil {
		return runner.Answer{}, engineDown
	}
	cut := runner.Result{Reach: runner.Broken, Status: 200, Err: errors.New("unexpected EOF")}
	const events = 5
	next, err := strconv.Atoi(o.ResumeAfter)
	if err != nil {
		next = 0
	}
	pause := c.firstEvent
	for id := next + 1; id <= events; id++ {
		select {
		case <-ctx.Done():
			return runner.Answer{}, runner.Result{Reach: runner.Broken, Err: context.Cause(ctx)}
		case <-crashed:
			return runner.Answer{}, cut
		case <-time.After(pause):
		}
		if isDeadly && (!c.leaks || id > 1) {
			c.crash(to.ID)
			return runner.Answer{}, cut
		}
		pause = (c.wholeAnswer - c.firstEvent) / (events - 1)
		if err := sink.Begin(200, nil, runner.Load{}); err != nil {
			return runner.Answer{}, runner.Result{Reach: runner.Broken, Err: err}
		}
		if err := sink.Event(runner.Event{ID: strconv.Itoa(id), Raw: []byte(strconv.Itoa(id) + " ")}); err != nil {
			return runner.Answer{}, runner.Result{Reach: runner.Broken, Err: err}
		}
	}
	return runner.Answer{}, success.result
}

func (c *crashingEngines) Reachable(_ context.Context, to runner.Target) runner.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[to.ID] {
		return engineDown
	}
	return success.result
}

// reachedAfter counts the deadly messages that reached an engine later than after the
// crash with that number, counted from 1.
func (c *crashingEngines) reachedAfter(crash int, after time.Duration) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crash {
		return 0
	}
	for _, at := range c.reached {
		if at.After(c.crashes[crash-1].Add(after)) {
			n++
		}
	}
	return n
}

// crashingFleet has nine prefill and nine decode engines and no quota.
func crashingFleet(deadly ...contract.PartID) (*fleet, *crashingEngines) {
	f := testFleet()
	for i := range 9 {
		p, d := record("p"+strconv.Itoa(i), "engines", upstream.RolePrefill), record("d"+strconv.Itoa(i), "engines", upstream.RoleDecode)
		f.registry.list[p.ID], f.registry.list[d.ID] = p, d
	}
	f.registry.config.Accounts["weaver"].Quota = directory.Quota{}
	return f, newCrashingEngines(f, deadly...)
}

// promptOf returns a message with a body and a last part of its own after the given parts.
func promptOf(n int, parts ...contract.PartID) *contract.Message {
	m := testMessage("/resumable/1")
	m.ID = contract.RequestID(strconv.Itoa(n))
	m.Body = []byte(m.ID)
	for _, id := range append(parts, contract.PartID(1_000_000+n)) {
		m.Parts = append(m.Parts, contract.PromptPart{ID: id, Tokens: 100})
	}
	return m
}

// Parts of the prompts of these tests.
const (
	deadlyPart contract.PartID = 13
	firstPart  contract.PartID = 1
	otherPart  contract.PartID = 2
)

// playDeadlyPart sends deadly and sound requests to the gateways in turn and returns the
// refusals of the sound ones that were sent from then on, nil for those that were answered.
// Sound requests share the key, the first part and other parts with the deadly ones.
func playDeadlyPart(gateways []*Gateway, deadlyEvery, soundEvery, lasts, from time.Duration) (sound []*contract.Refusal) {
	var mu sync.Mutex
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	send := func(n int, isSound bool, parts ...contract.PartID) {
		g := gateways[random.IntN(len(gateways))]
		sent := time.Since(start)
		all.Go(func() {
			refusal := g.Forward(context.Background(), promptOf(n, parts...), &callerSink{})
			if isSound && sent >= from {
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, refusal)
			}
		})
	}
	nextDeadly, n := deadlyEvery, 0
	for time.Since(start) < lasts {
		time.Sleep(soundEvery)
		n += 2
		switch n / 2 % 3 {
		case 0:
			send(n, true, firstPart)
		case 1:
			send(n, true, firstPart, otherPart)
		default:
			send(n, true, otherPart)
		}
		if time.Since(start) >= nextDeadly {
			nextDeadly += deadlyEvery
			switch n / 2 % 2 {
			case 0:
				send(n+1, false, firstPart, deadlyPart)
			default:
				send(n+1, false, firstPart, otherPart, deadlyPart)
			}
		}
	}
	all.Wait()
	return sound
}

// TestDistinctRequestsWithOneDeadlyPart guards against requests that keep crashing engines
// because none equals an earlier one.
func TestDistinctRequestsWithOneDeadlyPart(t *testing.T) {
	for _, c := range []struct {
		name        string
		deadlyEvery time.Duration
		leaks       bool
	}{{"rare", 2 * time.Second, false}, {"common", 300 * time.Millisecond, false}, {"burst", 60 * time.Millisecond, false},
		{"with a first event", 300 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, engines := crashingFleet(deadlyPart)
				engines.leaks = c.leaks
				var gateways []*Gateway
				for _, name := range []string{"g1", "g2", "g3", "g4", "g5"} {
					g := f.start(t, name, "g1")
					defer g.Close()
					gateways = append(gateways, g)
				}
				time.Sleep(2 * time.Second)
				sound := playDeadlyPart(gateways, c.deadlyEvery, 20*time.Millisecond, 40*time.Second, 20*time.Second)
				if n := engines.reachedAfter(5, 3*time.Second); n > 3 {
					t.Errorf("%d requests reached engines later than 3 s after the fifth crash, %d engines crashed", n, len(engines.crashes))
				}
				refused := slices.DeleteFunc(sound, func(r *contract.Refusal) bool { return r == nil })
				if len(refused) > 0 {
					t.Errorf("%d sound requests failed, the first: %+v", len(refused), *refused[0])
				}
				t.Logf("%d crashes, %d deadly requests at engines", len(engines.crashes), len(engines.reached))
				time.Sleep(engineRestart)
			})
		})
	}
}

// bannedNotes bans a part.
func bannedNotes(part contract.PartID) quarantine.PartNotes {
	return quarantine.PartNotes{Bans: []quarantine.BanNote{{Parts: []contract.PartID{part}, For: time.Minute, Lasts: time.Minute}}}
}

// TestBanOutlivesAllGateways guards against engines that crash anew after a restart of the
// whole fleet.
func TestBanOutlivesAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := crashingFleet(deadlyPart)
		for i, name := range []string{"g1", "g1", "g2"} {
			g := f.start(t, name)
			time.Sleep(2 * time.Second)
			before := len(engines.crashes)
			playDeadlyPart([]*Gateway{g}, 300*time.Millisecond, 50*time.Millisecond, 6*time.Second, 0)
			g.Close()
			if after := len(engines.crashes); i == 0 && after == 0 || i > 0 && after > before {
				t.Errorf("start %d: %d crashes, then %d", i+1, before, after)
			}
		}
		time.Sleep(engineRestart)
	})
}

// TestEndedBansLeaveTheRegistry checks that a ban that an answer disproved is not restored.
func TestEndedBansLeaveTheRegistry(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		g.applyPartNotes(table.NewHeldLocks(), bannedNotes(deadlyPart), "test")
		time.Sleep(2 * BansSaveEvery)
		if bans, err := f.registry.LoadBans(context.Background()); err != nil || len(bans) != 1 {
			t.Fatalf("%d bans in the registry, %v, want one", len(bans), err)
		}
		g.promptParts.With(table.NewHeldLocks(), func(p **quarantine.PartTable) {
			(*p).RecordAnswerBegun(time.Now(), []contract.PartID{deadlyPart})
		})
		time.Sleep(2 * BansSaveEvery)
		if bans, err := f.registry.LoadBans(context.Background()); err != nil || len(bans) != 0 {
			t.Errorf("%d bans in the registry after an answer, %v", len(bans), err)
		}
	})
}

// TestWaitingRequestWithBannedPart guards against requests that wait for a place, or for
// their prefill, while a part of their prompt is banned, and are sent then.
func TestWaitingRequestWithBannedPart(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls map[string][]answer
		after string
	}{
		{"before the reservation", map[string][]answer{"reserve": slices.Repeat([]answer{full}, 12)}, "prefill"},
		{"before the stream", map[string][]answer{"prefill": {{result: success.result, takes: 200 * time.Millisecond}}}, "stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				for kind, answers := range c.calls {
					f.runners.queue(kind, answers...)
				}
				time.AfterFunc(100*time.Millisecond, func() {
					g.applyPartNotes(table.NewHeldLocks(), bannedNotes(deadlyPart), "test")
				})
				checkRefusal(t, g.Forward(context.Background(), promptOf(1, deadlyPart), &callerSink{}), contract.CodeQuarantined, contract.RanNo)
				synctest.Wait()
				if n := f.runners.count(c.after); n > 0 {
					t.Errorf("%d calls %s with a banned part", n, c.after)
				}
				if held, freed := f.runners.count("reserve"), f.runners.count("release"); c.after == "stream" && (held != 1 || freed != 1) {
					t.Errorf("%d reservations, %d released", held, freed)
				}
			})
		})
	}
}

// TestUnreachableUpstreamsAreNoCrash guards against a gateway that is cut off and takes the
// requests it had running for ones that crash upstreams.
func TestUnreachableUpstreamsAreNoCrash(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.silent = true
		f.runners.unreachable["d1"], f.runners.unreachable["d2"] = true, true
		for range 3 {
			f.runners.queue("stream", broken, broken)
			g.Forward(context.Background(), promptOf(1, firstPart), &callerSink{})
			time.Sleep(time.Second)
		}
		if n := g.metrics.Snapshot(time.Now()).Crashes; n != (CrashCounts{}) {
			t.Errorf("calls cut by crashes: %+v", n)
		}
		synctest.Wait()
		f.runners.setReachable()
		time.Sleep(2 * time.Second)
		checkRefusal(t, g.Forward(context.Background(), promptOf(1, firstPart), &callerSink{}), "", contract.RanNo)
	})
}

// TestBystandersOfCrashesAreServed guards against the quarantine of requests whose answers
// had begun when their engines crashed.
func TestBystandersOfCrashesAreServed(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.unreachable["d1"], f.runners.unreachable["d2"] = true, true
		f.runners.queue("stream", brokenAfterTwo, answer{result: broken.result, events: 4})
		if refusal := g.Forward(context.Background(), promptOf(1, firstPart), &callerSink{}); refusal == nil {
			t.Error("a stream that broke twice was answered")
		}
		synctest.Wait()
		f.runners.setReachable()
		time.Sleep(2 * time.Second)
		checkRefusal(t, g.Forward(context.Background(), promptOf(1, firstPart), &callerSink{}), "", contract.RanNo)
	})
}

// TestSuspiciousRequestIsNotSentAgain guards against a request that costs a second engine
// although earlier ones with the same part cost theirs.
func TestSuspiciousRequestIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines := crashingFleet(deadlyPart)
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		for n := range 3 {
			g.Forward(context.Background(), promptOf(n, firstPart, deadlyPart), &callerSink{})
		}
		// Only the first one may be sent twice: nothing is known of its parts.
		if len(engines.crashes) > 4 {
			t.Errorf("%d engines crashed by three requests in succession", len(engines.crashes))
		}
		checkRefusal(t, g.Forward(context.Background(), promptOf(9, firstPart), &callerSink{}), "", contract.RanNo)
		time.Sleep(engineRestart)
	})
}
