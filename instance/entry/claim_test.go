package entry_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/sidecar"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/platform/claimstore"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// faultPoint is a point in the processing of a call by the first entry at which a
// fault is injected.
type faultPoint string

const (
	beforeClaim     faultPoint = "before claim"
	claimAnswerLost faultPoint = "claim written, answer lost"
	claimKnown      faultPoint = "claim known, not sent"
	sentNoAnswer    faultPoint = "sent, no answer"
	notRecorded     faultPoint = "answered, not recorded"
	notDelivered    faultPoint = "recorded, not delivered"
)

// countingService counts the calls that it runs. Each takes delay, in nanoseconds, longer, and
// is answered with status, or with 200 if that is 0.
type countingService struct {
	runs   atomic.Int32
	delay  atomic.Int64
	status atomic.Int32
}

func (s *countingService) Call(_ context.Context, _ contract.CallID, _ string, c contract.ServiceCall) (contract.ServiceAnswer, error) {
	s.runs.Add(1)
	if string(c.Body) == "panic" {
		panic("one call")
	}
	time.Sleep(20*time.Millisecond + time.Duration(s.delay.Load()))
	status := int(s.status.Load())
	if status == 0 {
		status = 200
	}
	return contract.ServiceAnswer{Status: status, Body: []byte("entered")}, nil
}

func (s *countingService) CheckHealth(context.Context) error { return nil }

// claimFixture runs two entries and two sidecars of services with one claim
// table.
type claimFixture struct {
	t        *testing.T
	service  countingService
	platform *memplatform.Platform
	source   *source
	mu       sync.Mutex
	sidecars map[string]*sidecar.Sidecar
	entries  [2]*entry.Entry
	// fault is injected into the first entry when it first reaches at.
	at           faultPoint
	fault        func(ctx context.Context, w *claimFixture, witness string)
	triggered    atomic.Bool
	cancelCaller context.CancelFunc
	// refused is the refusal of the front end of the second entry.
	refused *contract.Refusal
	// grantDelay delays the answers of sidecars to requests for a grant.
	grantDelay time.Duration
	// lostGrants is how many answers of sidecars to requests for a grant are still to
	// be lost.
	lostGrants atomic.Int32
}

func newClaimFixture(t *testing.T) *claimFixture {
	w := &claimFixture{t: t, platform: memplatform.New(), sidecars: make(map[string]*sidecar.Sidecar), source: &source{current: config.EmptySnapshot()}}
	current := w.source.current
	current.Revision = 1
	current.Accounts["a"] = contract.ClientAccount{ID: "a", Weight: 1, Rate: contract.Rate{PerSecond: 1e6, Burst: 1e6}}
	hash := contract.HashKey(testKey)
	current.Keys[hash] = contract.Key{Hash: hash, Account: "a"}
	current.Routes["fees"] = contract.Route{Name: "fees", Kind: contract.RouteService, Service: "ledger", PathPrefix: "/fees/", Timeout: 20 * time.Second}
	for _, id := range []upstream.ID{"ledger-1", "ledger-2"} {
		current.Upstreams[id] = upstream.Upstream{ID: id, Place: here, Role: upstream.RoleService, State: upstream.StateServing, Pool: "ledger", SidecarAddr: string(id)}
		w.startSidecar(string(id), 1)
	}
	for i, name := range []instance.Name{"entry-1", "entry-2"} {
		w.entries[i] = w.startEntry(name)
	}
	time.Sleep(200 * time.Millisecond)
	return w
}

func (w *claimFixture) startSidecar(id string, incarnation instance.Incarnation) {
	s := sidecar.New(sidecar.Options{
		Self:     instance.Identity{Name: instance.Name(id), Incarnation: incarnation, Place: here},
		Upstream: upstream.ID(id),
		Limits:   engine.Limits{Role: upstream.RoleService, Slots: 8},
		Service:  &w.service,
	})
	w.t.Cleanup(s.Close)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sidecars[id] = s
}

func (w *claimFixture) startEntry(name instance.Name) *entry.Entry {
	self := instance.Identity{Name: name, Incarnation: 1, Place: here}
	board, err := placement.NewBoard(placement.Options{Self: here})
	if err != nil {
		w.t.Fatal(err)
	}
	rates, err := rate.New(rate.PolicyFixedSplit, self, rate.Options{Entries: 1})
	if err != nil {
		w.t.Fatal(err)
	}
	first := name == "entry-1"
	e := entry.New(entry.Options{
		Self:     self,
		Secret:   []byte("secret"),
		Board:    board,
		Rates:    rates,
		NewQueue: func() fair.Queue { return fair.NewWeighted(fair.DefaultLimit) },
		Peers:    &faultyPeers{w, first},
		Config:   w.source,
		Claims:   &faultyStore{claimstore.New(w.platform.Table), w, first},
	})
	w.t.Cleanup(e.Close)
	return e
}

