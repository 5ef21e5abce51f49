package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// answer is what a fake upstream does with one call.
type answer struct {
	result runner.Result
	// events are delivered before the result, with gap between two of them.
	events int
	gap    time.Duration
	// hang blocks the call until its context ends.
	hang bool
	// takes is how long the call lasts.
	takes time.Duration
	// panics makes the call panic.
	panics bool
	// whole makes the answer to a stream request a whole one instead of events.
	whole bool
}

var (
	success        = answer{result: runner.Result{Reach: runner.Answered, Status: 200}}
	serverError    = answer{result: runner.Result{Reach: runner.Answered, Status: 500}}
	full           = answer{result: runner.Result{Reach: runner.Rejected, Status: 503, Err: errors.New("full")}}
	misdirected    = answer{result: runner.Result{Reach: runner.Rejected, Status: 421, Misdirected: true, Err: errors.New("address belongs to another upstream")}}
	broken         = answer{result: runner.Result{Reach: runner.Broken, Err: errors.New("reset")}}
	notSent        = answer{result: runner.Result{Reach: runner.NotSent, Err: errors.New("no connection")}}
	hanging        = answer{hang: true}
	brokenAfterTwo = answer{result: broken.result, events: 2}
	complete       = answer{result: success.result, events: 5}
)

// fakeRunners stands for all upstreams of a fleet. A call gets the next answer queued
// for its kind, and succeeds if none is queued.
type fakeRunners struct {
	mu      sync.Mutex
	answers map[string][]answer
	// calls are all calls in order, as kind@upstream; options are theirs.
	calls   []string
	options []runner.Options
	orders  []runner.RoleOrder
	report  runner.Report
	// unreachable upstreams accept no connection: they refuse it, or if silent is set do
	// not answer.
	unreachable map[upstream.ID]bool
	silent      bool
	held        int
	// reserved are the tokens of all reservations that were asked for.
	reserved []contract.Tokens
	observe  func(runner.Target, runner.Notice)
	// onCall, if set, is called at the start of each call with the number of calls of its
	// kind so far.
	onCall    func(kind string, number int)
	forgotten []runner.Target
}

func (f *fakeRunners) Observe(observe func(runner.Target, runner.Notice)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe = observe
}

func newFakeRunners() *fakeRunners {
	return &fakeRunners{answers: make(map[string][]answer), unreachable: make(map[upstream.ID]bool)}
}

// setReachable makes all upstreams reachable.
func (f *fakeRunners) setReachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unreachable)
}

// queue adds answers for a kind of call.
func (f *fakeRunners) queue(kind string, answers ...answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[kind] = append(f.answers[kind], answers...)
}

// clear removes the answers queued for a kind of call.
func (f *fakeRunners) clear(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.answers, kind)
}

func (f *fakeRunners) take(ctx context.Context, kind string, to runner.Target, o runner.Options) answer {
	f.mu.Lock()
	f.calls = append(f.calls, kind+"@"+string(to.ID))
	f.options = append(f.options, o)
	a := success
	if kind == "stream" {
		a = complete
	}
	if list := f.answers[kind]; len(list) > 0 {
		a, f.answers[kind] = list[0], list[1:]
	}
	onCall := f.onCall
	f.mu.Unlock()
	if onCall != nil {
		onCall(kind, f.count(kind))
	}
	if a.panics {
		panic("the call panics")
	}
	if a.hang {
		<-ctx.Done()
		return answer{result: runner.Result{Reach: runner.Broken, Err: context.Cause(ctx)}, events: a.events}
	}
	if a.takes > 0 {
		select {
		case <-ctx.Done():
			return answer{result: runner.Result{Reach: runner.Broken, Err: context.Cause(ctx)}}
		case <-time.After(a.takes):
		}
	}
	return a
}

// forgetCalls removes all calls so far.
func (f *fakeRunners) forgetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.options = nil, nil
}

// count counts the calls of a kind.
func (f *fakeRunners) count(kind string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if len(c) > len(kind) && c[:len(kind)+1] == kind+"@" {
			n++
		}
	}
	return n
}

