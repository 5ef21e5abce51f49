// Package gateway is the process that callers reach in a fleet whose upstreams
// register themselves and admit their own work, with no sidecar beside them. It
// passes messages on as they came: it finds their route and account, takes a
// place at a decode engine before the prompt is read, and gives each caller the
// whole answer to its own request. It keeps nothing that must last.
//
// A request is a row of the table of requests. Each step of its life is one work
// item of the pool; calls that block are effects, each of which returns the step
// that handles its outcome.
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
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Lanes of a gateway's blocking calls.
const (
	laneRequest  pool.Lane = "request"
	laneCleanup  pool.Lane = "cleanup"
	laneRegistry pool.Lane = "registry"
	lanePeers    pool.Lane = "peers"
)

// Limits of the lanes that are not bounded by the number of requests.
const (
	cleanupCalls  = 64
	registryCalls = 8
	peerCalls     = 16
)

// Options configure a gateway.
type Options struct {
	Self instance.Identity
	// Addr is the host:port of the peer listener.
	Addr string
	// Seeds are the peer listeners of some other gateways.
	Seeds    []string
	Runners  runner.Client
	Registry registry.Registry
	Peers    relay.Dialer
	// Workers is the size of the worker pool.
	Workers int
	// MaxRequests bounds the requests that run or wait at a time.
	MaxRequests int
	// Quota says how the accounts' quotas are kept.
	Quota quota.Options
	// Retries bounds the attempts beyond the first ones.
	Retries retry.Options
	// ReturnAfter is the wait that a refusal for want of room asks for.
	ReturnAfter time.Duration
	// LeaseTerm is how long a holder of a duty keeps it without renewal.
	LeaseTerm time.Duration
	Metrics   *Metrics
	Clock     clock.Clock
	Log       hclog.Logger
}

// DefaultMaxRequests bounds the requests of one gateway.
const DefaultMaxRequests = 1024

// Gateway implements contract.Forwarder and relay.Server.
type Gateway struct {
	options  Options
	runners  runner.Client
	registry registry.Registry
	clock    clock.Clock
	log      hclog.Logger
	metrics  *Metrics
	life     instance.LifeCycle
	// closed refuses new requests while running ones end.
	admissionClosed atomic.Bool
	pool            *pool.Pool
	// ctx ends with the process.
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the rows of requests, sequence numbers them.
	running atomic.Int64
	sampler sampler
	lastRow atomic.Uint64

	config    *table.Single[*configuration]
	members   *table.Single[*members]
	quotas    *table.Single[*quota.Meter]
	waitLists *table.Single[map[directory.ServiceName]*waitList]
	requests  *table.Striped[rowID, *request]
	board     *table.Single[*roster.Board]
	suspects  *table.Single[*quarantine.Table]
	roleDuty  *table.Single[*roleDuty]
	// retries are the budgets of each service.
	retryBudgets *table.Single[map[directory.ServiceName]*retry.Budget]
}

// configuration is what the process knows of the configuration.
type configuration struct {
	current *directory.Snapshot
	// seen is the registry's version up to which it was read.
	seen uint64
	// at is when it was last known to be the newest.
	confirmedAt time.Time
}

// New starts a gateway. It is not ready before it has a configuration. Close
// ends it.
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
		metrics:      o.Metrics,
		config:       table.NewSingle(table.RankConfig, &configuration{}),
		members:      table.NewSingle(table.RankMembers, newMembers(o)),
		quotas:       table.NewSingle(table.RankRates, quota.NewMeter(o.Quota)),
		waitLists:    table.NewSingle(table.RankQueue, make(map[directory.ServiceName]*waitList)),
		requests:     table.NewStriped[rowID, *request](table.RankRequests, table.DefaultStripes),
		board:        table.NewSingle(table.RankBoard, roster.NewBoard(o.Self.Place)),
		suspects:     table.NewSingle(table.RankQuarantine, quarantine.New(quarantine.Options{})),
		roleDuty:     table.NewSingle(table.RankOrders, &roleDuty{}),
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
		},
		OnPanic: func(reason any, stack []byte) {
			g.log.Error("a step panicked", "reason", reason, "stack", string(stack))
		},
	})
	g.startBackground()
	return g
}

// State gives where the process stands in its life.
func (g *Gateway) State() instance.State {
	return g.life.State()
}

// Ready reports whether the process should get new connections.
func (g *Gateway) Ready() bool {
	return g.life.State() == instance.Serving
}

// Drain makes the process unready. Running requests go on.
func (g *Gateway) Drain() {
	g.life.Advance(instance.Draining)
	g.log.Info(string(eventDraining), "running", g.running.Load())
}

// StopTaking refuses new requests from now on.
func (g *Gateway) StopTaking() {
	g.admissionClosed.Store(true)
}

// Running counts the requests that have not ended.
func (g *Gateway) Running() int {
	return int(g.running.Load())
}

// Close ends all requests and the process.
func (g *Gateway) Close() {
	g.life.Advance(instance.Gone)
	g.cancel()
	g.pool.Close()
}

// Limits gives what the configuration in force allows callers, zero if none is
// known.
func (g *Gateway) Limits() directory.Limits {
	if s := g.snapshot(table.NewHeld()); s != nil {
		return s.Limits
	}
	return directory.Limits{}
}

// snapshot gives the configuration in force, nil if none is known.
func (g *Gateway) snapshot(h *table.Held) (current *directory.Snapshot) {
	g.config.With(h, func(c **configuration) { current = (*c).current })
	return current
}

// rowID names a request in the table. Callers choose their own identifiers, so
// the process numbers its rows itself.
type rowID string

var _ contract.Forwarder = (*Gateway)(nil)