// trigger injects the fault, once, if the first entry has reached its fault
// point. It reports whether it did.
func (w *claimFixture) trigger(ctx context.Context, first bool, at faultPoint, witness string) bool {
	if !first || w.at != at || !w.triggered.CompareAndSwap(false, true) {
		return false
	}
	w.fault(ctx, w, witness)
	return true
}

type faultyStore struct {
	*claimstore.Store
	w     *claimFixture
	first bool
}

func (s *faultyStore) Write(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (claim.WriteResult, error) {
	if record.State == claim.StateClaimed {
		s.w.trigger(ctx, s.first, beforeClaim, record.Witness)
	}
	if record.State == claim.StateDone {
		// Let the caller get its answer first.
		time.Sleep(time.Millisecond)
		s.w.trigger(ctx, s.first, notRecorded, record.Witness)
	}
	result, err := s.Store.Write(ctx, key, version, from, record)
	if record.State == claim.StateClaimed && s.w.trigger(ctx, s.first, claimAnswerLost, record.Witness) {
		return claim.WriteLost, errors.New("answer lost")
	}
	return result, err
}

type faultyPeers struct {
	w     *claimFixture
	first bool
}

func (p *faultyPeers) Entry(string) peer.Entry { return nil }
func (p *faultyPeers) Sidecar(addr string) peer.Sidecar {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return &claimClient{p.w.sidecars[addr], p, addr}
}

type claimClient struct {
	*sidecar.Sidecar
	p    *faultyPeers
	addr string
}

func (o *claimClient) Call(ctx context.Context, q *peer.ServiceRequest) (*peer.ServiceReply, error) {
	to := o.Sidecar
	if q.Granted {
		o.p.w.trigger(ctx, o.p.first, claimKnown, o.addr)
		to = o.p.Sidecar(o.addr).(*claimClient).Sidecar
	}
	reply, err := to.Call(ctx, q)
	if q.Granted && o.p.w.trigger(ctx, o.p.first, sentNoAnswer, o.addr) {
		return nil, peer.ErrNoAnswer
	}
	return reply, err
}

// Reserve loses the answer, as an answer after entry.ReserveTimeout is lost, while
// lostGrants is positive.
func (o *claimClient) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveReply, error) {
	reply, err := o.Sidecar.Reserve(ctx, q)
	select {
	case <-time.After(o.p.w.grantDelay):
	case <-ctx.Done():
		return nil, peer.ErrNoAnswer
	}
	if o.p.w.lostGrants.Add(-1) >= 0 {
		return nil, peer.ErrNoAnswer
	}
	return reply, err
}

// callerSink receives the answer of one caller.
type callerSink struct {
	collector
	w     *claimFixture
	first bool
	body  string
}

func (s *callerSink) WriteAnswer(a contract.ServiceAnswer) error {
	if s.w.trigger(context.Background(), s.first, notDelivered, "") {
		return errors.New("the caller is gone")
	}
	s.body = string(a.Body)
	return nil
}

// send makes the call at one entry and returns what its caller received: the answer,
// "broken" after a broken connection, or the refusal's Ran and code.
func (w *claimFixture) send(i int, body string) string { return w.sendKey(i, "fee-7", body) }

func (w *claimFixture) sendKey(i int, key, body string) string {
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	if i == 0 && !w.triggered.Load() && w.at != "" {
		w.cancelCaller = cancel
	}
	sink := &callerSink{w: w, first: i == 0}
	in := contract.Incoming{
		Key: testKey, IdempotencyKey: key,
		Call: &contract.ServiceCall{Method: "POST", Path: "/fees/certificate", Body: []byte(body)},
	}
	if i == 1 {
		in.Refused = w.refused
	}
	refusal := w.entries[i].Serve(ctx, in, sink)
	switch {
	case ctx.Err() != nil:
		return "broken"
	case sink.body != "":
		return sink.body
	case refusal == nil:
		return "no answer"
	default:
		return refusal.Ran.String() + " (whether it ran), code " + string(refusal.Code)
	}
}

// Faults of the first entry, its sidecars and the store.
func entryDies(ctx context.Context, w *claimFixture, _ string) {
	go w.entries[0].Close()
	// The entry does nothing more once its connections break, also for its
	// caller.
	time.Sleep(time.Millisecond)
	w.cancelCaller()
	if ctx.Done() != nil {
		<-ctx.Done()
	}
}

