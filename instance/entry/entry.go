// Package entry is the front process of the router: it admits requests, places
// them on upstreams and returns each caller the complete answer to its own
// request. It holds no durable state; front ends call it through contract.Server,
// and sidecars run the work at the upstreams.
//
// Each request is a row of the request table. The steps of a request are work
// items of the worker pool: admit, dispatch, reserve, prefill, decode, deliver,
// finish. The goroutine of the caller's connection waits for output in the row.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/peer/heard"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Lanes of an entry's blocking calls. A lane limits how many of them run at a
// time.
const (
	laneReserve  pool.Lane = "reserve"
	lanePrefill  pool.Lane = "prefill"
	laneDecode   pool.Lane = "decode"
	laneService  pool.Lane = "service"
	lanePoll     pool.Lane = "poll"
	laneCancel   pool.Lane = "cancel"
	lanePlatform pool.Lane = "platform"
	// laneSync is for heartbeats and the exchange of configurations.
	laneSync  pool.Lane = "spread"
	laneQuery pool.Lane = "query"
	laneRates pool.Lane = "rates"
)

// Peers returns clients for other processes.
type Peers interface {
	// Sidecar returns a client for the sidecar at an address.
	Sidecar(addr string) peer.Sidecar
	// Entry returns a client for the entry at an address.
	Entry(addr string) peer.Entry
}

// ConfigSource reads the newest configuration from the store.
type ConfigSource interface {
	// Load returns the newest snapshot, or have if there is no newer one.
	Load(ctx context.Context, have *config.Snapshot) (config.Loaded, error)
}

// Options configure an entry.
type Options struct {
	Self instance.Identity
	// Addr is the host:port of the peer listener, advertised to other entries.
	Addr string
	// Seeds are peer listeners of some other entries. They are contacted while no
	// other entry is known, so that a restart does not depend on the platform.
	Seeds []string
	// Zones are the availability zones named in the settings; others are
	// discovered.
	Zones []zone.AvailabilityZone
	// Trust is the rule that decides when routes with keys may be served.
	Trust zone.TrustRule
	// Secret is the key from which pseudonyms of client accounts are derived. All
	// entries of the fleet use the same one.
	Secret []byte
	// Workers is the number of goroutines of the worker pool.
	Workers int
	// MaxRequests bounds the requests that run or wait at a time;
	// DefaultMaxRequests if less than 1.
	MaxRequests int
	Board       *placement.Board
	Rates       rate.Policy
	// NewQueue is called once for each route.
	NewQueue func() fair.Queue
	Peers    Peers
	Config   ConfigSource
	// Layouts stores the layout of rate shares. It may be nil for a policy that needs
	// no layout.
	Layouts LayoutStore
	// Claims stores the claims of non-repeatable requests. If nil, only this
	// entry is kept from sending such a request twice.
	Claims ClaimStore
	// ClaimSweep is the retention of claims; DefaultClaimSweep if zero.
	ClaimSweep ClaimSweep
	// Instances is the platform's list of instances, which lags behind changes;
	// nil if the platform has none.
	Instances platform.Instances
	Recorder  Recorder
	Clock     clock.Clock
	Log       hclog.Logger
}

// DefaultMaxRequests is the limit if Options.MaxRequests is not set.
const DefaultMaxRequests = 4096

// Entry implements contract.Server for callers and peer.Entry for other entries.
type Entry struct {
	self        instance.Identity
	addr        string
	trust       zone.TrustRule
	secret      []byte
	maxRequests int64
	peers       Peers
	source      ConfigSource
	layouts     LayoutStore
	instances   platform.Instances
	recorder    Recorder
	clock       clock.Clock
	log         hclog.Logger
	life        instance.LifeCycle
	pool        *pool.Pool

	claimStore ClaimStore
	claimSweep ClaimSweep
	// sweepFrom is the key of the row after which the next sweep starts.
	sweepFrom atomic.Value
	// openFollowUps counts the writes to claims that are not finished yet, lookups the
	// claims that are being looked up.
	openFollowUps, lookups atomic.Int64

	sequence atomic.Uint64
	// watchOffset is the position of the next watched upstream to poll.
	watchOffset atomic.Uint64
	// ticking is true while tick is scheduled.
	ticking atomic.Bool
	// running counts the rows of the request table.
	running  atomic.Int64
	newQueue func() fair.Queue

	config   *table.Single[*config.Replicator]
	members  *table.Single[*members]
	rates    *table.Single[rate.Policy]
	queues   *table.Single[map[contract.RouteName]*routeQueue]
	requests *table.Striped[contract.RequestID, *request]
	claims   *table.Striped[contract.RequestID, *claimRun]
	board    *table.Single[*placement.Board]
	suspects *table.Single[*quarantine.Table]
	pollers  *table.Single[map[string]*poller]
	retries  *table.Single[*retry.Budget]
}

