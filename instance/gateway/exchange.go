package gateway

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
)

// buildMessage makes the message to a peer: versions, own quota usage, suspect
// requests, engines that change their role and some other peers.
func (g *Gateway) buildMessage(h *table.HeldLocks, to instance.Name) relay.Message {
	now := g.clock.Now()
	var m relay.Message
	if snapshot := g.snapshot(h); snapshot != nil {
		m.Config = snapshot.Version
	}
	m.Evacuations = g.evacuations(h).Stamp()
	g.members.With(h, func(own **members) {
		m.From = (*own).self
		m.List = (*own).listVersion
		m.Away = (*own).anyFeedDown()
		m.Steady = (*own).steady(now)
		m.Known = (*own).livePeers(now)
		// The order is random, so all live peers are listed over several messages.
		m.Known = m.Known[:min(len(m.Known), MaxListedPeers)]
	})
	g.quotas.With(h, func(q **quota.Meter) { m.Usage = (*q).StatementFor(now, to) })
	g.demand.With(h, func(l **demand.Ledger) { m.Demand = (*l).Own(now) })
	g.shortages.With(h, func(l **shortage.Ledger) { m.Shortage = (*l).Own(now) })
	g.traffic.With(h, func(l **traffic.Ledger) {
		own := (*l).Own(now, to)
		m.Traffic = &own
	})
	g.suspects.With(h, func(t **quarantine.Table) { m.Suspects = (*t).Notes(now) })
	g.promptParts.With(h, func(t **quarantine.PartTable) { m.PromptParts = (*t).Notes(now) })
	g.board.With(h, func(b **roster.Board) {
		m.RoleOrders = (*b).RoleOrders(now)
		m.Leaving = (*b).LeavingNotes(now)
		m.Steady = m.Steady && (*b).Settled(now)
	})
	return m
}

// exchangeWith makes an effect that sends a message to a peer and applies the reply.
// The name of a seed is unknown.
func (g *Gateway) exchangeWith(h *table.HeldLocks, to relay.Peer) pool.Effect {
	m := g.buildMessage(h, to.Name)
	return pool.Effect{Lane: lanePeers, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
		defer cancel()
		reply, err := g.options.Peers.Exchange(ctx, to.Addr, m)
		return func(h *table.HeldLocks) []pool.Effect {
			g.members.With(h, func(own **members) {
				for _, p := range (*own).peers {
					if p.Addr == to.Addr {
						p.exchanging = false
					}
				}
			})
			g.metrics.recordExchange(err)
			if err != nil {
				g.log.Debug("exchange failed", "address", to.Addr, "error", err)
				return nil
			}
			g.applyMessage(h, reply.Message)
			g.adoptEvacuations(h, reply.Evacuated, reply.From)
			return g.catchUp(h)
		}
	}}
}

// applyMessage applies a peer's message or reply to the tables.
func (g *Gateway) applyMessage(h *table.HeldLocks, m relay.Message) {
	now := g.clock.Now()
	wasLost := false
	g.members.With(h, func(own **members) {
		wasLost = (*own).recordContact(now, m)
		(*own).addPeers(now, m.Known)
	})
	if wasLost {
		g.log.Info(string(eventPeerBack), "peer", m.From.Name)
	}
	g.quotas.With(h, func(q **quota.Meter) { (*q).ApplyStatement(now, m.From.Name, m.Usage) })
	g.applyDemand(h, m)
	g.applyShortage(h, m)
	g.applyTraffic(h, now, m)
	g.recordRoleOrders(h, m.RoleOrders)
	if len(m.Suspects) > 0 {
		g.suspects.With(h, func(t **quarantine.Table) { (*t).MergeNotes(now, m.Suspects) })
	}
	g.applyLeaving(h, m)
	g.confirmEvacuations(h, m)
	g.applyPartNotes(h, m.PromptParts, string(m.From.Name))
}

// Exchange implements relay.Server.
func (g *Gateway) Exchange(ctx context.Context, m relay.Message) (relay.Reply, error) {
	return pool.Ask(ctx, g.pool, func(h *table.HeldLocks, answer func(relay.Reply)) []pool.Effect {
		g.applyMessage(h, m)
		reply := relay.Reply{Message: g.buildMessage(h, m.From.Name)}
		reply.Evacuated = g.evacuationsFor(h, m)
		answer(reply)
		effects := g.catchUp(h)
		if reply.Evacuations.Lacks(m.Evacuations) {
			effects = append(effects, g.exchangeWith(h, m.From))
		}
		return effects
	})
}

var _ relay.Server = (*Gateway)(nil)
