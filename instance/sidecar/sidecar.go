// Package sidecar implements the process that runs beside one upstream, an
// inference engine or a plain service. It alone decides what the upstream
// accepts: it grants slots, KV blocks and windows on the import link under
// leases, buffers the output of running calls until their entry acknowledges it,
// and cancels calls whose lease is not renewed. Entries call it; choosing an
// upstream and retrying elsewhere is left to them.
package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/orders"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// Lanes bound the concurrent blocking calls of each kind.
const (
	lanePrefill pool.Lane = "prefill"
	laneDecode  pool.Lane = "decode"
	laneService pool.Lane = "service"
	laneCancel  pool.Lane = "cancel"
)

// Intervals and timeouts.
const (
	// SweepEvery is the interval between sweeps of expired leases and old output.
	SweepEvery = 100 * time.Millisecond
	// CancelRetryDelay is the delay before a failed cancel is retried.
	CancelRetryDelay = 200 * time.Millisecond
	// CancelTimeout is the timeout of one cancel request to the engine.
	CancelTimeout = time.Second
	// OutputRetention is how long the output of a finished call is kept for its
	// entry.
	OutputRetention = 10 * time.Second
	// OutputCoalesceDelay is how long a poll waits for more output after the first.
	OutputCoalesceDelay = 2 * time.Millisecond
)

// Options configures a sidecar.
type Options struct {
	Self     instance.Identity
	Upstream upstream.ID
	Limits   engine.Limits
	// Engine is set if the upstream is an engine, Service if it is a plain
	// service; the other is nil.
	Engine  link.Engine
	Service link.Service
	// Fences reads fencing numbers from the platform's table. If nil, only the
	// engine's own number is read.
	Fences  FenceSource
	Workers int
	// Clock defaults to clock.System.
	Clock clock.Clock
	// Log defaults to a logger that discards everything.
	Log hclog.Logger
}

// Sidecar serves the requests of entries for one upstream. It implements
// peer.Sidecar. Its tables are shared by the pool's workers and locked
// in the order of their ranks.
type Sidecar struct {
	self    instance.Identity
	id      upstream.ID
	clock   clock.Clock
	log     hclog.Logger
	life    instance.LifeCycle
	pool    *pool.Pool
	engine  link.Engine
	service link.Service
	fences  FenceSource

	config *table.Single[*config.Replicator]
	// revision copies the current configuration's revision so that headers can
	// be built without locking config.
	revision atomic.Uint64

	// cacheSeq is the sequence number of the last cache event read from the engine.
	cacheSeq atomic.Uint64

	crashTracker *table.Single[crashTracker]
	claims       *table.Single[*claim.Witness]
	ledger       *table.Single[*engine.Ledger]
	calls        *table.Striped[callKey, *runningCall]
	orders       *table.Single[*orders.Gate]
	output       *table.Striped[instance.Name, *outbox]
}

// New returns a running sidecar: its sweep, probes and reconciliation are
// scheduled. The caller must call Close.
func New(o Options) *Sidecar {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	s := &Sidecar{
		self:    o.Self,
		id:      o.Upstream,
		clock:   o.Clock,
		log:     o.Log,
		engine:  o.Engine,
		service: o.Service,
		fences:  o.Fences,
		config:  table.NewSingle(table.RankConfig, config.NewReplicator(0)),
		crashTracker: table.NewSingle(table.RankQuarantine, crashTracker{
			table: quarantine.New(quarantine.Options{}),
		}),
		orders: table.NewSingle(table.RankOrders, orders.NewGate()),
		claims: table.NewSingle(table.RankClaims, claim.NewWitness()),
		ledger: table.NewSingle(table.RankLedger, engine.NewLedger(o.Upstream, o.Limits)),
		calls:  table.NewStriped[callKey, *runningCall](table.RankCalls, table.DefaultStripes),
		output: table.NewStriped[instance.Name, *outbox](table.RankOutbox, table.DefaultStripes),
	}
	s.pool = pool.New(pool.Options{
		Workers: o.Workers,
		Clock:   o.Clock,
		Lanes:   lanes(o.Limits),
		OnPanic: func(reason any, stack []byte) {
			s.log.Error("a step panicked", "reason", reason, "stack", string(stack))
		},
	})
	s.pool.After(SweepEvery, s.sweep)
	s.pool.Enqueue(s.probeUpstream)
	s.pool.After(ReconcileEvery, s.reconcilePeriodically)
	s.life.Advance(instance.Serving)
	return s
}

// lanes derives the concurrency limits of the lanes from the upstream's slots.
func lanes(l engine.Limits) map[pool.Lane]int {
	return map[pool.Lane]int{
		lanePrefill: max(l.Slots, 1),
		laneDecode:  max(l.Slots, 1) * 2,
		laneService: max(l.Slots, 1) * 2,
		laneCancel:  8,
	}
}

// Close stops immediately: it cancels blocking calls, drops queued steps and waits
// for the workers. For a graceful shutdown, call Drain first.
func (s *Sidecar) Close() {
	s.life.Advance(instance.Gone)
	s.pool.Close()
}

// State returns the life-cycle state; it takes no table lock.
func (s *Sidecar) State() instance.State {
	return s.life.State()
}

// header builds the header of a reply. It locks crashTracker, so the caller must
// hold no table lock.
func (s *Sidecar) header() peer.Header {
	return peer.Header{From: s.self, Revision: contract.Revision(s.revision.Load()), Quarantine: s.quarantineNotes(table.NewHeldLocks())}
}

// load returns the ledger's current report of free capacity.
func (s *Sidecar) load(h *table.HeldLocks) (load upstream.Load) {
	s.ledger.With(h, func(l **engine.Ledger) { load = (*l).Load(s.clock.Now()) })
	return load
}

// ask queues a step and waits for its answer. It returns an error if the queue is
// full or ctx ends.
func ask[R any](ctx context.Context, s *Sidecar, step func(h *table.HeldLocks, answer func(R)) []pool.Effect) (R, error) {
	return pool.Ask(ctx, s.pool, step)
}
