package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// stream sends the request to the engine or upstream at its place. source is the
// prefilled KV cache to fetch, or empty if the engine prefills the prompt itself.
func (g *Gateway) stream(h *table.HeldLocks, r *request, source runner.Handle) []pool.Effect {
	if refusal := g.checkSend(h, r); refusal != nil {
		effects := g.finish(h, r, refusal)
		if source.ID != "" {
			effects = append(effects, g.freeHandle(h, source, r)...)
		}
		return effects
	}
	if effects, void := g.checkPlace(h, r, source); void {
		return effects
	}
	now := g.clock.Now()
	choice := *r.assigned
	if !g.takeStream(h, now, r, choice) {
		// It is cold and the turn to send to it has passed to another gateway.
		r.unusedHandle, r.placeLostAt = source, now
		return append(g.releasePlace(h, r), g.takePlace(h, r)...)
	}
	options := r.options(now)
	options.Source = source
	// The request consumes its reservation at the engine.
	r.reservation = ""
	r.attempts++
	r.earlierEvents, r.sentAt = r.events, now
	return g.requestEffect(r, func() pool.Step {
		answer, result := g.runners.Stream(r.ctx, choice.Target, r.message, options, &streamWriter{g: g, r: r, choice: choice})
		return func(h *table.HeldLocks) []pool.Effect { return g.afterStream(h, r, choice, source, answer, result) }
	})
}

// streamWithoutModel sends a stream request to an upstream that runs no model, without a
// reservation or prefill.
func (g *Gateway) streamWithoutModel(h *table.HeldLocks, r *request) []pool.Effect {
	if _, refusal := g.placeWithoutModel(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	if r.assigned == nil {
		return g.waitForTurn(h, r, upstream.RoleService)
	}
	return g.stream(h, r, runner.Handle{})
}

// resend sends a stream request to another upstream.
func (g *Gateway) resend(h *table.HeldLocks, r *request) []pool.Effect {
	r.placePrefills = 0
	return g.takePlace(h, r)
}

// freeHandle frees a KV cache that no engine will fetch. One in an evacuated zone expires by
// itself.
func (g *Gateway) freeHandle(h *table.HeldLocks, source runner.Handle, r *request) []pool.Effect {
	if g.inEvacuatedZone(h, source.Engine) {
		return nil
	}
	return []pool.Effect{g.cleanup(func(ctx context.Context) runner.Result {
		return g.runners.FreeHandle(ctx, runner.Target{ID: source.Engine, Addr: source.Addr}, source.ID)
	}, "handle", r)}
}

// streamWriter writes a stream to the caller and records the times of its events.
type streamWriter struct {
	g      *Gateway
	r      *request
	choice roster.Choice
	// begun is set once the upstream's answer has begun.
	begun bool
}

// Begin implements runner.StreamReceiver. A resumed stream keeps the status and
// headers of its first attempt.
func (d *streamWriter) Begin(status int, header map[string][]string, load runner.Load) error {
	if !d.begun {
		d.begun = true
		d.g.recordLoad(d.choice, load)
	}
	if d.r.headSent {
		return nil
	}
	d.r.headSent = true
	d.r.startLoad = load
	return d.r.sink.Begin(status, header)
}

// errEndlessStream means that a stream has more events than its request has tokens.
var errEndlessStream = errors.New("endless stream")

// extraEvents is the number of events without an output token that a stream may have, such
// as those that begin and end it.
const extraEvents = 64

// mostEvents bounds the events of a stream: each holds a token, or is one of a few others.
// It is 0, no bound, if the caller declared no maximum output.
func (r *request) mostEvents() int {
	if !r.message.Sized || r.message.MaxOutput <= 0 {
		return 0
	}
	return int(r.message.MaxOutput) + extraEvents
}

// Event implements runner.StreamReceiver.
func (d *streamWriter) Event(e runner.Event) error {
	now := d.g.clock.Now()
	if d.r.events == 0 {
		d.r.firstEventAt = now
	} else {
		d.r.longestGap = max(d.r.longestGap, now.Sub(d.r.lastEventAt))
	}
	d.r.lastEventAt = now
	if err := d.r.sink.Write(e.Raw); err != nil {
		return err
	}
	d.r.events++
	if d.r.attemptEvents() == begunEvents {
		d.g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
			d.g.recordAnswerBegun(h, d.r)
			return nil
		})
	}
	if most := d.r.mostEvents(); most > 0 && d.r.events > most {
		return fmt.Errorf("stream of more than %d events: %w", most, errEndlessStream)
	}
	if d.r.events == paceEvents+1 && d.r.attempts == 1 {
		d.g.recordPace(d.r, now.Sub(d.r.firstEventAt))
		d.g.recordEventTime(d.choice, now.Sub(d.r.firstEventAt)/paceEvents)
	}
	if e.ID != "" {
		d.r.lastEventID = e.ID
	}
	return nil
}