// allCalls returns a copy of calls.
func (f *fakeRunners) allCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// allOrders returns a copy of orders.
func (f *fakeRunners) allOrders() []runner.RoleOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

// lastOptions returns the options of the last call of a kind.
func (f *fakeRunners) lastOptions(kind string) (o runner.Options) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.calls {
		if len(c) > len(kind) && c[:len(kind)+1] == kind+"@" {
			o = f.options[i]
		}
	}
	return o
}

func (f *fakeRunners) Reserve(ctx context.Context, to runner.Target, tokens contract.Tokens, _ time.Duration) (string, runner.Result) {
	f.mu.Lock()
	f.reserved = append(f.reserved, tokens)
	f.mu.Unlock()
	a := f.take(ctx, "reserve", to, runner.Options{})
	if a.result.Reach != runner.Answered {
		return "", a.result
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held++
	return "r" + strconv.Itoa(f.held), a.result
}

func (f *fakeRunners) Release(ctx context.Context, to runner.Target, id string) runner.Result {
	return f.take(ctx, "release", to, runner.Options{Reservation: id}).result
}

func (f *fakeRunners) Prefill(ctx context.Context, to runner.Target, _ *contract.Message, o runner.Options) (runner.Handle, runner.Result) {
	a := f.take(ctx, "prefill", to, o)
	if a.result.Reach != runner.Answered {
		return runner.Handle{}, a.result
	}
	return runner.Handle{ID: "k", Addr: to.Addr, Engine: to.ID}, a.result
}

func (f *fakeRunners) FreeHandle(ctx context.Context, to runner.Target, id string) runner.Result {
	return f.take(ctx, "free", to, runner.Options{Source: runner.Handle{ID: id, Addr: to.Addr}}).result
}

func (f *fakeRunners) Call(ctx context.Context, to runner.Target, _ *contract.Message, o runner.Options) (runner.Answer, runner.Result) {
	a := f.take(ctx, "call", to, o)
	if a.result.Reach != runner.Answered {
		return runner.Answer{}, a.result
	}
	return runner.Answer{Status: a.result.Status, Header: map[string][]string{}, Body: []byte("body")}, a.result
}

func (f *fakeRunners) Stream(ctx context.Context, to runner.Target, _ *contract.Message, o runner.Options, sink runner.StreamReceiver) (runner.Answer, runner.Result) {
	a := f.take(ctx, "stream", to, o)
	if a.whole {
		return runner.Answer{Status: a.result.Status, Header: map[string][]string{}, Body: []byte("body")}, a.result
	}
	first := 1
	if o.ResumeAfter != "" {
		last, err := strconv.Atoi(o.ResumeAfter)
		if err != nil {
			return runner.Answer{}, broken.result
		}
		first = last + 1
	}
	for id := first; id <= a.events; id++ {
		if id > first {
			time.Sleep(a.gap)
		}
		if err := sink.Begin(200, nil, a.result.Load); err != nil {
			return runner.Answer{}, runner.Result{Reach: runner.Broken, Err: err}
		}
		if err := sink.Event(runner.Event{ID: strconv.Itoa(id), Raw: []byte(strconv.Itoa(id) + " ")}); err != nil {
			return runner.Answer{}, runner.Result{Reach: runner.Broken, Err: err}
		}
	}
	return runner.Answer{}, a.result
}

func (f *fakeRunners) Report(ctx context.Context, to runner.Target) (runner.Report, runner.Result) {
	a := f.take(ctx, "report", to, runner.Options{})
	return f.report, a.result
}

func (f *fakeRunners) SetRole(ctx context.Context, to runner.Target, o runner.RoleOrder) runner.Result {
	a := f.take(ctx, "order", to, runner.Options{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return a.result
}

func (f *fakeRunners) Reachable(_ context.Context, to runner.Target) runner.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.unreachable[to.ID]:
		return success.result
	case f.silent:
		return runner.Result{Reach: runner.NotSent, Err: context.DeadlineExceeded}
	default:
		return engineDown
	}
}

// errRegistryDown is the error of a fakeRegistry that is down.
var errRegistryDown = errors.New("registry is down")

// fakeRegistry is a registry in memory. While down is set, all calls but Entries fail. Reads
// of the configuration and the list that begin while silent is set get no answer.
type fakeRegistry struct {
	mu      sync.Mutex
	changed chan struct{}
	// broken is closed and replaced by breakWatches. While breaking is set, watches break at
	// once; waits counts all calls that may wait.
	broken   chan struct{}
	breaking bool
	waits    int
	version  uint64
	config   *directory.Snapshot
	list     map[upstream.ID]registry.Record
	entries  []registry.Entry
	demand   map[directory.ServiceName]demand.Tally
	bans     []quarantine.BanNote
	lease    registry.Lease
	leaseAt  time.Time
	down     bool
	silent   bool
	// evacuations are the rows of evacuated zones.
	evacuations evacuationRows
}

func newFakeRegistry(s *directory.Snapshot, records ...registry.Record) *fakeRegistry {
	f := &fakeRegistry{changed: make(chan struct{}), broken: make(chan struct{}), version: 1, config: s, list: make(map[upstream.ID]registry.Record)}
	for _, r := range records {
		f.list[r.ID] = r
	}
	return f
}

// change calls do, raises the version and wakes the watchers.
func (f *fakeRegistry) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// quietly calls do and raises the version without waking the watchers.
func (f *fakeRegistry) quietly(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.version++
}

// breakWatches breaks the connections of the watches that wait now.
func (f *fakeRegistry) breakWatches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.broken)
	f.broken = make(chan struct{})
}

