package engine

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// decode is one request in decode, or one that finished less than Options.Retain
// ago. Engine.mu guards it.
type decode struct {
	call contract.CallID
	kv   kvCache
	seed int64
	// limit and generated count output tokens; a call with an offset starts with
	// that many generated.
	limit     contract.Tokens
	generated contract.Tokens
	state     decodeState
	// change is closed and replaced when generated or state changes.
	change chan struct{}
	// cancelFetch stops the import of the KV cache.
	cancelFetch context.CancelFunc
}

type decodeState uint8

const (
	importing decodeState = iota
	running
	finished
	dropped
)

// startDecode admits a call and imports its KV cache. ok is false if the engine
// crashed meanwhile: the connection then breaks without a reply.
func (e *Engine) startDecode(ctx, lifetime context.Context, q engineapi.DecodeRequest) (d *decode, apiErr *engineapi.Error, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, apiErr = e.admitDecode(q, cancel)
	if apiErr != nil {
		return nil, apiErr, true
	}
	kv, err := e.fetch(ctx, lifetime, q.Handle)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case lifetime.Err() != nil:
		return nil, nil, false
	case d.state == dropped:
		return nil, &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}, true
	case err != nil:
		e.dropDecode(d.call)
		return nil, &engineapi.Error{Code: engineapi.CodeEvicted, Message: err.Error()}, true
	case e.crashesOn(kv.Head):
		e.crash()
		return nil, nil, false
	}
	d.kv = kv
	d.state = running
	e.startSteps()
	return d, nil, true
}

func (e *Engine) admitDecode(q engineapi.DecodeRequest, cancel context.CancelFunc) (*decode, *engineapi.Error) {
	d := &decode{
		call:        contract.CallID(q.Call),
		seed:        q.Seed,
		limit:       q.MaxTokens,
		generated:   min(q.Offset, q.MaxTokens),
		change:      make(chan struct{}),
		cancelFetch: cancel,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.MaxOutput > 0 {
		d.limit = min(d.limit, e.options.MaxOutput)
	}
	if apiErr := e.admit(d.call, upstream.RoleDecode, q.Model); apiErr != nil {
		return nil, apiErr
	}
	if len(e.decodes)-e.countInState(finished) >= e.options.Slots {
		return nil, fullError("all slots are taken")
	}
	if !e.allocate(d.call, "", upstream.BlocksFor(q.Handle.Tokens+q.MaxTokens)) {
		return nil, fullError("too few KV blocks are free")
	}
	e.decodes[d.call] = d
	return d, nil
}

// countInState counts the decodes in a state; the caller holds mu.
func (e *Engine) countInState(state decodeState) (n int) {
	for _, d := range e.decodes {
		if d.state == state {
			n++
		}
	}
	return n
}

// startSteps schedules the next step of the batch, unless one is scheduled or no
// request is running; the caller holds mu.
func (e *Engine) startSteps() {
	if e.stepping {
		return
	}
	batch := e.countInState(running)
	if batch == 0 {
		return
	}
	e.stepping = true
	grown := float64(e.options.Step) * (1 + StepGrowth*float64(batch-1))
	e.schedule(e.slowed(time.Duration(grown)), e.step)
}

// step generates one token for each running request; the caller holds mu.
func (e *Engine) step() {
	e.stepping = false
	for _, d := range e.decodes {
		if d.state != running {
			continue
		}
		if d.generated < d.limit {
			d.generated++
			e.counts.DecodedTokens++
		}
		if d.generated >= d.limit {
			e.finish(d)
		}
		d.notify()
	}
	e.startSteps()
}

// finish frees a request's KV blocks and keeps its output for Options.Retain, so
// that its stream can be resumed; the caller holds mu.
func (e *Engine) finish(d *decode) {
	d.state = finished
	e.release(d.call)
	e.schedule(e.options.Retain, func() {
		if e.decodes[d.call] == d {
			delete(e.decodes, d.call)
		}
	})
}

// dropDecode ends a call's decode in any state; without one it does nothing. The
// caller holds mu.
func (e *Engine) dropDecode(call contract.CallID) {
	d, ok := e.decodes[call]
	if !ok {
		return
	}
	delete(e.decodes, call)
	e.release(call)
	d.state = dropped
	d.cancelFetch()
	d.notify()
}

// notify wakes the streams that wait for output; the caller holds mu.
func (d *decode) notify() {
	close(d.change)
	d.change = make(chan struct{})
}

// findDecode finds a request whose output can be streamed; one that still imports
// its KV cache can't.
func (e *Engine) findDecode(call contract.CallID) (*decode, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d, ok := e.decodes[call]
	return d, ok && d.state != importing
}

// output returns the output from an offset on. If there is none yet, wait is not
// nil and is closed at the next change.
func (e *Engine) output(d *decode, offset contract.Tokens) (event engineapi.Event, wait <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Offset = offset
	switch {
	case d.state == dropped:
		event.Error = &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}
		return event, nil
	case offset >= d.generated && d.state == running:
		return event, d.change
	}
	event.Texts = tokens(d.kv.Hash, d.seed, offset, d.generated)
	if d.state == finished {
		event.Done = true
		event.Usage = &engineapi.Usage{PromptTokens: d.kv.Tokens, OutputTokens: d.generated}
	}
	return event, nil
}
