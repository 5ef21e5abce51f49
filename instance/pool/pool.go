// Package pool runs the work of one process. A fixed number of workers take
// steps from one queue; a step locks the shared tables it needs, decides,
// writes, releases, and returns the effects to perform. Effects are the calls
// that block on the network; they run in lanes, bounded in number, and each
// returns the step that handles its outcome. Idle workers wait on a condition.
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
	// ErrFull means that the queue has reached its limit.
	ErrFull = errors.New("pool: queue is full")
	// ErrClosed means that the pool takes no more steps.
	ErrClosed = errors.New("pool: closed")
)

// Step is one step of one object. It must not block on the network or sleep.
type Step func(h *table.Held) []Effect

// Effect is one blocking call, performed outside of the workers.
type Effect struct {
	// Lane names the bounded set of goroutines that performs the call.
	Lane Lane
	// Perform makes the call. The step it returns, if any, is queued.
	Perform func(ctx context.Context) Step
	// OnPanic, if set, gives the step to queue when Perform panics.
	OnPanic func(reason any) Step
}

// Lane names a kind of blocking call.
type Lane string

// Options configure a pool.
type Options struct {
	// Workers is the number of workers, at least 1.
	Workers int
	// QueueLimit bounds the steps from outside that wait for a worker.
	QueueLimit int
	// Lanes gives the number of calls at a time; other lanes get DefaultLane.
	Lanes map[Lane]int
	// Clock drives After; clock.System if nil.
	Clock clock.Clock
	// OnPanic is told of each panic in a step or effect.
	OnPanic func(reason any, stack []byte)
}

// Defaults of Options.
const (
	DefaultWorkers    = 4
	DefaultQueueLimit = 4096
	DefaultLane       = 64
)

// Pool is the process's worker pool.
type Pool struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	calls   sync.WaitGroup

	mu     sync.Mutex
	ready  sync.Cond
	queue  []Step
	closed bool
	lanes  map[Lane]*lane
}

// New starts a pool. Close ends it.
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
		p.workers.Go(p.work)
	}
	return p
}

// Submit queues a step from outside. It never blocks.
func (p *Pool) Submit(step Step) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if len(p.queue) >= p.options.QueueLimit {
		return ErrFull
	}
	p.push(step)
	return nil
}

// Resume queues a step of an object that was already admitted. The limit does
// not apply to it, because dropping it would lose the object.
func (p *Pool) Resume(step Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.push(step)
}

// After queues a step after d.
func (p *Pool) After(d time.Duration, step Step) clock.Timer {
	return p.options.Clock.AfterFunc(d, func() { p.Resume(step) })
}

// Queued gives the number of steps that wait for a worker.
func (p *Pool) Queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

// Close cancels running calls, drops queued steps and waits for both to end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.queue = nil
	p.ready.Broadcast()
	p.mu.Unlock()
	p.cancel()
	p.workers.Wait()
	p.calls.Wait()
}

// push appends a step; the caller holds mu.
func (p *Pool) push(step Step) {
	p.queue = append(p.queue, step)
	p.ready.Signal()
}

// work is the life of one worker.
func (p *Pool) work() {
	held := table.NewHeld()
	for {
		step, ok := p.next()
		if !ok {
			return
		}
		p.Start(p.run(step, &held)...)
	}
}

// next waits for a step; ok is false when the pool is closed.
func (p *Pool) next() (step Step, ok bool) {
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

// run makes one step. A panic ends that step only; the locks it held were
// released on the way, so the worker goes on with a new record of them.
func (p *Pool) run(step Step, held **table.Held) (effects []Effect) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.OnPanic(reason, debug.Stack())
			*held = table.NewHeld()
			effects = nil
		}
	}()
	return step(*held)
}
