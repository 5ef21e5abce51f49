// Package gateway implements the process that callers connect to in a fleet whose
// upstreams register themselves and do their own admission, without sidecars. It
// finds the route and account of a message, reserves memory at a decode engine
// before the prompt is read, forwards the message unchanged and relays the answer.
// It stores nothing durable: configuration and upstreams come from the registry or
// from other gateways.
//
// A request is a row of the request table. Each step of a request is one work item
// of the pool; calls that block are effects, and each returns the step that handles
// its outcome (the afterX methods). The log lines of requests are written here.
// Encoding is left to the links.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Lanes separate the blocking calls, so that one kind cannot starve another.
const (
	laneRequest  pool.Lane = "request"
	laneCleanup  pool.Lane = "cleanup"
	laneRegistry pool.Lane = "registry"
	lanePeers    pool.Lane = "peers"
	laneCatchUp  pool.Lane = "catch_up"
)

// Concurrent calls on the lanes whose limit is not MaxRequests.
const (
	cleanupCalls  = 64
	registryCalls = 8
	peerCalls     = 16
	catchUpCalls  = 1
)

// Options configure a gateway.
type Options struct {
	Self instance.Identity
	// Addr is the host:port of the peer listener.
	Addr string
	// Seeds are the host:port of peer listeners, used while no peer is known.
	Seeds []string
	// Runners is the client for calls to upstreams.
	Runners  runner.Client
	Registry registry.Registry
	Peers    relay.Dialer
	// Workers is the size of the worker pool.
	Workers int
	// MaxRequests bounds the requests that run or wait at the same time. Values
	// below 1 mean DefaultMaxRequests.
	MaxRequests int
	// Quota configures the quota meter; New sets its Incarnation and Start.
	Quota quota.Options
	// Retries configures the retry budget of each service.
	Retries retry.Options
	// Cold bounds the requests to upstreams that are cold, see pace.Limit; no bound if
	// Over is 0.
	Cold ColdBounds
	// RetryAfter is the retry delay sent with refusals for lack of capacity.
	RetryAfter time.Duration
	// Regions are the regions of the availability zones; upstreams in other zones are
	// outside of all home regions.
	Regions map[zone.AvailabilityZone]zone.Region
	// Changes bounds the time until changes of the registry are in force.
	Changes ChangeBounds
	// LeaseTerm is how long a lease is valid without renewal.
	LeaseTerm time.Duration
	// Metrics, Clock and Log may be nil: then New uses new metrics, the system
	// clock and no log.
	Metrics *Metrics
	Clock   clock.Clock
	Log     hclog.Logger
}

// DefaultMaxRequests is the default of Options.MaxRequests.
const DefaultMaxRequests = 1024

// Gateway implements contract.Forwarder and relay.Server.
type Gateway struct {
	options  Options
	runners  runner.Client
	registry registry.Registry
	clock    clock.Clock
	log      hclog.Logger
	// startedAt is when the process started.
	startedAt time.Time
	metrics   *Metrics
	life      instance.LifeCycle
	// admissionClosed makes admit refuse new requests; running ones go on.
	admissionClosed atomic.Bool
	pool            *pool.Pool
	// ctx is canceled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the rows of the request table; lastRow is the number of the
	// newest one.
	running atomic.Int64
	sampler sampler
	away    crossZone
	lastRow atomic.Uint64

	config    *table.Single[*configuration]
	members   *table.Single[*members]
	quotas    *table.Single[*quota.Meter]
	waitLists *table.Single[waitLists]
	requests  *table.Striped[rowID, *request]
	board     *table.Single[*roster.Board]
	demand    *table.Single[*demand.Ledger]
	// shortages and traffic are never locked together with demand, which has the same rank.
	shortages *table.Single[*shortage.Ledger]
	traffic   *table.Single[*traffic.Ledger]
	suspects  *table.Single[*quarantine.Table]
	// promptParts is never locked together with suspects, which has the same rank.
	promptParts *table.Single[*quarantine.PartTable]
	// bansSaved is set while this process's last write to the registry had bans.
	bansSaved  atomic.Bool
	roleOrders *table.Single[*roleOrders]
	// retryBudgets has one budget for each service.
	retryBudgets *table.Single[map[directory.ServiceName]*retry.Budget]
}

