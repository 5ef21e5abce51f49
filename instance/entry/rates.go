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

// ratesTimeout bounds one exchange about rates; later it is of no use.
const ratesTimeout = 250 * time.Millisecond

// Rates implements peer.Entry.
func (e *Entry) Rates(ctx context.Context, q *peer.RatesRequest) (*peer.RatesReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.Held, answer func(*peer.RatesReply)) []pool.Effect {
		e.memberHeard(h, config.Peer{Kind: zone.KindEntry}, &q.Header, 0)
		result := e.handleRates(h, q.From, q.Message)
		reply := &peer.RatesReply{Header: e.header(h)}
		reply.Message, result.Out = split(result.Out, q.From.Name)
		answer(reply)
		return e.decided(h, result)
	})
}

// split takes the message to one peer out of those to send.
func split(out []rate.Outgoing, to instance.Name) (message *rate.Message, rest []rate.Outgoing) {
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
func (e *Entry) handleRates(h *table.Held, from instance.Identity, m rate.Message) (result rate.Result) {
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) { result = (*p).Handle(now, from, m) })
	return result
}

// sendRates passes tokens and promises to other entries. What can't be sent is
// lost, which costs tokens and never makes them.
func (e *Entry) sendRates(h *table.Held, out []rate.Outgoing) (effects []pool.Effect) {
	for i := range out {
		addr := ""
		e.members.With(h, func(m **members) { addr = (*m).Addr(string(out[i].To)) })
		if addr != "" {
			effects = append(effects, e.rateCall(addr, out[i].Message))
		}
	}
	return effects
}

// rateCall sends one message and takes the answer.
func (e *Entry) rateCall(addr string, m rate.Message) pool.Effect {
	return pool.Effect{Lane: laneRates, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ratesTimeout)
		defer cancel()
		reply, err := e.peers.Entry(addr).Rates(ctx, &peer.RatesRequest{Message: m})
		if err != nil || reply.Message == nil {
			return nil
		}
		return func(h *table.Held) []pool.Effect {
			return e.decided(h, e.handleRates(h, reply.From, *reply.Message))
		}
	}}
}

// rateMembers tells the policy which entries are alive and stay.
func (e *Entry) rateMembers(h *table.Held) {
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

// handBackRates offers what this entry holds to the others.
func (e *Entry) handBackRates(h *table.Held) []pool.Effect {
	now := e.clock.Now()
	var out []rate.Outgoing
	e.rates.With(h, func(p *rate.Policy) { out = (*p).HandBack(now) })
	return e.sendRates(h, out)
}
