package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Times of hearing from peers.
const (
	// ExchangeTimeout bounds one exchange with a peer.
	ExchangeTimeout = 400 * time.Millisecond
	// ForgetAfter is when a peer that was not heard is taken to be gone.
	ForgetAfter = 15 * time.Second
	// MaxExchanges bounds the peers told in one round; with more of them they
	// take turns. Half of some tens of gateways are told in each, so that all
	// are heard within quota.HeardWithin.
	MaxExchanges = 13
	// MaxNamed bounds the other gateways named in a message: with all of them a
	// fleet's messages would grow with the square of its size.
	MaxNamed = 3
)

// member is one peer.
type member struct {
	relay.Peer
	// heard is when it last told or answered something, zero if never.
	lastHeard time.Time
	// named is when it was first heard of.
	firstNamed time.Time
	// told is when it was last told something.
	lastSent   time.Time
	lost       bool
	exchanging bool
}

// members is what the process knows of its peers and of its own view of the
// registry.
type members struct {
	self  relay.Peer
	seeds []string
	peers map[instance.Name]*member
	// entered says that the registry was asked for the other gateways.
	enterTried bool
	// listed is the registry's version up to which the list of upstreams is
	// known.
	listVersion uint64
	// feedDown says which of the registry's feeds failed last; none was read at
	// the start.
	feedDown [feedCount]bool
}

func newMembers(o Options) *members {
	return &members{
		self:     relay.Peer{Name: o.Self.Name, Incarnation: o.Self.Incarnation, Addr: o.Addr},
		seeds:    slices.DeleteFunc(slices.Clone(o.Seeds), func(addr string) bool { return addr == o.Addr }),
		peers:    make(map[instance.Name]*member),
		feedDown: [feedCount]bool{feedConfig: true, feedUpstreams: true},
	}
}

func (m *members) anyFeedDown() bool {
	return slices.Contains(m.feedDown[:], true)
}

// learn takes in peers that others named.
func (m *members) addPeers(now time.Time, peers []relay.Peer) {
	for _, p := range peers {
		if p.Name == m.self.Name || p.Addr == "" {
			continue
		}
		known, ok := m.peers[p.Name]
		switch {
		case !ok:
			m.peers[p.Name] = &member{Peer: p, firstNamed: now, lastSent: now.Add(-ForgetAfter)}
		case p.Incarnation > known.Incarnation:
			known.Peer = p
		}
	}
}

// heard notes that a peer spoke; lost says that it was taken to be away.
func (m *members) recordContact(now time.Time, p relay.Peer) (wasLost bool) {
	m.addPeers(now, []relay.Peer{p})
	known, ok := m.peers[p.Name]
	if !ok {
		return false
	}
	wasLost = known.lost
	known.lastHeard, known.lost = now, false
	return wasLost
}

// processes counts the gateways that were heard lately, this one among them. One
// that was named and not heard yet counts too: after a restart of all of them
// nobody has heard anybody.
func (g *Gateway) countGateways(h *table.Held, now time.Time) (n int) {
	n = 1
	g.members.With(h, func(m **members) {
		for _, p := range (*m).peers {
			if now.Sub(p.lastContact()) < ForgetAfter {
				n++
			}
		}
	})
	return n
}

// lastSign is when a peer was heard, or named if it was not heard yet.
func (p *member) lastContact() time.Time {
	if p.lastHeard.IsZero() {
		return p.firstNamed
	}
	return p.lastHeard
}

// known lists the peers that were heard lately.
func (m *members) livePeers(now time.Time) []relay.Peer {
	var out []relay.Peer
	for _, p := range m.peers {
		if now.Sub(p.lastHeard) < ForgetAfter {
			out = append(out, p.Peer)
		}
	}
	return out
}

// due gives the peers to tell now, the ones told longest ago first. Of each pair
// the one with the lower name starts, unless it was not heard lately.
func (m *members) duePeers(now time.Time) []*member {
	var out []*member
	for _, p := range m.peers {
		overdue := now.Sub(p.lastHeard) > quota.HeardWithin/2
		if !p.exchanging && (p.Name > m.self.Name || overdue) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Or(a.lastSent.Compare(b.lastSent), cmp.Compare(a.Name, b.Name)) })
	return out[:min(len(out), MaxExchanges)]
}

// enter adds this process to the registry's list and reads the others there.
func (g *Gateway) enterRegistry(*table.Held) []pool.Effect {
	self := registry.Entry{Name: string(g.options.Self.Name), Addr: g.options.Addr}
	return registryCall(2*ReadTimeout, func(ctx context.Context) pool.Step {
		err := g.registry.Enter(ctx, self)
		var entries []registry.Entry
		if err == nil {
			entries, err = g.registry.Entries(ctx)
		}
		return func(h *table.Held) []pool.Effect { return g.afterEnter(h, entries, err) }
	})
}

// enterAgainAfter is the pause after a failed entry; seeds serve meanwhile.
const enterRetryDelay = 3 * time.Second

func (g *Gateway) afterEnter(h *table.Held, entries []registry.Entry, err error) []pool.Effect {
	g.members.With(h, func(m **members) { (*m).enterTried = true })
	defer g.becomeReady(h)
	if err != nil {
		g.log.Warn(string(eventEnterFailed), "error", err)
		g.pool.After(enterRetryDelay, g.enterRegistry)
		return nil
	}
	now := g.clock.Now()
	peers := make([]relay.Peer, 0, len(entries))
	for _, e := range entries {
		peers = append(peers, relay.Peer{Name: instance.Name(e.Name), Addr: e.Addr})
	}
	g.members.With(h, func(m **members) { (*m).addPeers(now, peers) })
	g.log.Info(string(eventEntered), "entries", len(entries))
	// Until they are heard, they keep their parts of quotas and backlogs.
	return g.exchangeWithPeers(h)
}