// afterStream ends the request or, after a failure, sends it to another upstream.
func (g *Gateway) afterStream(h *table.HeldLocks, r *request, choice roster.Choice, source runner.Handle, answer runner.Answer, result runner.Result) []pool.Effect {
	effects := g.releasePlace(h, r)
	g.holdAnswer(h, r, answer)
	now := g.clock.Now()
	ended := r.ctx.Err() != nil
	if result.Reach != runner.Rejected || source.ID == "" {
		g.recordResult(h, r, choice, result, ended)
	}
	switch result.Reach {
	case runner.Answered:
		if r.promisesFalsely(result.Status) {
			return append(effects, g.withhold(h, r, "stream", choice, result)...)
		}
		r.ran = contract.RanYes
		if result.Status < 300 {
			g.recordAnswerBegun(h, r)
		}
		g.recordOutput(h, r)
		return append(effects, g.finishAnswered(h, r, answer, result)...)
	case runner.Broken:
		r.ran = contract.RanUnknown
		if r.events > 0 {
			r.ran = contract.RanYes
		}
	}
	g.logAttempt(r, "stream", choice, result)
	handleReused := r.handleReused
	r.handleReused = false
	if refusal := g.checkCanceled(h, r); refusal != nil {
		if result.Reach != runner.Broken && source.ID != "" {
			effects = append(effects, g.freeHandle(h, source, r)...)
		}
		return append(effects, g.finish(h, r, refusal)...)
	}
	r.excludeUpstream(choice.ID)
	resendOrFinish := func(h *table.HeldLocks) []pool.Effect { return g.resendOrFinish(h, r, result) }
	switch {
	case result.Reach == runner.Broken:
		if r.events == 0 {
			r.unusedHandle, r.handleReused = source, true
		}
		call := brokenCall{choice, r.sentAt, now, r.attemptEvents()}
		mayBeSuspect := false
		g.promptParts.With(h, func(t **quarantine.PartTable) { mayBeSuspect = (*t).MayBecomeSuspect(r.sharedParts, r.fingerprint) })
		if call.events < begunEvents && mayBeSuspect {
			// Whether it is worth another engine depends on whether this one crashed.
			return append(effects, g.checkCrashThen(r, call, resendOrFinish)...)
		}
		effects = append(effects, g.checkCrash(r, call)...)
	case result.Reach == runner.NotSent || result.Misdirected:
		r.unusedHandle, r.handleReused = source, true
	case result.Reach == runner.Rejected && source.ID != "" && !handleReused:
		// Memory was reserved, so either the KV cache was missing or the engine
		// accepts no work. A reused cache may be missing because the first decode
		// engine had fetched it, so neither engine is blamed then.
		g.board.With(h, func(b **roster.Board) {
			(*b).RecordEviction(now, *r.prefilledBy)
			(*b).RecordBrokenReservation(now, choice)
		})
		r.excludeUpstream(r.prefilledBy.ID)
	}
	return append(effects, resendOrFinish(h)...)
}

