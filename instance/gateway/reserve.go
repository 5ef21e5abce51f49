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

// Limits of reservations at decode engines.
const (
	// MaxReserveAttempts bounds the engines asked in one round.
	MaxReserveAttempts = 8
	// ReserveTimeout bounds one reservation call, which engines answer without work.
	ReserveTimeout = 150 * time.Millisecond
	// ReservationTTL is how long memory is reserved: enough for the prefill and the
	// start of the KV cache transfer. A longer reservation would leave memory
	// unused after a caller left.
	ReservationTTL = time.Second
)

// reserveAttempt is a decode engine that was asked for a reservation, and its answer.
type reserveAttempt struct {
	choice roster.Choice
	result runner.Result
}

// reserve asks decode engines in turn for a reservation, before the prompt is read. The
// request waits if the prefill backlog is full or no engine has room.
func (g *Gateway) reserve(h *table.HeldLocks, r *request) []pool.Effect {
	if refusal := g.checkSend(h, r); refusal != nil {
		return append(g.finish(h, r, refusal), g.endPlacement(h, r, true)...)
	}
	now := g.clock.Now()
	share := g.share(h, now, r.service)
	allowed := false
	estimate := g.estimateDemand(h, r.service)
	g.board.With(h, func(b **roster.Board) {
		allowed = r.unusedHandle.ID != "" || (*b).MayPrefill(r.need(upstream.RolePrefill), r.message.Prompt, estimate.PrefillRate, min(1, share*r.prefillPart()))
	})
	if !allowed {
		return append(g.endPlacement(h, r, false), g.enqueue(h, r, waitBacklog)...)
	}
	if g.awaitsTurn(h, now, r, upstream.RolePrefill) {
		return append(g.endPlacement(h, r, false), g.waitForTurn(h, r, upstream.RolePrefill)...)
	}
	choices := g.choose(h, now, r, upstream.RoleDecode, nil)
	if len(choices) == 0 {
		if refusal := g.refuseUnavailable(h, now, r, upstream.RoleDecode); refusal != nil && r.events == 0 {
			return append(g.endPlacement(h, r, true), g.finish(h, r, refusal)...)
		}
		if g.awaitsTurn(h, now, r, upstream.RoleDecode) {
			return append(g.endPlacement(h, r, false), g.waitForTurn(h, r, upstream.RoleDecode)...)
		}
		r.excluded = nil
		return append(g.endPlacement(h, r, false), g.enqueue(h, r, waitRoom)...)
	}
	ttl := ReservationTTL
	if engine := g.engine(h, r.service); engine != nil && engine.MaxReservation > 0 {
		ttl = min(ttl, engine.MaxReservation)
	}
	expectedTokens := r.expectedTokens()
	reserved := r.message.Prompt + estimate.Reserve(r.expectedOutput(), r.message.MaxOutput)
	asks := g.headroom(h, now, r, estimate).Arrange(choices, reserved)
	asks = asks[:min(len(asks), r.maxReserveAttempts())]
	return g.requestEffect(r, func() pool.Step {
		var tried []reserveAttempt
		for _, ask := range asks {
			c := ask.Choice
			ctx, cancel := context.WithTimeout(r.ctx, ReserveTimeout)
			r.reservedAt = g.clock.Now()
			id, result := g.runners.Reserve(ctx, c.Target, ask.Tokens, ttl)
			cancel()
			tried = append(tried, reserveAttempt{c, result})
			if result.Reach == runner.Answered {
				return func(h *table.HeldLocks) []pool.Effect { return g.afterReserve(h, r, &c, id, expectedTokens, tried) }
			}
			if r.ctx.Err() != nil {
				break
			}
		}
		return func(h *table.HeldLocks) []pool.Effect { return g.afterReserve(h, r, nil, "", expectedTokens, tried) }
	})
}

// choose returns the upstreams to try for a role, the best first. With near, those in
// its zone are preferred, else those in the gateway's own zone.
func (g *Gateway) choose(h *table.HeldLocks, now time.Time, r *request, role upstream.Role, near *roster.Choice) (choices []roster.Choice) {
	need := r.need(role)
	need.Near, need.Prompt = g.options.Self.Place.Zone, r.message.Prompt
	need.Bytes, need.MostBytes = int64(len(r.message.Body)), g.mostBytes(h, now, r.service)
	if near != nil {
		need.Near = near.Zone
	}
	g.board.With(h, func(b **roster.Board) { choices = (*b).Choose(now, need) })
	return choices
}

// engine returns the engine settings of a service, or nil if it runs no model.
func (g *Gateway) engine(h *table.HeldLocks, service directory.ServiceName) *directory.Engine {
	snapshot := g.snapshot(h)
	if snapshot == nil || snapshot.Services[service] == nil {
		return nil
	}
	return snapshot.Services[service].Engine
}

// afterReserve continues with the prefill, or queues the request if no engine had room
// (choice is nil). tried are the engines asked in this round.
func (g *Gateway) afterReserve(h *table.HeldLocks, r *request, choice *roster.Choice, id string, tokens contract.Tokens, tried []reserveAttempt) []pool.Effect {
	now := g.clock.Now()
	g.board.With(h, func(b **roster.Board) {
		for _, a := range tried {
			(*b).RecordLoad(now, a.choice, a.result.Load)
			switch a.result.Reach {
			case runner.Answered:
			case runner.Broken:
				// The call needs no work at the engine, so an engine that does
				// not answer it is down.
				(*b).MarkDown(now, a.choice)
			default:
				(*b).RecordResult(now, a.choice, a.result)
			}
		}
		if choice != nil {
			(*b).AddCall(*choice, tokens)
			if id != "" {
				(*b).HoldSend(*choice)
			}
		}
	})
	if choice == nil {
		effects := g.endPlacement(h, r, false)
		return append(effects, g.enqueue(h, r, waitRoom)...)
	}
	live := g.ifLive(h, r, func() {
		r.assigned, r.assignedRole, r.heldTokens, r.reservation = choice, upstream.RoleDecode, tokens, id
		r.placedAt = now
	})
	if live {
		g.recordPlacement(h, now, r)
	}
	effects := g.endPlacement(h, r, true)
	if !live {
		return effects
	}
	g.metrics.recordPhase(PhaseReserve, now.Sub(r.arrived))
	g.logEvent(r, eventReserved, "upstream", choice.ID, "tokens", tokens,
		"asked", len(tried), "held_tokens", choice.Tokens, "waited_ms", now.Sub(r.arrived).Milliseconds())
	return append(effects, g.prefill(h, r)...)
}