func (f *fakeRegistry) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fakeRegistry) wait(ctx context.Context, after uint64, wait time.Duration) error {
	f.mu.Lock()
	f.waits++
	changed, broken, breaking, version, down, silent := f.changed, f.broken, f.breaking, f.version, f.down, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	if down {
		return errRegistryDown
	}
	if version > after || wait == 0 {
		return nil
	}
	if breaking {
		return fmt.Errorf("%w: connection reset", registry.ErrNoAnswer)
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-broken:
		return fmt.Errorf("%w: connection reset", registry.ErrNoAnswer)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errRegistryDown
	}
	return nil
}

func (f *fakeRegistry) ReadUpstreams(ctx context.Context) (registry.Upstreams, error) {
	return f.WatchUpstreams(ctx, 0, 0)
}

// WatchUpstreams always returns the complete list, as a registry may.
func (f *fakeRegistry) WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) (registry.Upstreams, error) {
	if err := f.wait(ctx, after, wait); err != nil {
		return registry.Upstreams{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := registry.Upstreams{Version: f.version, Whole: true}
	for _, r := range f.list {
		out.Present = append(out.Present, r)
	}
	return out, nil
}

func (f *fakeRegistry) ReadConfig(ctx context.Context) (registry.ConfigUpdate, error) {
	return f.WatchConfig(ctx, 0, 0)
}

func (f *fakeRegistry) WatchConfig(ctx context.Context, after uint64, wait time.Duration) (registry.ConfigUpdate, error) {
	if err := f.wait(ctx, after, wait); err != nil {
		return registry.ConfigUpdate{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	evacuations, err := f.evacuationsAfter(after)
	return registry.ConfigUpdate{Version: f.version, Newest: f.config, Evacuations: evacuations}, err
}

func (f *fakeRegistry) ReadLease(context.Context, string) (registry.Lease, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return registry.Lease{}, false, errRegistryDown
	}
	lease := f.lease
	lease.Age = time.Since(f.leaseAt)
	return lease, lease.Holder != "", nil
}

func (f *fakeRegistry) WriteLease(_ context.Context, _ string, read registry.Lease, holder string) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return 0, errRegistryDown
	case read.Fencing != f.lease.Fencing:
		return 0, registry.ErrConflict
	}
	f.lease = registry.Lease{Holder: holder, Fencing: f.lease.Fencing + 1}
	f.leaseAt = time.Now()
	return f.lease.Fencing, nil
}

func (f *fakeRegistry) Register(_ context.Context, self registry.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errRegistryDown
	}
	f.entries = append(f.entries, self)
	return nil
}

