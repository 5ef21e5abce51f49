package engine

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// decode is one request that generates, or has generated lately.
type decode struct {
	call   contract.CallID
	kv     kvCache
	seed   int64
	limit  contract.Tokens
	made   contract.Tokens
	state  decodeState
	change chan struct{}
	drop   context.CancelFunc
}

type decodeState uint8

const (
	importing decodeState = iota
	running
	finished
	dropped
)

// startDecode admits a call and imports its KV cache; ok is false when the
// engine or the caller is gone.
func (e *Engine) startDecode(ctx, life context.Context, q engineapi.DecodeRequest) (d *decode, fail *engineapi.Error, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, fail = e.admitDecode(q, cancel)
	if fail != nil {
		return nil, fail, true
	}
	kv, err := e.fetch(ctx, life, q.Handle)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case life.Err() != nil:
		return nil, nil, false
	case d.state == dropped:
		return nil, &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}, true
	case err != nil:
		e.dropDecode(d.call)
		return nil, &engineapi.Error{Code: engineapi.CodeEvicted, Message: err.Error()}, true
	case e.poisonous(kv.Head):
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
		call:   contract.CallID(q.Call),
		seed:   q.Seed,
		limit:  q.MaxTokens,
		made:   min(q.Offset, q.MaxTokens),
		change: make(chan struct{}),
		drop:   cancel,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.MaxOutput > 0 {
		d.limit = min(d.limit, e.options.MaxOutput)
	}
	if fail := e.admit(d.call, upstream.RoleDecode, q.Model); fail != nil {
		return nil, fail
	}
	if len(e.decodes)-e.inState(finished) >= e.options.Slots {
		return nil, full("all slots are taken")
	}
	if !e.hold(d.call, "", upstream.BlocksFor(q.Handle.Tokens+q.MaxTokens)) {
		return nil, full("too few KV blocks are free")
	}
	e.decodes[d.call] = d
	return d, nil
}

// inState counts the decodes in a state; the caller holds mu.
func (e *Engine) inState(state decodeState) (n int) {
	for _, d := range e.decodes {
		if d.state == state {
			n++
		}
	}
	return n
}

// startSteps keeps the batch going while there is work; the caller holds mu.
func (e *Engine) startSteps() {
	if e.stepping {
		return
	}
	batch := e.inState(running)
	if batch == 0 {
		return
	}
	e.stepping = true
	grown := float64(e.options.Step) * (1 + StepGrowth*float64(batch-1))
	e.after(e.slowed(time.Duration(grown)), e.step)
}

// step gives one token to each running request; the caller holds mu.
func (e *Engine) step() {
	e.stepping = false
	for _, d := range e.decodes {
		if d.state != running {
			continue
		}
		if d.made < d.limit {
			d.made++
			e.counts.DecodedTokens++
		}
		if d.made >= d.limit {
			e.finish(d)
		}
		d.changed()
	}
	e.startSteps()
}

// finish frees a request's memory and keeps its output for a while.
func (e *Engine) finish(d *decode) {
	d.state = finished
	e.free(d.call)
	e.after(e.options.Retain, func() {
		if e.decodes[d.call] == d {
			delete(e.decodes, d.call)
		}
	})
}

// dropDecode ends a call's decode in whatever state; the caller holds mu.
func (e *Engine) dropDecode(call contract.CallID) {
	d, ok := e.decodes[call]
	if !ok {
		return
	}
	delete(e.decodes, call)
	e.free(call)
	d.state = dropped
	d.drop()
	d.changed()
}

// changed wakes the streams of a request; the caller holds mu.
func (d *decode) changed() {
	close(d.change)
	d.change = make(chan struct{})
}

// readable finds a request whose output can be read.
func (e *Engine) readable(call contract.CallID) (*decode, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d, ok := e.decodes[call]
	return d, ok && d.state != importing
}

// output gives what there is from an offset on, and what to wait for when there
// is nothing yet.
func (e *Engine) output(d *decode, offset contract.Tokens) (event engineapi.Event, wait <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Offset = offset
	switch {
	case d.state == dropped:
		event.Error = &engineapi.Error{Code: engineapi.CodeCanceled, Message: "the call was cancelled"}
		return event, nil
	case offset >= d.made && d.state == running:
		return event, d.change
	}
	event.Texts = tokens(d.kv.Hash, d.seed, offset, d.made)
	if d.state == finished {
		event.Done = true
		event.Usage = &engineapi.Usage{PromptTokens: d.kv.Tokens, OutputTokens: d.made}
	}
	return event, nil
}
