package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// ratesTimeout bounds one exchange about rates; a later reply is of no use.
const ratesTimeout = 250 * time.Millisecond

// Rates implements peer.Entry: it passes a peer's message about the shares of rates to
// the policy and replies with the policy's first message to that peer, if any.
func (e *Entry) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.HeldLocks, answer func(*peer.RatesReply)) []pool.Effect {
		e.recordPeer(h, config.Peer{Kind: zone.KindEntry}, &q.Header, 0)
		result := e.handleRates(h, q.From, q.Message)
		reply := &peer.RatesReply{Header: e.header(h)}
		reply.Message, result.Messages = takeMessageTo(result.Messages, q.From.Name)
		answer(reply)
		return e.handleRateResult(h, result)
	})
}

// takeMessageTo removes the first message to one peer from the outgoing
// messages, so that it can be sent with the reply; nil if there is none.
func takeMessageTo(out []rate.Outgoing, to instance.Name) (message *rate.Message, rest []rate.Outgoing) {
	for i := range out {
		if out[i].To == to && message == nil {
			message = &out[i].Message
			continue
		}
		rest = append(rest, out[i])
	}
	return message, rest
}

// handleRates passes a message to the policy.
func (e *Entry) handleRates(h *table.HeldLocks, from instance.Identity, m rate.Message) (result rate.Result) {
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) { result = (*p).HandleMessage(now, from, m) })
	return result
}

// sendRates returns the effects that send rate messages to other entries. A
// message to an entry without a known address is lost; this can lose tokens but
// not create them.
func (e *Entry) sendRates(h *table.HeldLocks, out []rate.Outgoing) (effects []pool.Effect) {
	for i := range out {
		addr := ""
		e.members.With(h, func(m **members) { addr = (*m).Addr(string(out[i].To)) })
		if addr != "" {
			effects = append(effects, e.rateCall(addr, out[i].Message))
		}
	}
	return effects
}

// rateCall returns the effect that sends one message and handles the reply.
func (e *Entry) rateCall(addr string, m rate.Message) pool.Effect {
	return pool.Effect{Lane: laneRates, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ratesTimeout)
		defer cancel()
		reply, err := e.peers.Entry(addr).Rates(ctx, &peer.RatesRequest{Message: m})
		if err != nil || reply.Message == nil {
			return nil
		}
		return func(h *table.HeldLocks) []pool.Effect {
			return e.handleRateResult(h, e.handleRates(h, reply.From, *reply.Message))
		}
	}}
}

// updateRateMembers sets the members of the rate policy: the entries that are alive,
// and this one unless it is leaving.
func (e *Entry) updateRateMembers(h *table.HeldLocks) {
	now := e.clock.Now()
	var alive []instance.Identity
	if !e.leaving() {
		alive = append(alive, e.self)
	}
	e.members.With(h, func(m **members) {
		for _, member := range (*m).Members(now) {
			if member.Kind != zone.KindEntry || member.Health != zone.Alive || member.Incarnation == 0 {
				continue
			}
			alive = append(alive, instance.Identity{
				Name:        instance.Name(member.Name),
				Incarnation: instance.Incarnation(member.Incarnation),
				Place:       member.Place,
			})
		}
	})
	e.rates.With(h, func(p *rate.Policy) { (*p).SetMembers(now, alive) })
}

// releaseTokens sends the tokens that this entry holds to the others, before it shuts
// down.
func (e *Entry) releaseTokens(h *table.HeldLocks) []pool.Effect {
	now := e.clock.Now()
	var out []rate.Outgoing
	e.rates.With(h, func(p *rate.Policy) { out = (*p).PrepareShutdown(now) })
	return e.sendRates(h, out)
}