func (f *fakeRegistry) Entries(context.Context) ([]registry.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]registry.Entry(nil), f.entries...), nil
}

func (f *fakeRegistry) SaveDemand(_ context.Context, tallies map[directory.ServiceName]demand.Tally) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errRegistryDown
	}
	f.demand = tallies
	return nil
}

func (f *fakeRegistry) LoadDemand(context.Context) (map[directory.ServiceName]demand.Tally, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errRegistryDown
	}
	return maps.Clone(f.demand), nil
}

func (f *fakeRegistry) SaveBans(_ context.Context, bans []quarantine.BanNote) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errRegistryDown
	}
	f.bans = bans
	return nil
}

func (f *fakeRegistry) LoadBans(context.Context) ([]quarantine.BanNote, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errRegistryDown
	}
	return slices.Clone(f.bans), nil
}

// manyTokens is a demand with which decode engines of testConfig need most of a fleet: a
// prompt of 3,000 tokens is prefilled in 100 ms, an output of 3,000 takes 6 s beside 20
// others.
func manyTokens() map[directory.ServiceName]demand.Tally {
	l := demand.NewLedger()
	now := time.Now()
	for range 100 {
		l.RecordRequest(now, "engines", 3000, 3000, 3000)
		l.RecordPrefill(now, "engines", 3000, 100*time.Millisecond)
		l.RecordPace(now, "engines", 20, 2*time.Millisecond)
	}
	return l.Own(now)
}

// fakePeers connects the gateways of one test. Gateways whose address is in cut are
// unreachable.
type fakePeers struct {
	mu       sync.Mutex
	gateways map[string]*Gateway
	cut      map[string]bool
}

func newFakePeers() *fakePeers {
	return &fakePeers{gateways: make(map[string]*Gateway), cut: make(map[string]bool)}
}

func (f *fakePeers) Exchange(ctx context.Context, addr string, m relay.Message) (relay.Reply, error) {
	f.mu.Lock()
	g, cut := f.gateways[addr], f.cut[addr] || f.cut[m.From.Addr]
	f.mu.Unlock()
	if g == nil || cut {
		return relay.Reply{}, errors.New("no such peer")
	}
	return g.Exchange(ctx, m)
}

func (f *fakePeers) Fetch(ctx context.Context, addr string, w relay.Want) (relay.State, error) {
	f.mu.Lock()
	g, cut := f.gateways[addr], f.cut[addr]
	f.mu.Unlock()
	if g == nil || cut {
		return relay.State{}, errors.New("no such peer")
	}
	return g.Fetch(ctx, w)
}

// others returns the gateways but for the one at an address.
func (f *fakePeers) others(addr string) (out []*Gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for at, g := range f.gateways {
		if at != addr {
			out = append(out, g)
		}
	}
	return out
}

// callerSink collects the answer; if fail is set, every write returns it.
type callerSink struct {
	status int
	body   string
	fail   error
}

func (c *callerSink) Begin(status int, _ map[string][]string) error {
	c.status = status
	return c.fail
}

func (c *callerSink) Write(p []byte) error {
	c.body += string(p)
	return c.fail
}

const retryDelay = 2 * time.Second

// fleet holds the fakes that a test's gateways share.
type fleet struct {
	runners *fakeRunners
	// client is used in place of runners if it is set.
	client   runner.Client
	registry *fakeRegistry
	// view is used in place of registry by gateways that start while it is set.
	view  registry.Registry
	peers *fakePeers
	// dialer is used in place of peers by gateways that start while it is set.
	dialer relay.Dialer
	// log and regions may be nil.
	log     hclog.Logger
	regions map[zone.AvailabilityZone]zone.Region
	// cold bounds the requests to cold upstreams.
	cold    ColdBounds
	changes ChangeBounds
}

func record(id string, service directory.ServiceName, role upstream.Role) registry.Record {
	return registry.Record{ID: upstream.ID(id), Service: service, Addr: id + ":1", Zone: "z", Role: role}
}