func sidecarReplaced(_ context.Context, w *claimFixture, witness string) {
	if witness != "" {
		w.sidecars[witness].Close()
		w.startSidecar(witness, 2)
	}
}

func entryDiesSidecarReplaced(ctx context.Context, w *claimFixture, witness string) {
	go sidecarReplaced(ctx, w, witness)
	entryDies(ctx, w, witness)
}

func entryPauses(context.Context, *claimFixture, string) { time.Sleep(claim.GrantLease + time.Second) }

func storeDown(_ context.Context, w *claimFixture, _ string) {
	w.platform.Store.SetDown(true)
	time.AfterFunc(5*time.Second, func() { w.platform.Store.SetDown(false) })
}

// TestOnceFaultTable injects each fault at each point. It checks what the
// caller gets, what a repeat at the other entry gets 10 s later, and that the
// call runs at most once.
func TestOnceFaultTable(t *testing.T) {
	const answer, broken = "entered", "broken"
	const noStore, unknown = "no (whether it ran), code store_unavailable", "unknown (whether it ran), code outcome_unknown"
	cases := []struct {
		at             faultPoint
		fault          string
		caller, repeat string
	}{
		{beforeClaim, "entry dies", broken, answer},
		{beforeClaim, "entry pauses", noStore, answer},
		{beforeClaim, "store down", noStore, answer},
		{beforeClaim, "sidecar replaced", answer, answer},
		{claimAnswerLost, "entry dies", broken, answer},
		{claimAnswerLost, "entry pauses", answer, answer},
		{claimAnswerLost, "store down", noStore, answer},
		{claimAnswerLost, "sidecar replaced", answer, answer},
		{claimAnswerLost, "entry dies, sidecar replaced", broken, unknown},
		{claimKnown, "entry dies", broken, answer},
		{claimKnown, "entry pauses", answer, answer},
		{claimKnown, "store down", answer, answer},
		{claimKnown, "sidecar replaced", answer, answer},
		{claimKnown, "entry dies, sidecar replaced", broken, unknown},
		{sentNoAnswer, "entry dies", broken, answer},
		{sentNoAnswer, "entry pauses", answer, answer},
		{sentNoAnswer, "store down", answer, answer},
		{sentNoAnswer, "sidecar replaced", unknown, unknown},
		{sentNoAnswer, "entry dies, sidecar replaced", broken, unknown},
		{notRecorded, "entry dies", answer, answer},
		{notRecorded, "entry pauses", answer, answer},
		{notRecorded, "store down", answer, answer},
		{notRecorded, "sidecar replaced", answer, answer},
		{notRecorded, "entry dies, sidecar replaced", answer, unknown},
		{notDelivered, "entry dies", broken, answer},
		{notDelivered, "store down", "yes (whether it ran), code canceled", answer},
	}
	faults := map[string]func(context.Context, *claimFixture, string){
		"entry dies": entryDies, "entry pauses": entryPauses, "store down": storeDown,
		"sidecar replaced": sidecarReplaced, "entry dies, sidecar replaced": entryDiesSidecarReplaced,
	}
	for _, c := range cases {
		t.Run(string(c.at)+": "+c.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newClaimFixture(t)
				w.at, w.fault = c.at, faults[c.fault]
				if got := w.send(0, "amount 5"); got != c.caller {
					t.Errorf("the caller got %q, want %q", got, c.caller)
				}
				time.Sleep(10 * time.Second)
				if !w.triggered.Load() {
					t.Error("the fault point was not reached")
				}
				if got := w.send(1, "amount 5"); got != c.repeat {
					t.Errorf("the repeat got %q, want %q", got, c.repeat)
				}
				if got := w.send(1, "amount 6"); got != "no (whether it ran), code idempotency_key_reused" {
					t.Errorf("a call with another body got %q", got)
				}
				ran := int(w.service.runs.Load())
				if ran > 1 || ran == 0 && c.repeat == answer {
					t.Errorf("ran %d times", ran)
				}
			})
		})
	}
}

// TestLostGrantAnswers guards against a call that is refused because both sidecars
// granted its attempt and both answers came too late: the sidecars took the next
// request for a grant of the same attempt for a second use of it.
func TestLostGrantAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newClaimFixture(t)
		w.lostGrants.Store(2)
		if got := w.send(0, "amount 5"); got != "entered" {
			t.Errorf("the caller got %q", got)
		}
		if ran := w.service.runs.Load(); ran != 1 {
			t.Errorf("ran %d times", ran)
		}
	})
}

