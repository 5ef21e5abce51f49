// Package entry is the thin process that callers reach. It admits requests,
// places them among upstreams, and gives each caller the whole answer to its own
// request. It keeps nothing that must last.
//
// A request is a row of the table of requests. Each step of its life is one work
// item: admit, dispatch, reserve, prefill, decode, deliver, finish. The goroutine
// that serves the caller's connection only waits for what the steps leave in the
// row.
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

// Lanes of an entry's blocking calls.
const (
	laneReserve  pool.Lane = "reserve"
	lanePrefill  pool.Lane = "prefill"
	laneDecode   pool.Lane = "decode"
	laneService  pool.Lane = "service"
	lanePoll     pool.Lane = "poll"
	laneCancel   pool.Lane = "cancel"
	lanePlatform pool.Lane = "platform"
	laneSpread   pool.Lane = "spread"
	laneQuery    pool.Lane = "query"
	laneRates    pool.Lane = "rates"
)

// Peers opens the calls of other processes.
type Peers interface {
	// Sidecar returns the calls of the sidecar at an address.
	Sidecar(addr string) peer.Sidecar
	// Entry returns the calls of the entry at an address.
	Entry(addr string) peer.Entry
}

// ConfigSource reads the newest configuration from where it is kept.
type ConfigSource interface {
	// Load returns the newest snapshot; it is have if there is no newer one.
	Load(ctx context.Context, have *config.Snapshot) (config.Loaded, error)
}

// Options configure an entry.
type Options struct {
	Self instance.Identity
	// Addr is the host:port of the peer listener, told to other entries.
	Addr string
	// Seeds are the peer listeners of some other entries, asked while no other
	// entry is known, so that a restart needs no platform.
	Seeds []string
	// Zones are the fleet's availability zones, as far as the settings name
	// them; others are learned.
	Zones []zone.AvailabilityZone
	// Trust says when keyed routes may be served.
	Trust zone.TrustRule
	// Secret makes the pseudonyms of client accounts; the same in the fleet.
	Secret []byte
	// Workers is the size of the worker pool.
	Workers int
	// MaxRequests bounds the requests that run or wait at a time.
	MaxRequests int
	Board       *placement.Board
	Rates       rate.Policy
	// NewQueue makes the queue of one route.
	NewQueue func() fair.Queue
	Peers    Peers
	Config   ConfigSource
	// Layouts keeps the layout of rates; nil means that there is none, which
	// only a policy that needs no layout can do with.
	Layouts LayoutStore
	// Claims keeps the claims of requests that may not be repeated; nil means
	// that such requests are only kept from being sent twice by this entry.
	Claims ClaimStore
	// ClaimSweep says how long claims are kept; DefaultClaimSweep if zero.
	ClaimSweep ClaimSweep
	// Instances is the lagging list; nil means that there is none.
	Instances platform.Instances
	Recorder  Recorder
	Clock     clock.Clock
	Log       hclog.Logger
}

// DefaultMaxRequests bounds the requests of one entry.
const DefaultMaxRequests = 4096

// Entry is the process that callers reach. It implements contract.Server and
// peer.Entry.
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
	// sweepFrom is the row after which the next sweep begins.
	sweepFrom atomic.Value
	// duties counts claims that wait to be settled.
	duties atomic.Int64

	sequence atomic.Uint64
	// watchTurn says which watched upstreams are asked next.
	watchTurn atomic.Uint64
	// ticking says that the queues are looked at.
	ticking atomic.Bool
	// running counts the rows of requests.
	running  atomic.Int64
	newQueue func() fair.Queue

	config   *table.Single[*config.Spread]
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

// New starts an entry. It is not ready before it has a configuration. Close ends
// it.
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
		config:      table.NewSingle(table.RankConfig, config.NewSpread(ConfigPollEvery)),
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

// lanes bounds the calls to peers and to the platform.
func lanes(requests int) map[pool.Lane]int {
	const polls, platformCalls, spreadCalls, queryCalls, rateCalls, claimCalls = 1024, 16, 64, 128, 256, 256
	return map[pool.Lane]int{
		laneReserve:  maxReserving * 2,
		lanePrefill:  requests,
		laneDecode:   requests,
		laneService:  requests,
		lanePoll:     polls,
		laneCancel:   requests,
		lanePlatform: platformCalls,
		laneSpread:   spreadCalls,
		laneQuery:    queryCalls,
		laneRates:    rateCalls,
		laneClaims:   claimCalls,
	}
}

// Close ends the process at once; Drain comes before it in a graceful shutdown.
func (e *Entry) Close() {
	e.life.Advance(instance.Gone)
	e.pool.Close()
}

// State gives where the process stands in its life.
func (e *Entry) State() instance.State {
	return e.life.State()
}

// Drain refuses new requests and waits until the running ones have ended and
// their claims are settled, or ctx
// ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.life.Advance(instance.Draining)
	e.pool.Resume(e.handBackRates)
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	for e.running.Load() > 0 || e.duties.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// header opens a message.
func (e *Entry) header(h *table.Held) peer.Header {
	header := peer.Header{From: e.self, Revision: e.snapshot(h).Revision}
	header.Quarantine = e.notes(h)
	return header
}

// snapshot gives the configuration in force.
func (e *Entry) snapshot(h *table.Held) (now *config.Snapshot) {
	e.config.With(h, func(s **config.Spread) { now = (*s).Current() })
	return now
}
