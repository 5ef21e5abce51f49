// Package engine is a stand-in for a model engine: it batches continuously, keeps
// KV blocks and a prefix cache in limited memory, exports and imports KV caches
// over links of limited rate, and fails as it is told. Its output is a function
// of prompt and seed, so that a test can compute the whole answer.
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

// Engine is one model engine.
type Engine struct {
	// Received records all requests.
	Received record.Recorder

	options Options
	sources kvSources

	mu sync.Mutex
	// life ends when the engine crashes; timers and handlers of an earlier life
	// do nothing.
	life   context.Context
	end    context.CancelFunc
	up     bool
	epoch  int64
	faults faults

	role    upstream.Role
	models  []contract.ModelName
	version string
	fence   uint64

	// used counts the blocks of holding.
	used    int
	holding map[contract.CallID]int
	// canceled remembers calls whose cancel may have overtaken their start.
	canceled map[contract.CallID]time.Time

	queue   []*prefill
	current *prefill
	results map[string]*prefill
	cache   *cache

	decodes  map[contract.CallID]*decode
	stepping bool
	// transfers is the number of imports that share the link; shared is closed
	// when this or a stall changes.
	transfers int
	shared    chan struct{}

	report   engineapi.Load
	reportAt time.Time
	counts   Counts
}

// Counts are totals since the engine was made, and what it holds now.
type Counts struct {
	// UsedBlocks and Holding are the KV blocks and the calls that hold them.
	UsedBlocks, Holding int
	// PrefillTokens were computed; of these, WastedTokens were in results that
	// no engine imported.
	PrefillTokens, WastedTokens contract.Tokens
	DecodedTokens               contract.Tokens
	Started                     int
	Crashes                     int
}

// New starts an engine.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), up: true, sources: newSources(nil), shared: make(chan struct{})}
	e.faults.cut = make(chan struct{})
	e.reset()
	return e
}

// reset forgets everything that a restart loses; the caller holds mu or is New.
func (e *Engine) reset() {
	e.life, e.end = context.WithCancel(context.Background())
	e.epoch++
	e.role = e.options.Role
	e.models = slices.Clone(e.options.Models)
	e.version = ""
	e.fence = 0
	e.used = 0
	e.holding = make(map[contract.CallID]int)
	e.canceled = make(map[contract.CallID]time.Time)
	e.queue, e.current = nil, nil
	e.results = make(map[string]*prefill)
	e.cache = newCache(e.options)
	e.decodes = make(map[contract.CallID]*decode)
	e.stepping = false
	e.report, e.reportAt = engineapi.Load{}, time.Time{}
}

// Counts gives the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.UsedBlocks = e.used
	counts.Holding = len(e.holding)
	return counts
}

// Holding lists the calls that hold memory.
func (e *Engine) Holding() []contract.CallID {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := make([]contract.CallID, 0, len(e.holding))
	for call := range e.holding {
		calls = append(calls, call)
	}
	return calls
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	e.options.RestartAfter = 0
	e.end()
}

// hold takes blocks for a call if they are free; the caller holds mu.
func (e *Engine) hold(call contract.CallID, prompt string, blocks int) bool {
	if e.used+blocks > e.options.Blocks {
		return false
	}
	e.used += blocks
	e.holding[call] = blocks
	e.counts.Started++
	if e.options.OnStart != nil {
		e.options.OnStart(call, prompt)
	}
	return true
}

// free gives a call's blocks back and starts what waited for them; the caller
// holds mu.
func (e *Engine) free(call contract.CallID) {
	blocks, ok := e.holding[call]
	if !ok {
		return
	}
	e.used -= blocks
	delete(e.holding, call)
	if e.options.OnFree != nil {
		e.options.OnFree(call)
	}
	e.startPrefill()
}

// cancel ends a call wherever it is; the caller holds mu.
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

// admit checks what prefills and decodes have in common; the caller holds mu.
func (e *Engine) admit(call contract.CallID, role upstream.Role, model contract.ModelName) *engineapi.Error {
	_, holds := e.holding[call]
	_, canceled := e.canceled[call]
	switch {
	case e.role != role:
		return reject("the engine's role is " + e.role.String())
	case !slices.Contains(e.models, model):
		return reject("the model is not loaded")
	case holds:
		return reject("the call is already running")
	case canceled:
		return &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}
	default:
		return nil
	}
}

func reject(reason string) *engineapi.Error {
	return &engineapi.Error{Code: engineapi.CodeRejected, Message: reason}
}

func full(reason string) *engineapi.Error {
	return &engineapi.Error{Code: engineapi.CodeFull, Message: reason}
}

// after calls f with mu held after d, unless the engine crashed meanwhile; a
// frozen engine calls it when it thaws. The caller holds mu.
func (e *Engine) after(d time.Duration, f func()) *time.Timer {
	life := e.life
	return time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case life.Err() != nil:
		case e.faults.thaw != nil:
			e.faults.onThaw = append(e.faults.onThaw, f)
		default:
			f()
		}
	})
}

// loadReport gives the report, which is renewed only when it is LoadLag old.
func (e *Engine) loadReport() engineapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportAt) >= e.options.LoadLag {
		e.report, e.reportAt = e.measure(), now
	}
	report := e.report
	report.AgeMillis = now.Sub(e.reportAt).Milliseconds()
	return report
}

func (e *Engine) measure() engineapi.Load {
	var queued contract.Tokens
	for _, p := range e.queue {
		queued += p.tokens
	}
	return engineapi.Load{
		Role:                e.role.String(),
		Slots:               e.options.Slots,
		UsedSlots:           len(e.decodes) - e.inState(finished),
		Blocks:              e.options.Blocks,
		UsedBlocks:          e.used,
		QueuedTokens:        queued,
		PrefillPerSecond:    e.options.PrefillPerSecond,
		LinkBlocksPerSecond: e.options.LinkBlocksPerSecond,
		Epoch:               e.epoch,
	}
}
