// Package engine is a stand-in for a model engine: it batches continuously, keeps
// KV blocks and a prefix cache in limited memory, exports and imports KV caches
// over links of limited rate, and injects the faults that a test sets. Its output
// is a function of prompt and seed, so that a test can compute the whole answer.
package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/record"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Engine is a simulated model engine, started by New. Its methods are safe for
// concurrent use, except SetTransport, which must come before the first request.
type Engine struct {
	// Received records all requests.
	Received record.Recorder

	options Options
	sources kvSources

	mu sync.Mutex
	// lifetime ends when the engine crashes or is closed; timers and handlers of an
	// earlier one do nothing.
	lifetime    context.Context
	endLifetime context.CancelFunc
	up          bool
	epoch       int64
	faults      faults

	role    upstream.Role
	models  []contract.ModelName
	version string
	fence   uint64

	// used is the sum of the KV blocks in allocated.
	used      int
	allocated map[contract.CallID]int
	// canceled holds when each call was cancelled, for Options.Retain: a cancel
	// may arrive before the call that it cancels.
	canceled map[contract.CallID]time.Time

	queue   []*prefill
	current *prefill
	results map[string]*prefill
	cache   *cache

	decodes  map[contract.CallID]*decode
	stepping bool
	// transfers is the number of imports that share the link; linkChange is closed
	// and replaced when this number or the stall fault changes.
	transfers  int
	linkChange chan struct{}

	report   engineapi.Load
	reportAt time.Time
	counts   Counts
}

// Counts are totals since New, also over restarts, and the present use of memory.
type Counts struct {
	// UsedBlocks and Holding are the KV blocks and the calls that hold them.
	UsedBlocks, Holding int
	// PrefillTokens is the number of prompt tokens computed, WastedTokens that of
	// the computed tokens in results that no engine imported.
	PrefillTokens, WastedTokens contract.Tokens
	DecodedTokens               contract.Tokens
	// Started counts the allocations of KV blocks to calls.
	Started int
	Crashes int
}

// New returns a running engine.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), up: true, sources: newSources(nil), linkChange: make(chan struct{})}
	e.faults.cut = make(chan struct{})
	e.reset()
	return e
}

// reset clears all state that a restart loses and starts a new epoch; the caller
// holds mu or is New.
func (e *Engine) reset() {
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.epoch++
	e.role = e.options.Role
	e.models = slices.Clone(e.options.Models)
	e.version = ""
	e.fence = 0
	e.used = 0
	e.allocated = make(map[contract.CallID]int)
	e.canceled = make(map[contract.CallID]time.Time)
	e.queue, e.current = nil, nil
	e.results = make(map[string]*prefill)
	e.cache = newCache(e.options)
	e.decodes = make(map[contract.CallID]*decode)
	e.stepping = false
	e.report, e.reportAt = engineapi.Load{}, time.Time{}
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.UsedBlocks = e.used
	counts.Holding = len(e.allocated)
	return counts
}

// Holding returns the calls that hold KV blocks, in no order.
func (e *Engine) Holding() []contract.CallID {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := make([]contract.CallID, 0, len(e.allocated))
	for call := range e.allocated {
		calls = append(calls, call)
	}
	return calls
}

// Close stops the engine without a restart; connections break.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	e.options.RestartAfter = 0
	e.endLifetime()
}

// allocate reserves KV blocks for a call, or returns false if too few are free;
// the caller holds mu.
func (e *Engine) allocate(call contract.CallID, prompt string, blocks int) bool {
	if e.used+blocks > e.options.Blocks {
		return false
	}
	e.used += blocks
	e.allocated[call] = blocks
	e.counts.Started++
	if e.options.OnStart != nil {
		e.options.OnStart(call, prompt)
	}
	return true
}

// release frees a call's KV blocks and starts a queued prefill that fits now; the
// caller holds mu.
func (e *Engine) release(call contract.CallID) {
	blocks, ok := e.allocated[call]
	if !ok {
		return
	}
	e.used -= blocks
	delete(e.allocated, call)
	if e.options.OnFree != nil {
		e.options.OnFree(call)
	}
	e.startPrefill()
}

// cancel ends a call's prefill and decode, and rejects the call if it arrives
// later; the caller holds mu.
func (e *Engine) cancel(call contract.CallID) {
	now := time.Now()
	for old, at := range e.canceled {
		if now.Sub(at) > e.options.Retain {
			delete(e.canceled, old)
		}
	}
	e.canceled[call] = now
	e.dropPrefill(call)
	e.dropDecode(call)
}

// admit makes the checks that prefills and decodes share; the caller holds mu.
func (e *Engine) admit(call contract.CallID, role upstream.Role, model contract.ModelName) *engineapi.Error {
	_, holds := e.allocated[call]
	_, canceled := e.canceled[call]
	switch {
	case e.role != role:
		return rejectedError("the engine's role is " + e.role.String())
	case !slices.Contains(e.models, model):
		return rejectedError("the model is not loaded")
	case holds:
		return rejectedError("the call is already running")
	case canceled:
		return &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}
	default:
		return nil
	}
}

func rejectedError(reason string) *engineapi.Error {
	return &engineapi.Error{Code: engineapi.CodeRejected, Message: reason}
}

func fullError(reason string) *engineapi.Error {
	return &engineapi.Error{Code: engineapi.CodeFull, Message: reason}
}

// schedule calls f with mu held after d, unless the engine crashed meanwhile; if
// the engine is frozen then, f runs when it thaws. The caller holds mu.
func (e *Engine) schedule(d time.Duration, f func()) *time.Timer {
	lifetime := e.lifetime
	return time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case lifetime.Err() != nil:
		case e.faults.thaw != nil:
			e.faults.onThaw = append(e.faults.onThaw, f)
		default:
			f()
		}
	})
}

// loadReport returns a cached load report, which is renewed only when it is
// Options.LoadLag old.
func (e *Engine) loadReport() engineapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportAt) >= e.options.LoadLag {
		e.report, e.reportAt = e.currentLoad(), now
	}
	report := e.report
	report.AgeMillis = now.Sub(e.reportAt).Milliseconds()
	return report
}

// currentLoad computes a load report; the caller holds mu.
func (e *Engine) currentLoad() engineapi.Load {
	var queued contract.Tokens
	for _, p := range e.queue {
		queued += p.tokens
	}
	return engineapi.Load{
		Role:                e.role.String(),
		Slots:               e.options.Slots,
		UsedSlots:           len(e.decodes) - e.countInState(finished),
		Blocks:              e.options.Blocks,
		UsedBlocks:          e.used,
		QueuedTokens:        queued,
		PrefillPerSecond:    e.options.PrefillPerSecond,
		LinkBlocksPerSecond: e.options.LinkBlocksPerSecond,
		Epoch:               e.epoch,
	}
}