// tellPeers starts the exchanges that are due.
func (g *Gateway) exchangeWithPeers(h *table.Held) []pool.Effect {
	now := g.clock.Now()
	var targets []relay.Peer
	var lost []relay.Peer
	var gone []instance.Name
	g.members.With(h, func(m **members) {
		for name, p := range (*m).peers {
			silent := now.Sub(p.lastHeard)
			if !p.lastHeard.IsZero() && silent > quota.HeardWithin && !p.lost {
				p.lost = true
				lost = append(lost, p.Peer)
			}
			if now.Sub(p.lastContact()) > ForgetAfter {
				delete((*m).peers, name)
				gone = append(gone, name)
			}
		}
		for _, p := range (*m).duePeers(now) {
			p.exchanging = true
			p.lastSent = now
			targets = append(targets, p.Peer)
		}
		if len((*m).peers) == 0 {
			for _, addr := range (*m).seeds {
				targets = append(targets, relay.Peer{Addr: addr})
			}
		}
	})
	for _, p := range lost {
		g.log.Warn(string(eventPeerLost), "peer", p.Name, "address", p.Addr)
	}
	if len(gone) > 0 {
		g.quotas.With(h, func(q **quota.Meter) {
			for _, name := range gone {
				(*q).Forget(name)
			}
		})
	}
	var effects []pool.Effect
	for _, p := range targets {
		effects = append(effects, g.exchangeWith(h, p))
	}
	return effects
}

// message is what this process tells another.
func (g *Gateway) buildMessage(h *table.Held, to instance.Name) relay.Message {
	now := g.clock.Now()
	var m relay.Message
	if snapshot := g.snapshot(h); snapshot != nil {
		m.Config = snapshot.Version
	}
	g.members.With(h, func(own **members) {
		m.From = (*own).self
		m.List = (*own).listVersion
		m.Away = (*own).anyFeedDown()
		m.Known = (*own).livePeers(now)
		// The order of a map is random, so in time all are named.
		m.Known = m.Known[:min(len(m.Known), MaxNamed)]
	})
	g.quotas.With(h, func(q **quota.Meter) { m.Usage = (*q).Own(now, to) })
	g.suspects.With(h, func(t **quarantine.Table) { m.Suspects = (*t).Notes(now) })
	g.board.With(h, func(b **roster.Board) {
		for id, left := range (*b).Turns(now) {
			m.Turns = append(m.Turns, relay.Turn{ID: id, For: left})
		}
	})
	return m
}

// exchange tells one peer; its name may be unknown.
func (g *Gateway) exchangeWith(h *table.Held, to relay.Peer) pool.Effect {
	m := g.buildMessage(h, to.Name)
	return pool.Effect{Lane: lanePeers, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
		defer cancel()
		reply, err := g.options.Peers.Exchange(ctx, to.Addr, m)
		return func(h *table.Held) []pool.Effect {
			g.members.With(h, func(own **members) {
				for _, p := range (*own).peers {
					if p.Addr == to.Addr {
						p.exchanging = false
					}
				}
			})
			if err != nil {
				g.log.Debug("exchange failed", "address", to.Addr, "error", err)
				return nil
			}
			g.applyMessage(h, reply.Message)
			if reply.Newer != nil {
				g.adoptConfig(h, reply.Newer, string(reply.From.Name))
			}
			if reply.Upstreams != nil {
				g.applyRelayedList(h, *reply.Upstreams, reply.From)
			}
			return nil
		}
	}}
}

// relayed takes in a peer's list of upstreams while the registry does not answer
// here; otherwise its own feed tells the same.
func (g *Gateway) applyRelayedList(h *table.Held, list registry.Upstreams, from relay.Peer) {
	if g.registryDown(h) {
		g.applyUpstreams(h, list, string(from.Name))
	}
}

// heard takes in what a peer told.
func (g *Gateway) applyMessage(h *table.Held, m relay.Message) {
	now := g.clock.Now()
	wasLost := false
	g.members.With(h, func(own **members) {
		wasLost = (*own).recordContact(now, m.From)
		(*own).addPeers(now, m.Known)
	})
	if wasLost {
		g.log.Info(string(eventPeerBack), "peer", m.From.Name)
	}
	g.quotas.With(h, func(q **quota.Meter) { (*q).Heard(now, m.From.Name, m.Usage) })
	g.markRoleChanges(h, m.Turns)
	if len(m.Suspects) > 0 {
		g.suspects.With(h, func(t **quarantine.Table) { (*t).Learn(now, m.Suspects) })
	}
}

// Exchange implements relay.Server.
func (g *Gateway) Exchange(ctx context.Context, m relay.Message) (relay.Reply, error) {
	return pool.Ask(ctx, g.pool, func(h *table.Held, answer func(relay.Reply)) []pool.Effect {
		g.applyMessage(h, m)
		reply := relay.Reply{Message: g.buildMessage(h, m.From.Name)}
		if snapshot := g.snapshot(h); snapshot != nil && snapshot.Version > m.Config {
			reply.Newer = snapshot
		}
		if m.Away && reply.List > m.List {
			var list registry.Upstreams
			g.board.With(h, func(b **roster.Board) { list = (*b).List(reply.List) })
			reply.Upstreams = &list
		}
		answer(reply)
		if m.Config > reply.Config || m.List > reply.List && g.registryDown(h) {
			return []pool.Effect{g.exchangeWith(h, m.From)}
		}
		return nil
	})
}

// turnedAway reports whether the registry does not answer here.
func (g *Gateway) registryDown(h *table.Held) (down bool) {
	g.members.With(h, func(m **members) { down = (*m).anyFeedDown() })
	return down
}

var _ relay.Server = (*Gateway)(nil)
