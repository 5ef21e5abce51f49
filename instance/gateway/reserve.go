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

// Limits of asking for a place.
const (
	// MaxAsks bounds the engines asked in one round.
	MaxAsks = 8
	// AskTimeout bounds one ask: engines answer it without work.
	AskTimeout = 150 * time.Millisecond
	// ReserveFor is how long memory is reserved: the time to read a prompt and
	// to begin to move its KV cache. Longer reservations stand empty when a
	// caller leaves.
	ReserveFor = time.Second
)

// ask is one engine that was asked for a place, and its answer.
type reserveAttempt struct {
	choice roster.Choice
	result runner.Result
}

// reserve asks decode engines for a place, before anything is read.
func (g *Gateway) reserve(h *table.Held, r *request) []pool.Effect {
	if refusal := g.checkCanceled(h, r); refusal != nil {
		return append(g.finish(h, r, refusal), g.endPlacement(h, r, true)...)
	}
	now := g.clock.Now()
	processes := g.countGateways(h, now)
	allowed := false
	g.board.With(h, func(b **roster.Board) { allowed = (*b).MayRead(r.service, r.message.Prompt, processes) })
	if !allowed {
		return append(g.endPlacement(h, r, false), g.enqueue(h, r, waitBacklog)...)
	}
	choices := g.choose(h, now, r, upstream.RoleDecode, nil)
	if len(choices) > MaxAsks {
		choices = choices[:MaxAsks]
	}
	if len(choices) == 0 {
		r.excluded = nil
		return append(g.endPlacement(h, r, false), g.enqueue(h, r, waitRoom)...)
	}
	ttl := ReserveFor
	if engine := g.engine(h, r.service); engine != nil && engine.MaxReservation > 0 {
		ttl = min(ttl, engine.MaxReservation)
	}
	expectedTokens := r.expectedTokens()
	return g.requestEffect(r, func() pool.Step {
		var tried []reserveAttempt
		for _, c := range choices {
			ctx, cancel := context.WithTimeout(r.ctx, AskTimeout)
			id, result := g.runners.Reserve(ctx, c.Target, expectedTokens, ttl)
			cancel()
			tried = append(tried, reserveAttempt{c, result})
			if result.Reach == runner.Answered {
				return func(h *table.Held) []pool.Effect { return g.afterReserve(h, r, &c, id, expectedTokens, tried) }
			}
			if r.ctx.Err() != nil {
				break
			}
		}
		return func(h *table.Held) []pool.Effect { return g.afterReserve(h, r, nil, "", expectedTokens, tried) }
	})
}

// choose gives the upstreams to try for a role.
func (g *Gateway) choose(h *table.Held, now time.Time, r *request, role upstream.Role, near *roster.Choice) (choices []roster.Choice) {
	need := roster.Need{Service: r.service, Role: role, Near: g.options.Self.Place.Zone, Exclude: r.excluded}
	if near != nil {
		need.Near = near.Zone
	}
	g.board.With(h, func(b **roster.Board) { choices = (*b).Choose(now, need) })
	return choices
}

// engine describes the engines of a service; nil if it has none.
func (g *Gateway) engine(h *table.Held, service directory.ServiceName) *directory.Engine {
	snapshot := g.snapshot(h)
	if snapshot == nil || snapshot.Services[service] == nil {
		return nil
	}
	return snapshot.Services[service].Engine
}

// reserved goes on with a place, or lets the request wait.
func (g *Gateway) afterReserve(h *table.Held, r *request, choice *roster.Choice, id string, tokens contract.Tokens, tried []reserveAttempt) []pool.Effect {
	now := g.clock.Now()
	g.board.With(h, func(b **roster.Board) {
		for _, a := range tried {
			switch a.result.Reach {
			case runner.Answered:
			case runner.Broken:
				// Asking is no work: an engine that gives no answer to it is away.
				(*b).Down(now, a.choice)
			default:
				(*b).Blame(now, a.choice, a.result)
			}
		}
		if choice != nil {
			(*b).Took(*choice, tokens)
		}
	})
	if choice == nil {
		effects := g.endPlacement(h, r, false)
		return append(effects, g.enqueue(h, r, waitRoom)...)
	}
	live := g.ifLive(h, r, func() {
		r.place, r.heldTokens, r.reservation = choice, tokens, id
		r.placedAt = now
	})
	effects := g.endPlacement(h, r, true)
	if !live {
		return effects
	}
	g.metrics.recordPhase(PhasePlace, now.Sub(r.arrived))
	g.logEvent(r, eventReserved, "upstream", choice.ID, "tokens", tokens,
		"asked", len(tried), "held_tokens", choice.Tokens, "waited_ms", now.Sub(r.arrived).Milliseconds())
	return append(effects, g.prefill(h, r)...)
}
