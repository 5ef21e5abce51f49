package entry

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/transfer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// prefillRun is one try to run a prompt at one upstream.
type prefillRun struct {
	call    contract.CallID
	choices []placement.Choice
	q       peer.PrefillRequest
	window  time.Duration
}

// startPrefill runs the prompt so that its KV cache is there as the window on
// the import link opens.
func (e *Entry) startPrefill(h *table.Held, call contract.CallID, window time.Duration) []pool.Effect {
	now := e.clock.Now()
	run := prefillRun{call: call, window: window}
	var need placement.Need
	found := e.updateCall(h, call, func(r *request) {
		need = r.need(now)
		if r.decode != nil {
			need.Near = r.decode.Place
		}
		run.q = r.prefillRequest(now)
	})
	if !found {
		return nil
	}
	e.board.With(h, func(b **placement.Board) { run.choices = (*b).Prefill(now, need) })
	run.q.Header = e.header(h)
	return e.nextPrefill(h, run)
}

// prefillRequest is the message of the current attempt.
func (r *request) prefillRequest(now time.Time) peer.PrefillRequest {
	return peer.PrefillRequest{
		Call:        r.call(),
		Account:     r.Account,
		Pseudonym:   r.Pseudonym,
		Model:       r.Generate.Model,
		Fingerprint: r.Fingerprint,
		Prompt:      r.Generate.Prompt,
		Tokens:      r.Generate.PromptTokens,
		Priority:    placement.PrefillPriority(r.slack(now), r.Route.Targets.FirstToken),
		Within:      r.Deadline.Sub(now),
	}
}

// nextPrefill asks the next choice, or gives the attempt up.
func (e *Entry) nextPrefill(h *table.Held, run prefillRun) []pool.Effect {
	if len(run.choices) == 0 {
		refusal := contract.RefuseRepeat(contract.CodeOverCapacity, RetryWhenBusy, "no prefill upstream has room")
		return e.retry(h, run.call, nil, refusal)
	}
	choice := run.choices[0]
	run.choices = run.choices[1:]
	run.q.StartIn = placement.StartIn(run.window, choice.Estimate)
	found := e.updateCall(h, run.call, func(r *request) {
		r.prefill = &choice
		r.silent = ""
		r.sent = e.clock.Now().Add(run.q.StartIn)
	})
	if !found {
		return nil
	}
	effects := e.track(h, choice.Addr, run.call)
	return append(effects, e.prefillAt(choice, run))
}

// prefillAt runs the prompt at one upstream.
func (e *Entry) prefillAt(choice placement.Choice, run prefillRun) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, run.q.Within)
		defer cancel()
		e.waits(run.call, choice.Addr, cancel)
		reply, err := e.peers.Sidecar(choice.Addr).Prefill(ctx, &run.q)
		return func(h *table.Held) []pool.Effect {
			if err != nil {
				return e.prefillFailed(h, choice, run, err)
			}
			return e.prefilled(h, choice, run, reply)
		}
	}
	return pool.Effect{Lane: lanePrefill, Perform: perform}
}

// prefillFailed handles a sidecar that gave no answer.
func (e *Entry) prefillFailed(h *table.Held, choice placement.Choice, run prefillRun, err error) []pool.Effect {
	e.log.Warn("prefill failed", "request", run.call.Request, "upstream", choice.ID, "error", err)
	e.observe(h, nil, []upstream.ID{choice.ID})
	sent := !errors.Is(err, peer.ErrNotSent)
	effects := e.releaseWork(h, []heldWork{{choice.Addr, run.call}}, sent)
	e.updateCall(h, run.call, func(r *request) {
		if sent {
			r.reached = contract.RanUnknown
		}
		r.prefill = nil
		r.excluded = append(r.excluded, choice.ID)
	})
	return append(effects, e.nextPrefill(h, run)...)
}

// prefilled goes on with a KV cache, or with the next choice after a refusal.
func (e *Entry) prefilled(h *table.Held, choice placement.Choice, run prefillRun, reply *peer.PrefillReply) []pool.Effect {
	e.observe(h, []upstream.Load{reply.Load}, nil)
	e.untrack(h, choice.Addr, run.call)
	if reply.Refusal != nil {
		return e.prefillRefused(h, choice, run, reply.Refusal)
	}
	var q *peer.DecodeRequest
	var decode placement.Choice
	now := e.clock.Now()
	placed := true
	found := e.updateCall(h, run.call, func(r *request) {
		e.prefillAnswered(h, choice.ID, now.Sub(r.sent), run.q.Tokens, prefixOf(r))
		r.prefill = nil
		r.handle = reply.Handle
		r.handleAt = now
		r.reached = contract.RanYes
		r.prefillTokens += reply.Handle.Tokens
		placed = r.decode != nil
		if placed {
			decode = *r.decode
			q = r.startDecode(now)
		}
	})
	switch {
	case !found:
		return nil
	case !placed:
		return e.enqueue(h, run.call.Request)
	}
	q.Header = e.header(h)
	return []pool.Effect{e.decodeAt(decode, q)}
}

