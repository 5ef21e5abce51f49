package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Limits of prefills.
const (
	// MaxPrefills bounds the prefill engines tried for one reservation.
	MaxPrefills = 2
	// PrefillTimeout bounds one prefill: after it the reservation has expired.
	PrefillTimeout = 1500 * time.Millisecond
)

// prefill sends the prompt to a prefill engine, preferably in the zone of the reserved
// decode engine, or reuses an unused KV cache. If no prefill engine is left or the retry
// budget is empty, the decode engine prefills the prompt.
func (g *Gateway) prefill(h *table.HeldLocks, r *request) []pool.Effect {
	if refusal := g.checkSend(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	if source := r.unusedHandle; source.ID != "" {
		r.unusedHandle, r.handleReused = runner.Handle{}, true
		return g.stream(h, r, source)
	}
	now := g.clock.Now()
	choices := g.choose(h, now, r, upstream.RolePrefill, r.assigned)
	if len(choices) == 0 || r.placePrefills >= MaxPrefills || r.totalPrefills > 0 && !g.takeRetry(h, r, contract.RanNo) {
		return g.stream(h, r, runner.Handle{})
	}
	choice := choices[0]
	prompt := r.message.Prompt
	g.board.With(h, func(b **roster.Board) {
		(*b).AddCall(choice, prompt)
		(*b).RecordProbe(now, choice)
	})
	g.away.count(&g.away.prefills, choice, r.assigned.Zone)
	r.prefilledBy = &choice
	r.placePrefills++
	r.totalPrefills++
	r.prefillAt = now
	options := r.options(now)
	options.Reservation = ""
	return g.requestEffect(r, func() pool.Step {
		ctx, cancel := context.WithTimeout(r.ctx, PrefillTimeout)
		defer cancel()
		handle, result := g.runners.Prefill(ctx, choice.Target, r.message, options)
		return func(h *table.HeldLocks) []pool.Effect { return g.afterPrefill(h, r, choice, handle, result) }
	})
}

// prefillReferenceTokens is the prompt length to which prefill times are scaled, in
// tokens, so that engines can be compared. Shorter prompts are not scaled.
const prefillReferenceTokens = 1000

// afterPrefill starts the stream with the KV cache, or tries another prefill engine.
func (g *Gateway) afterPrefill(h *table.HeldLocks, r *request, choice roster.Choice, handle runner.Handle, result runner.Result) []pool.Effect {
	now := g.clock.Now()
	prompt := r.message.Prompt
	ended := r.ctx.Err() != nil
	if result.Reach == runner.Answered {
		g.demand.With(h, func(l **demand.Ledger) { (*l).RecordPrefill(now, r.service, prompt, now.Sub(r.prefillAt)) })
	}
	rate := g.estimateDemand(h, r.service).PrefillRate
	g.board.With(h, func(b **roster.Board) {
		(*b).RemoveCall(choice, prompt)
		switch {
		case result.Reach == runner.Answered:
			took := now.Sub(r.prefillAt) * prefillReferenceTokens / time.Duration(max(prompt, prefillReferenceTokens))
			(*b).RecordSuccess(now, choice, took, result.Load)
			(*b).RecordPrefill(prompt, now.Sub(r.prefillAt), rate)
		case !ended:
			(*b).RecordResult(now, choice, result)
		}
	})
	if result.Reach == runner.Answered {
		g.metrics.recordPhase(PhasePrefill, now.Sub(r.prefillAt))
		g.logEvent(r, eventPrefilled, "upstream", choice.ID, "tokens", prompt,
			"took_ms", now.Sub(r.prefillAt).Milliseconds(), "held_tokens", choice.Tokens)
		return append(g.stream(h, r, handle), g.placeNextWaiter(h, r.service)...)
	}
	g.logAttempt(r, "prefill", choice, result)
	r.excludeUpstream(choice.ID)
	if result.Reach == runner.Rejected {
		// A rejected prefill is charged to the retry budget, although it was sent
		// without asking the budget: only a first prefill that an engine accepts
		// is free.
		g.withRetryBudget(h, r.service, (*retry.Budget).ChargeWithoutCheck)
	}
	effects := g.placeNextWaiter(h, r.service)
	if result.Reach == runner.Broken && !ended {
		effects = append(effects, g.checkCrash(r, brokenCall{choice, r.prefillAt, now, 0})...)
	}
	return append(effects, g.prefill(h, r)...)
}
