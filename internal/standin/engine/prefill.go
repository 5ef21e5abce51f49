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

// prefill is one prompt from its arrival until its result is imported or dropped.
// Engine.mu guards it; handle and err may be read without it once done is closed.
type prefill struct {
	call     contract.CallID
	prompt   string
	hash     uint64
	tokens   contract.Tokens
	blocks   int
	prefixes []uint64
	priority int

	// computed is the number of tokens not covered by a prefix cache hit.
	computed contract.Tokens
	started  time.Time
	duration time.Duration
	timer    *time.Timer
	// done is closed when handle or err is set.
	done   chan struct{}
	err    *engineapi.Error
	handle engineapi.Handle
	// The result may be evicted Options.EvictAfter after readyAt, unless exports,
	// the number of exports in progress, is above 0.
	readyAt time.Time
	exports int
}

// prefillPrompt queues a prompt and waits for its result. ok is false if the
// engine crashed or the caller disconnected first.
func (e *Engine) prefillPrompt(ctx, lifetime context.Context, q engineapi.PrefillRequest) (h engineapi.Handle, apiErr *engineapi.Error, ok bool) {
	p, apiErr := e.queuePrefill(q)
	if apiErr != nil {
		return h, apiErr, true
	}
	select {
	case <-p.done:
		return p.handle, p.err, true
	case <-lifetime.Done():
		return h, nil, false
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		if lifetime.Err() == nil {
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
	if apiErr := e.admit(p.call, upstream.RolePrefill, q.Model); apiErr != nil {
		return nil, apiErr
	}
	if p.blocks > e.options.Blocks {
		return nil, rejectedError("the prompt is larger than the engine's memory")
	}
	if len(e.queue) >= e.options.QueueLimit {
		return nil, fullError("the queue is full")
	}
	e.queue = append(e.queue, p)
	e.startPrefill()
	return p, nil
}

// startPrefill starts the oldest queued prompt of the highest priority if no
// prefill is running and enough blocks are free; the caller holds mu.
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
	if !e.allocate(p.call, p.prompt, p.blocks) {
		return
	}
	e.queue = slices.Delete(e.queue, next, next+1)
	if e.crashesOn(p.prompt) {
		e.crash()
		return
	}
	cached := contract.Tokens(e.cache.match(p.prefixes)) * upstream.BlockTokens
	p.computed = max(1, p.tokens-cached)
	p.started = time.Now()
	p.duration = e.slowed(time.Duration(float64(p.computed) / float64(e.options.PrefillPerSecond) * float64(time.Second)))
	e.current = p
	p.timer = e.schedule(p.duration, func() { e.finishPrefill(p) })
}

// finishPrefill makes the result available to importers for Options.EvictAfter;
// the caller holds mu.
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
	p.timer = e.schedule(e.options.EvictAfter, func() { e.evict(p) })
	e.startPrefill()
}

// evict drops a result that was not imported, unless an export is in progress; the
// caller holds mu.
func (e *Engine) evict(p *prefill) {
	if e.results[p.handle.ID] != p || p.exports > 0 {
		return
	}
	e.counts.WastedTokens += p.computed
	e.dropResult(p)
}

// dropResult removes a result and frees its blocks; the caller holds mu.
func (e *Engine) dropResult(p *prefill) {
	p.timer.Stop()
	delete(e.results, p.handle.ID)
	e.release(p.call)
}

// dropPrefill ends a call's prefill: queued, running or finished. The caller holds
// mu.
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
		e.release(call)
		return
	}
	for _, p := range e.results {
		if p.call == call {
			e.counts.WastedTokens += p.computed
			e.dropResult(p)
			return
		}
	}
}

// stopPrefill ends the running prefill and counts the tokens computed so far as
// wasted; the caller holds mu.
func (e *Engine) stopPrefill(p *prefill) {
	p.timer.Stop()
	e.current = nil
	share := min(1, float64(time.Since(p.started))/float64(max(1, p.duration)))
	spent := contract.Tokens(share * float64(p.computed))
	e.counts.PrefillTokens += spent
	e.counts.WastedTokens += spent
}