// startDecode notes that output is about to start.
func (r *request) startDecode(now time.Time) *peer.DecodeRequest {
	r.state = stateStarting
	r.sent = now
	return r.decodeRequest()
}

// prefillAnswered tells the board how long an engine takes for a thousand
// tokens, so that engines compare whatever prompts they had, and which prefix it
// has cached now.
func (e *Entry) prefillAnswered(h *table.Held, id upstream.ID, took time.Duration, tokens contract.Tokens, prefix uint64) {
	const unit = 1000
	e.succeeded(h, id, took*unit/time.Duration(max(tokens, unit)))
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).PrefixStored(now, id, prefix) })
}

// prefillRefused tries the next choice. A prefill has no effect that lasts, so
// one that may have run does not keep the request from running elsewhere.
func (e *Entry) prefillRefused(h *table.Held, choice placement.Choice, run prefillRun, refusal *contract.Refusal) []pool.Effect {
	rejected := refusal.Ran == contract.RanNo && !refusal.Repeat
	if rejected {
		return e.finish(h, run.call.Request, refusal)
	}
	if refusal.Ran != contract.RanNo {
		e.observe(h, nil, []upstream.ID{choice.ID})
	}
	e.updateCall(h, run.call, func(r *request) {
		r.reached = max(r.reached, refusal.Ran)
		r.prefill = nil
		r.excluded = append(r.excluded, choice.ID)
	})
	return e.nextPrefill(h, run)
}

// decodeRequest is the message that starts the output.
func (r *request) decodeRequest() *peer.DecodeRequest {
	return &peer.DecodeRequest{
		Call:      r.call(),
		Model:     r.Generate.Model,
		Handle:    r.handle,
		Pseudonym: r.Pseudonym,
		MaxTokens: r.Generate.MaxTokens,
		Seed:      r.Generate.Seed,
		Offset:    r.next,
	}
}

// decodeAt starts the output; it comes with the polls.
func (e *Entry) decodeAt(choice placement.Choice, q *peer.DecodeRequest) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, AskTimeout)
		defer cancel()
		reply, err := e.peers.Sidecar(choice.Addr).Decode(ctx, q)
		return func(h *table.Held) []pool.Effect {
			return e.decodeStarted(h, choice, q.Call, reply, err)
		}
	}
	return pool.Effect{Lane: laneDecode, Perform: perform}
}

// decodeStarted notes that output comes, or tries again.
func (e *Entry) decodeStarted(h *table.Held, choice placement.Choice, call contract.CallID, reply *peer.DecodeReply, err error) []pool.Effect {
	if err != nil {
		e.observe(h, nil, []upstream.ID{choice.ID})
		refusal := &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanUnknown, Repeat: true, Reason: err.Error()}
		return e.retry(h, call, []upstream.ID{choice.ID}, refusal)
	}
	e.observe(h, []upstream.Load{reply.Load}, nil)
	if reply.Refusal != nil {
		return e.retry(h, call, nil, reply.Refusal)
	}
	e.updateCall(h, call, func(r *request) {
		if r.state == stateStarting {
			r.state = stateDecoding
		}
	})
	return nil
}

// retry ends the current attempt and starts another one, unless the tries are
// used up. A prompt that was run for an attempt without output was wasted.
func (e *Entry) retry(h *table.Held, call contract.CallID, failed []upstream.ID, refusal *contract.Refusal) []pool.Effect {
	var work []heldWork
	again := false
	var fp contract.Fingerprint
	var need placement.Need
	now := e.clock.Now()
	found := e.updateCall(h, call, func(r *request) {
		fp = r.Fingerprint
		need = r.need(now)
	})
	if !found {
		return nil
	}
	stop := e.stopRetry(h, fp, refusal, true)
	prefillIn := e.prefillIn(h, need)
	found = e.updateCall(h, call, func(r *request) {
		if r.keepHandle(now, prefillIn) == transfer.Abandon {
			stop = refusal
		}
		r.failures++
		if r.failures > maxFailures || stop != nil {
			return
		}
		again = true
		work = r.heldWork()
		r.excluded = append(r.excluded, failed...)
		r.decode = nil
		r.prefill = nil
	})
	if !found {
		return nil
	}
	if !again {
		return e.finish(h, call.Request, cmp.Or(stop, refusal))
	}
	effects := e.releaseWork(h, work, true)
	return append(effects, e.enqueue(h, call.Request)...)
}
