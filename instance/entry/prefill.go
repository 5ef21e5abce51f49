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

// prefillRun is the prefill of one attempt: the upstreams left to try, the message to
// send and, in windowIn, the time until the window on the import link opens.
type prefillRun struct {
	call     contract.CallID
	choices  []placement.Choice
	q        peer.PrefillRequest
	windowIn time.Duration
}

// startPrefill runs the prompt so that its KV cache is ready when the window on
// the import link opens; windowIn is the time until then.
func (e *Entry) startPrefill(h *table.HeldLocks, call contract.CallID, windowIn time.Duration) []pool.Effect {
	now := e.clock.Now()
	run := prefillRun{call: call, windowIn: windowIn}
	var need placement.Need
	found := e.updateAttempt(h, call, func(r *request) {
		need = r.need(now)
		if r.decode != nil {
			need.Near = r.decode.Place
		}
		run.q = r.prefillRequest(now)
	})
	if !found {
		return nil
	}
	e.board.With(h, func(b **placement.Board) { run.choices = (*b).ChoosePrefill(now, need) })
	run.q.Header = e.header(h)
	return e.nextPrefill(h, run)
}

// prefillRequest returns the message of the current attempt, without its header.
func (r *request) prefillRequest(now time.Time) peer.PrefillRequest {
	return peer.PrefillRequest{
		Call:        r.attemptID(),
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

// nextPrefill sends the prefill to the next choice, or ends the attempt if
// there is none left.
func (e *Entry) nextPrefill(h *table.HeldLocks, run prefillRun) []pool.Effect {
	if len(run.choices) == 0 {
		refusal := contract.RefuseRetryable(contract.CodeOverCapacity, RetryWhenBusy, "no prefill upstream has room")
		return e.retry(h, run.call, nil, refusal)
	}
	choice := run.choices[0]
	run.choices = run.choices[1:]
	run.q.StartIn = placement.PrefillDelay(run.windowIn, choice.Estimate)
	found := e.updateAttempt(h, run.call, func(r *request) {
		r.prefill = &choice
		r.silentAddr = ""
		r.sentAt = e.clock.Now().Add(run.q.StartIn)
	})
	if !found {
		return nil
	}
	effects := e.track(h, choice.Addr, run.call)
	return append(effects, e.sendPrefill(choice, run))
}

// sendPrefill returns the effect that runs the prompt at one upstream.
func (e *Entry) sendPrefill(choice placement.Choice, run prefillRun) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, run.q.Within)
		defer cancel()
		e.registerWait(run.call, choice.Addr, cancel)
		reply, err := e.peers.Sidecar(choice.Addr).Prefill(ctx, &run.q)
		return func(h *table.HeldLocks) []pool.Effect {
			if err != nil {
				return e.handlePrefillError(h, choice, run, err)
			}
			return e.handlePrefillReply(h, choice, run, reply)
		}
	}
	return pool.Effect{Lane: lanePrefill, Perform: perform}
}

// handlePrefillError excludes an upstream whose sidecar did not answer and
// tries the next choice.
func (e *Entry) handlePrefillError(h *table.HeldLocks, choice placement.Choice, run prefillRun, err error) []pool.Effect {
	e.log.Warn("prefill failed", "request", run.call.Request, "upstream", choice.ID, "error", err)
	e.recordLoadsAndFailures(h, nil, []upstream.ID{choice.ID})
	sent := !errors.Is(err, peer.ErrNotSent)
	effects := e.releaseWork(h, []heldWork{{choice.Addr, run.call}}, sent)
	e.updateAttempt(h, run.call, func(r *request) {
		if sent {
			r.ran = contract.RanUnknown
		}
		r.prefill = nil
		r.excluded = append(r.excluded, choice.ID)
	})
	return append(effects, e.nextPrefill(h, run)...)
}