// configuration is the configuration in force and how recent it is.
type configuration struct {
	// current is nil until a configuration is known.
	current *directory.Snapshot
	// urgency ranks the requests by the priorities of current.
	urgency *directory.Urgency
	// seen is the registry version up to which the configuration was read.
	seen uint64
	// readTook is the time that the last configuration took to arrive and be decoded.
	readTook time.Duration
	// confirmedAt is when current was last known to be the newest.
	confirmedAt time.Time
	// evacuations are the evacuated zones, which the operator sets beside the
	// configuration.
	evacuations zone.Evacuations
}

// New starts a gateway and its background reads of the registry. It is not ready
// until it knows a configuration and upstreams. The caller must call Close.
func New(o Options) *Gateway {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(o.Clock.Now())
	}
	if o.MaxRequests < 1 {
		o.MaxRequests = DefaultMaxRequests
	}
	o.Quota.Incarnation = o.Self.Incarnation
	o.Quota.Start = o.Clock.Now()
	g := &Gateway{
		options:      o,
		runners:      o.Runners,
		registry:     o.Registry,
		clock:        o.Clock,
		log:          o.Log,
		startedAt:    o.Quota.Start,
		metrics:      o.Metrics,
		config:       table.NewSingle(table.RankConfig, &configuration{}),
		members:      table.NewSingle(table.RankMembers, newMembers(o)),
		quotas:       table.NewSingle(table.RankRates, quota.NewMeter(o.Quota)),
		waitLists:    table.NewSingle(table.RankQueue, make(waitLists)),
		requests:     table.NewStriped[rowID, *request](table.RankRequests, table.DefaultStripes),
		board:        table.NewSingle(table.RankBoard, roster.NewBoard(o.Self.Place)),
		demand:       table.NewSingle(table.RankDemand, demand.NewLedger()),
		shortages:    table.NewSingle(table.RankDemand, shortage.NewLedger()),
		traffic:      table.NewSingle(table.RankDemand, traffic.NewLedger(o.Quota.Start)),
		suspects:     table.NewSingle(table.RankQuarantine, quarantine.New(quarantine.Options{})),
		promptParts:  table.NewSingle(table.RankQuarantine, quarantine.NewPartTable()),
		roleOrders:   table.NewSingle(table.RankOrders, &roleOrders{}),
		retryBudgets: table.NewSingle(table.RankStats, make(map[directory.ServiceName]*retry.Budget)),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.pool = pool.New(pool.Options{
		Workers:    o.Workers,
		QueueLimit: o.MaxRequests,
		Clock:      o.Clock,
		Lanes: map[pool.Lane]int{
			laneRequest:  o.MaxRequests,
			laneCleanup:  cleanupCalls,
			laneRegistry: registryCalls,
			lanePeers:    peerCalls,
			laneCatchUp:  catchUpCalls,
		},
		OnPanic: func(reason any, stack []byte) {
			g.log.Error("a step panicked", "reason", reason, "stack", string(stack))
		},
	})
	g.board.With(table.NewHeldLocks(), func(b **roster.Board) { (*b).SetRegions(o.Regions) })
	g.runners.Observe(g.observeNotice)
	g.startBackground()
	return g
}

// State returns the state of the process's life cycle.
func (g *Gateway) State() instance.State {
	return g.life.State()
}

// Ready reports whether the process should get new connections.
func (g *Gateway) Ready() bool {
	return g.life.State() == instance.Serving
}

// Drain makes the process unready. It still accepts requests until StopAdmission is
// called, since load balancers notice with a delay.
func (g *Gateway) Drain() {
	g.life.Advance(instance.Draining)
	g.log.Info(string(eventDraining), "running", g.running.Load())
}

// StopAdmission makes the gateway refuse new requests; running ones go on.
func (g *Gateway) StopAdmission() {
	g.admissionClosed.Store(true)
}

// Running returns the number of admitted requests that have not ended.
func (g *Gateway) Running() int {
	return int(g.running.Load())
}

// Close cancels all requests and stops the pool.
func (g *Gateway) Close() {
	g.life.Advance(instance.Gone)
	g.cancel()
	g.pool.Close()
}

// Limits returns the caller limits of the configuration in force, or the zero value
// if none is known.
func (g *Gateway) Limits() directory.Limits {
	if s := g.snapshot(table.NewHeldLocks()); s != nil {
		return s.Limits
	}
	return directory.Limits{}
}

// snapshot returns the configuration in force, or nil if none is known.
func (g *Gateway) snapshot(h *table.HeldLocks) (current *directory.Snapshot) {
	g.config.With(h, func(c **configuration) { current = (*c).current })
	return current
}

// rowID is the key of a request in the table. It is not the request's ID, which the
// caller chooses and which need not be unique.
type rowID string

var _ contract.Forwarder = (*Gateway)(nil)
