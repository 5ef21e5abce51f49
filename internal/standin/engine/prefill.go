package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// prefill is one prompt from its arrival until its result is imported or gone.
type prefill struct {
	call     contract.CallID
	prompt   string
	hash     uint64
	tokens   contract.Tokens
	blocks   int
	prefixes []uint64
	priority int

	// computed are the tokens that the cache did not save.
	computed contract.Tokens
	started  time.Time
	lasts    time.Duration
	timer    *time.Timer
	// done is closed when the result is there or err is set.
	done   chan struct{}
	err    *engineapi.Error
	handle engineapi.Handle
	// readyAt and exports say when the result may be evicted.
	readyAt time.Time
	exports int
}

// prefillPrompt runs a prompt; ok is false when the engine or the caller is gone.
func (e *Engine) prefillPrompt(ctx, life context.Context, q engineapi.PrefillRequest) (h engineapi.Handle, fail *engineapi.Error, ok bool) {
	p, fail := e.queuePrefill(q)
	if fail != nil {
		return h, fail, true
	}
	select {
	case <-p.done:
		return p.handle, p.err, true
	case <-life.Done():
		return h, nil, false
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		if life.Err() == nil {
			e.dropPrefill(p.call)
		}
		return h, nil, false
	}
}

func (e *Engine) queuePrefill(q engineapi.PrefillRequest) (*prefill, *engineapi.Error) {
	p := &prefill{
		call:     contract.CallID(q.Call),
		prompt:   q.Prompt,
		hash:     xxhash.Sum64String(q.Prompt),
		tokens:   contract.EstimateTokens(q.Prompt),
		prefixes: upstream.PrefixHashes(q.Model, q.Prompt),
		priority: q.Priority,
		done:     make(chan struct{}),
	}
	p.blocks = upstream.BlocksFor(p.tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if fail := e.admit(p.call, upstream.RolePrefill, q.Model); fail != nil {
		return nil, fail
	}
	if p.blocks > e.options.Blocks {
		return nil, reject("the prompt is larger than the engine's memory")
	}
	if len(e.queue) >= e.options.QueueLimit {
		return nil, full("the queue is full")
	}
	e.queue = append(e.queue, p)
	e.startPrefill()
	return p, nil
}

// startPrefill starts the first prompt of the highest priority if nothing runs
// and its blocks are free; the caller holds mu.
func (e *Engine) startPrefill() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	next := 0
	for i, p := range e.queue {
		if p.priority > e.queue[next].priority {
			next = i
		}
	}
	p := e.queue[next]
	if !e.hold(p.call, p.prompt, p.blocks) {
		return
	}
	e.queue = slices.Delete(e.queue, next, next+1)
	if e.poisonous(p.prompt) {
		e.crash()
		return
	}
	cached := contract.Tokens(e.cache.match(p.prefixes)) * upstream.BlockTokens
	p.computed = max(1, p.tokens-cached)
	p.started = time.Now()
	p.lasts = e.slowed(time.Duration(float64(p.computed) / float64(e.options.PrefillPerSecond) * float64(time.Second)))
	e.current = p
	p.timer = e.after(p.lasts, func() { e.finishPrefill(p) })
}

// finishPrefill keeps the result for EvictAfter; the caller holds mu.
func (e *Engine) finishPrefill(p *prefill) {
	if e.current != p {
		return
	}
	e.current = nil
	e.counts.PrefillTokens += p.computed
	e.cache.store(p.prefixes, time.Now())
	id := fmt.Sprintf("%d-%s", e.epoch, p.call)
	p.handle = engineapi.Handle{ID: id, Source: e.options.URL, Tokens: p.tokens, Blocks: p.blocks}
	p.readyAt = time.Now()
	e.results[id] = p
	close(p.done)
	p.timer = e.after(e.options.EvictAfter, func() { e.evict(p) })
	e.startPrefill()
}

// evict drops a result that nobody imported, unless an export runs.
func (e *Engine) evict(p *prefill) {
	if e.results[p.handle.ID] != p || p.exports > 0 {
		return
	}
	e.counts.WastedTokens += p.computed
	e.forget(p)
}

// forget drops a result; the caller holds mu.
func (e *Engine) forget(p *prefill) {
	p.timer.Stop()
	delete(e.results, p.handle.ID)
	e.free(p.call)
}

// dropPrefill ends a call's prefill in whatever state; the caller holds mu.
func (e *Engine) dropPrefill(call contract.CallID) {
	canceled := &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}
	for i, p := range e.queue {
		if p.call == call {
			e.queue = slices.Delete(e.queue, i, i+1)
			p.err = canceled
			close(p.done)
			return
		}
	}
	if p := e.current; p != nil && p.call == call {
		e.stopPrefill(p)
		p.err = canceled
		close(p.done)
		e.free(call)
		return
	}
	for _, p := range e.results {
		if p.call == call {
			e.counts.WastedTokens += p.computed
			e.forget(p)
			return
		}
	}
}

// stopPrefill ends the running prefill and counts what it computed as waste.
func (e *Engine) stopPrefill(p *prefill) {
	p.timer.Stop()
	e.current = nil
	share := min(1, float64(time.Since(p.started))/float64(max(1, p.lasts)))
	spent := contract.Tokens(share * float64(p.computed))
	e.counts.PrefillTokens += spent
	e.counts.WastedTokens += spent
}