// resendOrFinish sends a request to another upstream, or ends it after a failure.
func (g *Gateway) resendOrFinish(h *table.HeldLocks, r *request, result runner.Result) []pool.Effect {
	now := g.clock.Now()
	if g.mayResend(h, r, result) {
		g.flushAndLogEvent(r, eventRetried, "attempts", r.attempts, "after_event", r.lastEventID,
			"slack_ms", r.slack(now).Milliseconds(), "left_ms", r.timeLeft(now).Milliseconds())
		return g.resend(h, r)
	}
	return g.finish(h, r, g.failureRefusal(r, result))
}

// recordResult reports the result of an attempt to the board. A failure after the
// request was canceled (ended) does not count against the upstream.
func (g *Gateway) recordResult(h *table.HeldLocks, r *request, choice roster.Choice, result runner.Result, ended bool) {
	now := g.clock.Now()
	g.board.With(h, func(b **roster.Board) {
		switch {
		case result.Reach == runner.Answered && result.Status < 500:
			(*b).RecordSuccess(now, choice, g.timePerEvent(r, now), result.Load)
			if took, ok := r.answerTime(now); ok {
				(*b).RecordAnswer(now, choice, took)
			}
		case !ended:
			(*b).RecordResult(now, choice, result)
		}
	})
}

// finishAnswered ends a request that an upstream answered completely. An answer with
// headers was not streamed and is delivered now, unless part of a stream was already.
func (g *Gateway) finishAnswered(h *table.HeldLocks, r *request, answer runner.Answer, result runner.Result) []pool.Effect {
	if answer.Header == nil {
		// The stream has already been delivered.
		return g.finish(h, r, nil)
	}
	if r.headSent {
		refusal := &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "the stream was not resumed"}
		return g.finish(h, r, refusal)
	}
	return g.deliver(h, r, answer)
}

// deliver writes a complete answer to the caller in an effect, since the write can
// block.
func (g *Gateway) deliver(h *table.HeldLocks, r *request, answer runner.Answer) []pool.Effect {
	held := g.takeHeldAnswers(h, r)
	return g.requestEffect(r, func() pool.Step {
		defer releaseAll(held)
		r.headSent = true
		r.firstEventAt = g.clock.Now()
		err := r.sink.Begin(answer.Status, answer.Header)
		if err == nil {
			err = r.sink.Write(answer.Body)
		}
		return func(h *table.HeldLocks) []pool.Effect {
			if err != nil {
				return g.finish(h, r, &contract.Refusal{Code: contract.CodeCanceled, Ran: contract.RanYes, Reason: err.Error()})
			}
			return g.finish(h, r, nil)
		}
	})
}

// mayResend reports whether a request may be sent to another upstream. If so it takes
// a retry from the budget, except for requests that were not sent.
func (g *Gateway) mayResend(h *table.HeldLocks, r *request, result runner.Result) bool {
	if result.Reach == runner.NotSent {
		r.attempts--
		// Other upstreams cannot be called either.
		return !result.NoDescriptor
	}
	if r.attempts >= r.route.MaxAttempts && result.Reach != runner.Rejected {
		return false
	}
	if r.attempts >= maxSends {
		return false
	}
	if r.headSent && r.lastEventID == "" {
		return false
	}
	return g.takeRetry(h, r, r.ran)
}

// maxSends bounds the attempts of a request that every upstream rejects.
const maxSends = 4

// failureRefusal is the refusal of a request whose last attempt failed.
func (g *Gateway) failureRefusal(r *request, result runner.Result) *contract.Refusal {
	switch {
	case r.headSent:
		return &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "the upstream broke off"}
	case r.ran == contract.RanNo && result.Reach != runner.Broken:
		return contract.RefuseRetryable(contract.CodeOverCapacity, g.options.RetryAfter, "upstreams had no room")
	default:
		return &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanUnknown, Reason: "the upstream gave no whole answer"}
	}
}
