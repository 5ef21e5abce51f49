// Package pool implements the worker pool of a process. A fixed number of workers
// take steps from one queue. A step locks the shared tables it needs, decides,
// writes, unlocks, and returns effects: calls that block on the network. Effects
// run in goroutines outside the workers, in lanes that limit their concurrency,
// and each returns the step that handles its outcome. Idle workers wait on a
// condition variable.
package pool

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// Errors of Submit.
var (
	// ErrFull means that the queue has reached Options.QueueLimit.
	ErrFull = errors.New("pool: queue is full")
	// ErrClosed means that the pool was closed and accepts no more steps.
	ErrClosed = errors.New("pool: closed")
)

// Step is a unit of work on one object, such as a request. It returns the effects
// to perform after it. It must not block on the network or sleep, because it
// would block a worker. h records the table locks that its worker holds.
type Step func(h *table.HeldLocks) []Effect

// Effect is a blocking call that is performed outside the workers.
type Effect struct {
	// Lane selects the concurrency limit that applies to the call.
	Lane Lane
	// Perform makes the call and returns the step to queue, or nil. Its context
	// is canceled when the pool is closed.
	Perform func(ctx context.Context) Step
	// OnPanic, if set, returns the step to queue when Perform panics; reason is
	// the recovered value.
	OnPanic func(reason any) Step
}

// Lane names a kind of blocking call with a concurrency limit of its own.
type Lane string

// Options configures a pool. Each zero value selects a default.
type Options struct {
	// Workers is the number of workers; DefaultWorkers if less than 1.
	Workers int
	// QueueLimit is the queue length at which Submit fails with ErrFull;
	// DefaultQueueLimit if less than 1.
	QueueLimit int
	// Lanes holds the maximum number of concurrent calls of each lane;
	// DefaultLaneLimit for a lane without an entry or with one less than 1.
	Lanes map[Lane]int
	// Clock schedules the steps of After; clock.System if nil.
	Clock clock.Clock
	// OnPanic is called with each panic recovered from a step or an effect;
	// nil ignores them.
	OnPanic func(reason any, stack []byte)
}

// Defaults of Options: the number of workers, the queue length, and the concurrent
// calls of a lane.
const (
	DefaultWorkers    = 4
	DefaultQueueLimit = 4096
	DefaultLaneLimit  = 64
)

// Pool is the worker pool of a process. Create it with New.
type Pool struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// effects counts the goroutines that perform the effects of the lanes.
	effects sync.WaitGroup

	mu     sync.Mutex
	ready  sync.Cond
	queue  []Step
	closed bool
	lanes  map[Lane]*lane
}

// New starts the workers of a pool. The caller must Close it.
func New(options Options) *Pool {
	if options.Workers < 1 {
		options.Workers = DefaultWorkers
	}
	if options.QueueLimit < 1 {
		options.QueueLimit = DefaultQueueLimit
	}
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.OnPanic == nil {
		options.OnPanic = func(any, []byte) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{options: options, ctx: ctx, cancel: cancel, lanes: make(map[Lane]*lane)}
	p.ready.L = &p.mu
	for range options.Workers {
		p.workers.Go(p.runWorker)
	}
	return p
}

// Submit queues a step for new work. It does not block; it fails with ErrFull when
// the queue has reached its limit, or with ErrClosed.
func (p *Pool) Submit(step Step) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if len(p.queue) >= p.options.QueueLimit {
		return ErrFull
	}
	p.enqueue(step)
	return nil
}

// Enqueue queues a step of an object that is already admitted. The queue limit does
// not apply, because dropping the step would lose the object. A closed pool drops
// the step.
func (p *Pool) Enqueue(step Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.enqueue(step)
}

// After queues a step with Enqueue when d has passed, unless the returned timer is
// stopped first.
func (p *Pool) After(d time.Duration, step Step) clock.Timer {
	return p.options.Clock.AfterFunc(d, func() { p.Enqueue(step) })
}

// QueueLength returns the number of steps that wait for a worker.
func (p *Pool) QueueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

// Close drops queued steps and effects, cancels the context of running effects,
// and waits until the workers and the running effects have returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.queue = nil
	p.ready.Broadcast()
	p.mu.Unlock()
	p.cancel()
	p.workers.Wait()
	p.effects.Wait()
}

// enqueue appends a step and wakes one worker. The caller holds p.mu.
func (p *Pool) enqueue(step Step) {
	p.queue = append(p.queue, step)
	p.ready.Signal()
}

// runWorker runs steps and starts their effects until the pool is closed.
func (p *Pool) runWorker() {
	held := table.NewHeldLocks()
	for {
		step, ok := p.nextStep()
		if !ok {
			return
		}
		p.StartEffects(p.runStep(step, &held)...)
	}
}

// nextStep blocks until a step is queued and removes it from the queue; ok is
// false when the pool is closed.
func (p *Pool) nextStep() (step Step, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && !p.closed {
		p.ready.Wait()
	}
	if p.closed {
		return nil, false
	}
	step = p.queue[0]
	p.queue[0] = nil
	p.queue = p.queue[1:]
	return step, true
}

// runStep runs one step. A panic ends that step only: its deferred unlocks release
// the table locks, and the worker continues with a new, empty HeldLocks.
func (p *Pool) runStep(step Step, held **table.HeldLocks) (effects []Effect) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.OnPanic(reason, debug.Stack())
			*held = table.NewHeldLocks()
			effects = nil
		}
	}()
	return step(*held)
}