// handlePrefillReply starts the decode if a slot is reserved, or queues the
// request for a reservation. After a refusal it tries the next choice.
func (e *Entry) handlePrefillReply(h *table.HeldLocks, choice placement.Choice, run prefillRun, reply *peer.PrefillReply) []pool.Effect {
	e.recordLoadsAndFailures(h, []upstream.Load{reply.Load}, nil)
	e.untrack(h, choice.Addr, run.call)
	if reply.Refusal != nil {
		return e.handlePrefillRefusal(h, choice, run, reply.Refusal)
	}
	var q *peer.DecodeRequest
	var decode placement.Choice
	now := e.clock.Now()
	placed := true
	found := e.updateAttempt(h, run.call, func(r *request) {
		e.recordPrefill(h, choice.ID, now.Sub(r.sentAt), run.q.Tokens, prefixOf(r))
		r.prefill = nil
		r.handle = reply.Handle
		r.handleReadyAt = now
		r.ran = contract.RanYes
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
	return []pool.Effect{e.sendDecode(decode, q)}
}

// startDecode moves the request to stateStartingDecode and returns the message that
// starts the output.
func (r *request) startDecode(now time.Time) *peer.DecodeRequest {
	r.state = stateStartingDecode
	r.sentAt = now
	return r.decodeRequest()
}

// recordPrefill records on the board how long an engine takes for 1,000 tokens,
// so that engines are comparable for prompts of any length, and which prefix it
// has cached. Shorter prompts count as 1,000 tokens.
func (e *Entry) recordPrefill(h *table.HeldLocks, id upstream.ID, took time.Duration, tokens contract.Tokens, prefix uint64) {
	const unit = 1000
	e.recordSuccess(h, id, took*unit/time.Duration(max(tokens, unit)))
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).RecordPrefix(now, id, prefix) })
}

// handlePrefillRefusal tries the next choice unless the request was rejected. A
// prefill has no lasting effect, so the request may run elsewhere even if the
// refused one may have run.
func (e *Entry) handlePrefillRefusal(h *table.HeldLocks, choice placement.Choice, run prefillRun, refusal *contract.Refusal) []pool.Effect {
	rejected := refusal.Ran == contract.RanNo && !refusal.Repeat
	if rejected {
		return e.finish(h, run.call.Request, refusal)
	}
	if refusal.Ran != contract.RanNo {
		e.recordLoadsAndFailures(h, nil, []upstream.ID{choice.ID})
	}
	e.updateAttempt(h, run.call, func(r *request) {
		r.ran = max(r.ran, refusal.Ran)
		r.prefill = nil
		r.excluded = append(r.excluded, choice.ID)
	})
	return e.nextPrefill(h, run)
}

// decodeRequest returns the message that starts the output, without its header.
func (r *request) decodeRequest() *peer.DecodeRequest {
	return &peer.DecodeRequest{
		Call:      r.attemptID(),
		Model:     r.Generate.Model,
		Handle:    r.handle,
		Pseudonym: r.Pseudonym,
		MaxTokens: r.Generate.MaxTokens,
		Seed:      r.Generate.Seed,
		Offset:    r.next,
	}
}

// sendDecode returns the effect that starts the output. The output comes with
// polls.
func (e *Entry) sendDecode(choice placement.Choice, q *peer.DecodeRequest) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		reply, err := e.peers.Sidecar(choice.Addr).Decode(ctx, q)
		return func(h *table.HeldLocks) []pool.Effect {
			return e.handleDecodeReply(h, choice, q.Call, reply, err)
		}
	}
	return pool.Effect{Lane: laneDecode, Perform: perform}
}

// handleDecodeReply moves the request to stateDecoding, or retries after a
// refusal or an error.
func (e *Entry) handleDecodeReply(h *table.HeldLocks, choice placement.Choice, call contract.CallID, reply *peer.DecodeReply, err error) []pool.Effect {
	if err != nil {
		e.recordLoadsAndFailures(h, nil, []upstream.ID{choice.ID})
		refusal := &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanUnknown, Repeat: true, Reason: err.Error()}
		return e.retry(h, call, []upstream.ID{choice.ID}, refusal)
	}
	e.recordLoadsAndFailures(h, []upstream.Load{reply.Load}, nil)
	if reply.Refusal != nil {
		return e.retry(h, call, nil, reply.Refusal)
	}
	e.updateAttempt(h, call, func(r *request) {
		if r.state == stateStartingDecode {
			r.state = stateDecoding
		}
	})
	return nil
}

// retry ends the current attempt and queues the request for another one, or
// ends the request if no attempt is left. The prefilled tokens of an attempt
// without output count as wasted unless the KV cache is reused.
func (e *Entry) retry(h *table.HeldLocks, call contract.CallID, failed []upstream.ID, refusal *contract.Refusal) []pool.Effect {
	var work []heldWork
	again := false
	var fp contract.Fingerprint
	var need placement.Need
	now := e.clock.Now()
	found := e.updateAttempt(h, call, func(r *request) {
		fp = r.Fingerprint
		need = r.need(now)
	})
	if !found {
		return nil
	}
	stop := e.checkRetry(h, fp, refusal, true)
	prefillIn := e.prefillIn(h, need)
	found = e.updateAttempt(h, call, func(r *request) {
		if r.decideHandleReuse(now, prefillIn) == transfer.Abandon {
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
