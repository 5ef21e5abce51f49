package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// attemptTimeoutFactor times the route's objective is the timeout of an attempt
// that another upstream can repeat. The last attempt has only the request's deadline.
const attemptTimeoutFactor = 1.5

// maxConnectAttempts bounds the upstreams tried until one accepts a connection.
const maxConnectAttempts = 4

// callPlain sends a plain request, one that is neither a stream nor for a model, to an
// upstream of its service.
func (g *Gateway) callPlain(h *table.HeldLocks, r *request) []pool.Effect {
	if refusal := g.checkSend(h, r); refusal != nil {
		return g.finishPlain(h, r, refusal)
	}
	others, refusal := g.placeWithoutModel(h, r)
	if refusal != nil {
		return g.finishPlain(h, r, refusal)
	}
	if r.assigned == nil {
		return g.waitForTurn(h, r, upstream.RoleService)
	}
	choice := *r.assigned
	r.attempts++
	g.logEvent(r, eventSent, "upstream", choice.ID, "attempt", r.attempts, "held_calls", choice.Calls)
	options := r.options(r.placedAt)
	retryable := r.route.Kind == directory.Idempotent && r.route.Objective > 0 && r.attempts < r.route.MaxAttempts && others > 0
	return g.requestEffect(r, func() pool.Step {
		ctx := r.ctx
		if retryable {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptTimeoutFactor*float64(r.route.Objective)))
			defer cancel()
		}
		answer, result := g.runners.Call(ctx, choice.Target, r.message, options)
		return func(h *table.HeldLocks) []pool.Effect { return g.afterCall(h, r, choice, answer, result) }
	})
}

// placeWithoutModel assigns a request to an upstream that runs no model. It returns how many
// other upstreams could have run it. The request stays without an upstream if all are cold
// and have no turn for it.
func (g *Gateway) placeWithoutModel(h *table.HeldLocks, r *request) (others int, refusal *contract.Refusal) {
	now := g.clock.Now()
	choices := g.choose(h, now, r, upstream.RoleService, nil)
	call := sendCall
	if r.route.Kind == directory.Stream {
		call = sendStream
	}
	choices = g.sendable(h, now, r, call, upstream.RoleService, choices)
	choice := g.takeFirst(h, now, choices, 0)
	if choice == nil && (len(choices) > 0 || g.awaitsTurn(h, now, r, upstream.RoleService)) {
		return 0, nil
	}
	if choice == nil {
		if refusal := g.refuseUnavailable(h, now, r, upstream.RoleService); refusal != nil {
			return 0, refusal
		}
		return 0, contract.RefuseRetryable(contract.CodeNoUpstream, minRetryDelay, "no upstream takes the request")
	}
	g.away.count(&g.away.calls, *choice, g.options.Self.Place.Zone)
	r.assigned, r.assignedRole, r.heldTokens, r.placedAt = choice, upstream.RoleService, 0, now
	return len(choices) - 1, nil
}

// afterCall delivers the answer, tries another upstream or ends the request.
func (g *Gateway) afterCall(h *table.HeldLocks, r *request, choice roster.Choice, answer runner.Answer, result runner.Result) []pool.Effect {
	effects := g.releasePlace(h, r)
	g.holdAnswer(h, r, answer)
	if result.NoRoom {
		r.attempts--
		return append(effects, g.finishPlain(h, r, contract.RefuseRetryable(contract.CodeOverCapacity, g.options.RetryAfter, "no room for the answer"))...)
	}
	ended := r.ctx.Err() != nil
	g.recordResult(h, r, choice, result, ended)
	switch result.Reach {
	case runner.Answered:
		if r.promisesFalsely(result.Status) {
			return append(effects, g.withhold(h, r, "call", choice, result)...)
		}
		r.ran = contract.RanYes
		if result.Status < 300 {
			g.recordAnswerBegun(h, r)
		}
		if result.Status < 500 {
			return append(effects, g.deliver(h, r, answer)...)
		}
		r.errorAnswer = &answer
	case runner.Broken:
		r.ran = max(r.ran, contract.RanUnknown)
	case runner.NotSent:
		r.attempts--
	}
	g.logAttempt(r, "call", choice, result)
	if result.Reach == runner.Broken && !ended {
		effects = append(effects, g.checkCrash(r, brokenCall{choice, r.placedAt, g.clock.Now(), 0})...)
	}
	if !ended {
		r.excludeUpstream(choice.ID)
	}
	switch {
	case ended:
		return append(effects, g.finishPlain(h, r, g.checkCanceled(h, r))...)
	case result.NoDescriptor:
	case result.Reach == runner.NotSent && len(r.excluded) < maxConnectAttempts:
		return append(effects, g.callPlain(h, r)...)
	case r.attempts < r.route.MaxAttempts && g.takeRetry(h, r, r.ran):
		return append(effects, g.callPlain(h, r)...)
	}
	return append(effects, g.finishPlain(h, r, g.failureRefusal(r, result))...)
}

// finishPlain ends a plain request. An error answer of an upstream, if there was one,
// takes precedence over the refusal.
func (g *Gateway) finishPlain(h *table.HeldLocks, r *request, refusal *contract.Refusal) []pool.Effect {
	if r.errorAnswer != nil {
		return g.deliver(h, r, *r.errorAnswer)
	}
	return g.finish(h, r, refusal)
}

// timePerEvent returns the average time per event of the answer, by which upstreams
// are compared.
func (g *Gateway) timePerEvent(r *request, now time.Time) time.Duration {
	return now.Sub(r.placedAt) / time.Duration(max(1, r.events))
}