// TestSlowGrantAnswers guards against a call that is refused because the answers of
// all sidecars always take longer than the first timeout.
func TestSlowGrantAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newClaimFixture(t)
		w.grantDelay = 3 * entry.ReserveTimeout
		if got := w.send(0, "amount 5"); got != "entered" {
			t.Errorf("the caller got %q", got)
		}
		if ran := w.service.runs.Load(); ran != 1 {
			t.Errorf("ran %d times", ran)
		}
	})
}

// TestReservationExpiresBeforeSend guards against a call that is refused for good
// because its claim was written slowly: it reaches the sidecar after its reservation
// expired and before the next sweep released it. Nothing ran, so another attempt is allowed.
func TestReservationExpiresBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newClaimFixture(t)
		// Grants are made between two sweeps, and so expire between two sweeps.
		time.Sleep(sidecar.SweepEvery / 2)
		w.at = beforeClaim
		w.fault = func(context.Context, *claimFixture, string) {
			time.Sleep(engine.DefaultLease + sidecar.SweepEvery/4)
		}
		if got := w.send(0, "amount 5"); got != "entered" {
			t.Errorf("the caller got %q", got)
		}
		if !w.triggered.Load() {
			t.Error("the fault point was not reached")
		}
		if ran := w.service.runs.Load(); ran != 1 {
			t.Errorf("ran %d times", ran)
		}
	})
}

// TestOnceConcurrently sends one call to both entries at once. It must run once
// and all callers must get its answer, also when the entry that holds the claim
// pauses for longer than the lease of its grant and resumes after the other
// entry has taken over.
func TestOnceConcurrently(t *testing.T) {
	for _, at := range []faultPoint{"", claimKnown, sentNoAnswer} {
		synctest.Test(t, func(t *testing.T) {
			w := newClaimFixture(t)
			w.at, w.fault = at, entryPauses
			got := make(chan string, 8)
			for i := range cap(got) {
				go func() { got <- w.send(i%2, "amount 5") }()
				if i == 0 && at != "" {
					time.Sleep(time.Second)
				}
			}
			for range cap(got) {
				if answer := <-got; answer != "entered" {
					t.Errorf("pause when %q: a caller got %q", at, answer)
				}
			}
			if ran := w.service.runs.Load(); ran != 1 {
				t.Errorf("pause when %q: ran %d times", at, ran)
			}
		})
	}
}

// TestClaimTableAccessesPerCall bounds the reads and writes of the claim table per call
// and checks the outcome of calls while the table is down. A call whose upstream
// link panics must not affect others, and its repeats are refused because it may have
// run.
func TestClaimTableAccessesPerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 50
		w := newClaimFixture(t)
		send := func(name, want string) {
			for i := range calls {
				if got := w.sendKey(i%2, fmt.Sprint(name, i), "amount 5"); got != want {
					t.Errorf("%s %d: got %q, want %q", name, i, got, want)
				}
			}
			time.Sleep(time.Second)
		}
		if got := w.sendKey(0, "fault", "panic"); got != "unknown (whether it ran), code outcome_unknown" {
			t.Errorf("the call that panics: %q", got)
		}
		time.Sleep(time.Second)
		before := w.platform.Store.Counts()
		send("up", "entered")
		after := w.platform.Store.Counts()
		writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
		t.Logf("%d calls: %d writes, %d reads", calls, writes, reads)
		if writes > 2*calls || reads > calls {
			t.Errorf("%d writes and %d reads for %d calls", writes, reads, calls)
		}
		w.platform.Store.SetDown(true)
		send("down", "no (whether it ran), code store_unavailable")
		if got := w.sendKey(1, "up0", "amount 5"); got != "entered" {
			t.Errorf("a repeat while the table is down: %q", got)
		}
		if got := w.sendKey(1, "up0", "amount 6"); got != "no (whether it ran), code store_unavailable" {
			t.Errorf("another body while the table is down: %q", got)
		}
		if got := w.sendKey(1, "fault", "panic"); got != "unknown (whether it ran), code store_unavailable" {
			t.Errorf("a repeat of a call that may have run, while the table is down: %q", got)
		}
		if ran := w.service.runs.Load(); ran != calls+1 {
			t.Errorf("ran %d times, want %d", ran, calls+1)
		}
		if got := w.sendKey(1, "", "amount 5"); got != "no (whether it ran), code idempotency_key_missing" {
			t.Errorf("without a key: %q", got)
		}
	})
}
