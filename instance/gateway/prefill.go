package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Limits of reading a prompt.
const (
	// MaxPrefills bounds the engines that are sent one prompt for one place.
	MaxPrefills = 2
	// PrefillTimeout bounds one reading: beyond it the reservation has lapsed.
	PrefillTimeout = 1500 * time.Millisecond
)

// prefill has the prompt read for the place that the request holds. Without a
// prefill engine the decode engine reads it.
func (g *Gateway) prefill(h *table.Held, r *request) []pool.Effect {
	if refusal := g.checkCanceled(h, r); refusal != nil {
		return g.finish(h, r, refusal)
	}
	if source := r.unusedHandle; source.ID != "" {
		r.unusedHandle, r.handleReused = runner.Handle{}, true
		return g.stream(h, r, source)
	}
	now := g.clock.Now()
	choices := g.choose(h, now, r, upstream.RolePrefill, r.place)
	if len(choices) == 0 || r.placePrefills >= MaxPrefills || r.totalPrefills > 0 && !g.takeRetry(h, r, contract.RanNo) {
		return g.stream(h, r, runner.Handle{})
	}
	choice := choices[0]
	prompt := r.message.Prompt
	g.board.With(h, func(b **roster.Board) {
		(*b).Took(choice, prompt)
		(*b).Probe(now, choice)
	})
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
		return func(h *table.Held) []pool.Effect { return g.afterPrefill(h, r, choice, handle, result) }
	})
}

// prefillUnit is the prompt for which reading times are compared, in tokens.
const prefillReferenceTokens = 1000

// prefilled goes on with the KV cache, or with another engine.
func (g *Gateway) afterPrefill(h *table.Held, r *request, choice roster.Choice, handle runner.Handle, result runner.Result) []pool.Effect {
	now := g.clock.Now()
	prompt := r.message.Prompt
	ended := r.ctx.Err() != nil
	g.board.With(h, func(b **roster.Board) {
		(*b).Freed(choice, prompt)
		switch {
		case result.Reach == runner.Answered:
			took := now.Sub(r.prefillAt) * prefillReferenceTokens / time.Duration(max(prompt, prefillReferenceTokens))
			(*b).Succeeded(now, choice, took, result.Load)
			(*b).Read(prompt, now.Sub(r.prefillAt))
		case !ended:
			(*b).Blame(now, choice, result)
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
		// Rejected readings count as attempts, unlike the first accepted one.
		g.withRetryBudget(h, r.service, (*retry.Budget).Spend)
	}
	effects := g.placeNextWaiter(h, r.service)
	if result.Reach == runner.Broken && !ended {
		effects = append(effects, g.checkCrash(r, choice)...)
	}
	return append(effects, g.prefill(h, r)...)
}
