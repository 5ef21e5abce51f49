// Package sidecar is the process beside one upstream. It is the only authority
// on what its upstream has accepted: it grants slots, KV blocks and windows on
// the import link, keeps the output of running calls until their entry has it,
// and frees what nobody renews.
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

// Lanes of a sidecar's blocking calls.
const (
	lanePrefill pool.Lane = "prefill"
	laneDecode  pool.Lane = "decode"
	laneService pool.Lane = "service"
	laneCancel  pool.Lane = "cancel"
)

// Times of a sidecar.
const (
	// SweepEvery is the time between two sweeps of expired grants.
	SweepEvery = 100 * time.Millisecond
	// CancelRetry is the time before a failed cancel is sent again.
	CancelRetry = 200 * time.Millisecond
	// CancelTimeout bounds one cancel.
	CancelTimeout = time.Second
	// StreamKept is how long finished output waits for its entry.
	StreamKept = 10 * time.Second
	// CoalesceOutput is how long output is gathered before a poll takes it.
	CoalesceOutput = 2 * time.Millisecond
)

// Options configure a sidecar.
type Options struct {
	Self     instance.Identity
	Upstream upstream.ID
	Limits   engine.Limits
	// Engine is set beside engines, Service beside plain services.
	Engine  link.Engine
	Service link.Service
	// Fences reads fencing numbers; nil means that only the engine knows them.
	Fences  FenceSource
	Workers int
	Clock   clock.Clock
	Log     hclog.Logger
}

// Sidecar is the process beside one upstream. It implements peer.Sidecar.
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

	config *table.Single[*config.Spread]
	// revision repeats the one in force, so that headers need no lock.
	revision atomic.Uint64

	// cacheSeq is the last cache event that was read from the engine.
	cacheSeq atomic.Uint64

	suspects *table.Single[suspects]
	witness  *table.Single[*claim.Witness]
	ledger   *table.Single[*engine.Ledger]
	calls    *table.Striped[callKey, *running]
	orders   *table.Single[*orders.Gate]
	output   *table.Striped[instance.Name, *outbox]
}

// New starts a sidecar. Close ends it.
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
		config:  table.NewSingle(table.RankConfig, config.NewSpread(0)),
		suspects: table.NewSingle(table.RankQuarantine, suspects{
			table: quarantine.New(quarantine.Options{}),
		}),
		orders:  table.NewSingle(table.RankOrders, orders.NewGate()),
		witness: table.NewSingle(table.RankClaims, claim.NewWitness()),
		ledger:  table.NewSingle(table.RankLedger, engine.NewLedger(o.Upstream, o.Limits)),
		calls:   table.NewStriped[callKey, *running](table.RankCalls, table.DefaultStripes),
		output:  table.NewStriped[instance.Name, *outbox](table.RankOutbox, table.DefaultStripes),
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
	s.pool.Resume(s.watchUpstream)
	s.pool.After(ReconcileEvery, s.reconcileFromTimeToTime)
	s.life.Advance(instance.Serving)
	return s
}

// lanes bounds the calls to the upstream by its slots.
func lanes(l engine.Limits) map[pool.Lane]int {
	return map[pool.Lane]int{
		lanePrefill: max(l.Slots, 1),
		laneDecode:  max(l.Slots, 1) * 2,
		laneService: max(l.Slots, 1) * 2,
		laneCancel:  8,
	}
}

// Close drops all work at once; Drain comes before it in a graceful shutdown.
func (s *Sidecar) Close() {
	s.life.Advance(instance.Gone)
	s.pool.Close()
}

// State gives where the process stands in its life.
func (s *Sidecar) State() instance.State {
	return s.life.State()
}

// header opens a reply.
func (s *Sidecar) header() peer.Header {
	return peer.Header{From: s.self, Revision: contract.Revision(s.revision.Load()), Quarantine: s.notes(table.NewHeld())}
}

// load reads what the upstream can take.
func (s *Sidecar) load(h *table.Held) (load upstream.Load) {
	s.ledger.With(h, func(l **engine.Ledger) { load = (*l).Load(s.clock.Now()) })
	return load
}

// ask runs a step and waits for its answer. A full queue is a refusal.
func ask[R any](ctx context.Context, s *Sidecar, step func(h *table.Held, answer func(R)) []pool.Effect) (R, error) {
	return pool.Ask(ctx, s.pool, step)
}