// New starts an entry, which the caller ends with Close. The entry is not ready
// before it has a configuration.
func New(o Options) *Entry {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Recorder == nil {
		o.Recorder = noRecorder{}
	}
	if o.ClaimSweep == (ClaimSweep{}) {
		o.ClaimSweep = DefaultClaimSweep
	}
	if o.MaxRequests < 1 {
		o.MaxRequests = DefaultMaxRequests
	}
	e := &Entry{
		self:        o.Self,
		addr:        o.Addr,
		trust:       o.Trust,
		secret:      o.Secret,
		maxRequests: int64(o.MaxRequests),
		source:      o.Config,
		layouts:     o.Layouts,
		instances:   o.Instances,
		recorder:    o.Recorder,
		clock:       o.Clock,
		log:         o.Log,
		config:      table.NewSingle(table.RankConfig, config.NewReplicator(ConfigPollEvery)),
		members:     table.NewSingle(table.RankMembers, newMembers(o)),
		rates:       table.NewSingle(table.RankRates, o.Rates),
		newQueue:    o.NewQueue,
		queues:      table.NewSingle(table.RankQueue, make(map[contract.RouteName]*routeQueue)),
		requests:    table.NewStriped[contract.RequestID, *request](table.RankRequests, table.DefaultStripes),
		claimStore:  o.Claims,
		claimSweep:  o.ClaimSweep,
		claims:      table.NewStriped[contract.RequestID, *claimRun](table.RankClaims, table.DefaultStripes),
		board:       table.NewSingle(table.RankBoard, o.Board),
		suspects:    table.NewSingle(table.RankQuarantine, quarantine.New(quarantine.Options{})),
		pollers:     table.NewSingle(table.RankOutbox, make(map[string]*poller)),
		retries:     table.NewSingle(table.RankStats, retry.NewBudget(retry.Options{})),
	}
	e.peers = heard.Peers{Dialer: o.Peers, Node: e}
	e.pool = pool.New(pool.Options{
		Workers:    o.Workers,
		QueueLimit: o.MaxRequests,
		Clock:      o.Clock,
		Lanes:      lanes(o.MaxRequests),
		OnPanic: func(reason any, stack []byte) {
			e.log.Error("a step panicked", "reason", reason, "stack", string(stack))
		},
	})
	e.sweepFrom.Store("")
	e.startTimers()
	return e
}

// lanes returns the concurrency limit of each lane.
func lanes(requests int) map[pool.Lane]int {
	const polls, platformCalls, syncCalls, queryCalls, rateCalls, claimCalls = 1024, 16, 64, 128, 256, 256
	return map[pool.Lane]int{
		laneReserve:  maxReserving * 2,
		lanePrefill:  requests,
		laneDecode:   requests,
		laneService:  requests,
		lanePoll:     polls,
		laneCancel:   requests,
		lanePlatform: platformCalls,
		laneSync:     syncCalls,
		laneQuery:    queryCalls,
		laneRates:    rateCalls,
		laneClaims:   claimCalls,
	}
}

// Close stops the entry at once. For a graceful shutdown, call Drain first.
func (e *Entry) Close() {
	e.life.Advance(instance.Gone)
	e.pool.Close()
}

// State returns the life-cycle state of the process.
func (e *Entry) State() instance.State {
	return e.life.State()
}

// Drain refuses new requests and waits until the running ones have ended and
// their claims are written, or until ctx ends. It returns the cause of ctx then.
func (e *Entry) Drain(ctx context.Context) error {
	e.life.Advance(instance.Draining)
	e.pool.Enqueue(e.releaseTokens)
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	for e.running.Load() > 0 || e.openFollowUps.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// header returns the header of a message from this entry.
func (e *Entry) header(h *table.HeldLocks) peer.Header {
	header := peer.Header{From: e.self, Revision: e.snapshot(h).Revision}
	header.Quarantine = e.quarantineNotes(h)
	return header
}

// snapshot returns the current configuration.
func (e *Entry) snapshot(h *table.HeldLocks) (current *config.Snapshot) {
	e.config.With(h, func(s **config.Replicator) { current = (*s).Current() })
	return current
}