// testFleet has two prefill and two decode engines and two plain upstreams.
func testFleet() *fleet {
	return &fleet{
		runners: newFakeRunners(),
		registry: newFakeRegistry(testConfig(1),
			record("p1", "engines", upstream.RolePrefill), record("p2", "engines", upstream.RolePrefill),
			record("d1", "engines", upstream.RoleDecode), record("d2", "engines", upstream.RoleDecode),
			record("s1", "desk", upstream.RoleService), record("s2", "desk", upstream.RoleService)),
		peers: newFakePeers(),
	}
}

// start starts a gateway. It is not ready until its first reads have finished.
func (f *fleet) start(t *testing.T, name string, seeds ...string) *Gateway {
	t.Helper()
	client := f.client
	if client == nil {
		client = f.runners
	}
	var view registry.Registry = f.registry
	if f.view != nil {
		view = f.view
	}
	var dialer relay.Dialer = f.peers
	if f.dialer != nil {
		dialer = f.dialer
	}
	g := New(Options{
		Self:       instance.Identity{Name: instance.Name(name), Incarnation: instance.Incarnation(time.Now().UnixNano())},
		Addr:       name,
		Seeds:      seeds,
		Runners:    client,
		Registry:   view,
		Peers:      dialer,
		Quota:      quota.Options{Window: 8 * time.Second},
		Retries:    retry.Options{Share: 0.2, FloorPerSecond: 5, FloorBurst: 20, MaxSaved: 10},
		RetryAfter: retryDelay,
		Cold:       f.cold,
		Changes:    f.changes,
		LeaseTerm:  3 * time.Second,
		Regions:    f.regions,
		Log:        f.log,
	})
	f.peers.mu.Lock()
	f.peers.gateways[name] = g
	f.peers.mu.Unlock()
	return g
}

// testGiveUp is the time without an event after which callers leave a stream.
const testGiveUp = 3600 * time.Millisecond

func testConfig(version uint64) *directory.Snapshot {
	route := func(name, prefix string, kind directory.Kind, service directory.ServiceName, attempts int) *directory.Route {
		return &directory.Route{
			Name: contract.RouteName(name), Host: "h", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Timeout: 10 * time.Second,
			Objective: 900 * time.Millisecond, GiveUp: testGiveUp, Shares: []directory.Share{{Service: service, Weight: 1}},
		}
	}
	resumable := route("resumable", "/resumable/", directory.Stream, "engines", 2)
	resumable.Resumable = true
	plainStream := route("plain-stream", "/plain-stream/", directory.Stream, "desk", 2)
	plainStream.Resumable = true
	open := route("open", "/open/", directory.Idempotent, "desk", 2)
	open.Open = true
	return &directory.Snapshot{
		Version: version,
		Hosts: map[string][]*directory.Route{"h": {
			resumable, open, plainStream, route("stream", "/stream/", directory.Stream, "engines", 1),
			route("read", "/read/", directory.Idempotent, "desk", 2), route("once", "/once/", directory.Once, "desk", 1),
		}},
		Services: map[directory.ServiceName]*directory.Service{
			"engines": {Name: "engines", Engine: &directory.Engine{KVTokens: 123_000, EventTokens: 10, RoleSwitch: 6 * time.Second, MaxReservation: 2 * time.Second}},
			"desk":    {Name: "desk"},
		},
		Accounts: map[contract.AccountID]*directory.Account{"weaver": {
			ID: "weaver", Quota: directory.Quota{PerSecond: 10_000, Burst: 10_000, ByTokens: true, PlainCost: 100},
		}},
		Keys: map[contract.KeyHash]contract.AccountID{contract.HashKey("key"): "weaver"},
	}
}

func testMessage(path string) *contract.Message {
	return &contract.Message{
		ID: "id", Host: "h", Path: path, Method: "POST", Target: path, Key: "key", CallerTimeout: 8 * time.Second,
		Prompt: 1000, MaxOutput: 100, Sized: true,
	}
}

// plainMessage is a message without token counts.
func plainMessage(path string) *contract.Message {
	m := testMessage(path)
	m.Prompt, m.MaxOutput, m.Sized = 0, 0, false
	return m
}
