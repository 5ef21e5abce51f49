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
	heard time.Time
	// named is when it was first heard of.
	named time.Time
	// told is when it was last told something.
	told time.Time
	lost bool
	busy bool
}

// members is what the process knows of its peers and of its own view of the
// registry.
type members struct {
	self  relay.Peer
	seeds []string
	peers map[instance.Name]*member
	// entered says that the registry was asked for the other gateways.
	entered bool
	// listed is the registry's version up to which the list of upstreams is
	// known.
	listed uint64
	// feedDown says which of the registry's feeds failed last; none was read at
	// the start.
	feedDown [feeds]bool
}

func newMembers(o Options) *members {
	return &members{
		self:     relay.Peer{Name: o.Self.Name, Incarnation: o.Self.Incarnation, Addr: o.Addr},
		seeds:    slices.DeleteFunc(slices.Clone(o.Seeds), func(addr string) bool { return addr == o.Addr }),
		peers:    make(map[instance.Name]*member),
		feedDown: [feeds]bool{feedConfig: true, feedUpstreams: true},
	}
}

func (m *members) away() bool {
	return slices.Contains(m.feedDown[:], true)
}

// learn takes in peers that others named.
func (m *members) learn(now time.Time, peers []relay.Peer) {
	for _, p := range peers {
		if p.Name == m.self.Name || p.Addr == "" {
			continue
		}
		known, ok := m.peers[p.Name]
		switch {
		case !ok:
			m.peers[p.Name] = &member{Peer: p, named: now, told: now.Add(-ForgetAfter)}
		case p.Incarnation > known.Incarnation:
			known.Peer = p
		}
	}
}

// heard notes that a peer spoke; lost says that it was taken to be away.
func (m *members) heard(now time.Time, p relay.Peer) (lost bool) {
	m.learn(now, []relay.Peer{p})
	known, ok := m.peers[p.Name]
	if !ok {
		return false
	}
	lost = known.lost
	known.heard, known.lost = now, false
	return lost
}

// processes counts the gateways that were heard lately, this one among them. One
// that was named and not heard yet counts too: after a restart of all of them
// nobody has heard anybody.
func (g *Gateway) processes(h *table.Held, now time.Time) (n int) {
	n = 1
	g.members.With(h, func(m **members) {
		for _, p := range (*m).peers {
			if now.Sub(p.lastSign()) < ForgetAfter {
				n++
			}
		}
	})
	return n
}

// lastSign is when a peer was heard, or named if it was not heard yet.
func (p *member) lastSign() time.Time {
	if p.heard.IsZero() {
		return p.named
	}
	return p.heard
}

// known lists the peers that were heard lately.
func (m *members) known(now time.Time) []relay.Peer {
	var out []relay.Peer
	for _, p := range m.peers {
		if now.Sub(p.heard) < ForgetAfter {
			out = append(out, p.Peer)
		}
	}
	return out
}

// due gives the peers to tell now, the ones told longest ago first. Of each pair
// the one with the lower name starts, unless it was not heard lately.
func (m *members) due(now time.Time) []*member {
	var out []*member
	for _, p := range m.peers {
		quiet := now.Sub(p.heard) > quota.HeardWithin/2
		if !p.busy && (p.Name > m.self.Name || quiet) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Or(a.told.Compare(b.told), cmp.Compare(a.Name, b.Name)) })
	return out[:min(len(out), MaxExchanges)]
}

// enter adds this process to the registry's list and reads the others there.
func (g *Gateway) enter(*table.Held) []pool.Effect {
	self := registry.Entry{Name: string(g.options.Self.Name), Addr: g.options.Addr}
	return registryCall(2*ReadTimeout, func(ctx context.Context) pool.Step {
		err := g.registry.Enter(ctx, self)
		var entries []registry.Entry
		if err == nil {
			entries, err = g.registry.Entries(ctx)
		}
		return func(h *table.Held) []pool.Effect { return g.entered(h, entries, err) }
	})
}

// enterAgainAfter is the pause after a failed entry; seeds serve meanwhile.
const enterAgainAfter = 3 * time.Second

func (g *Gateway) entered(h *table.Held, entries []registry.Entry, err error) []pool.Effect {
	g.members.With(h, func(m **members) { (*m).entered = true })
	defer g.becomeReady(h)
	if err != nil {
		g.log.Warn(string(eventEnterFailed), "error", err)
		g.pool.After(enterAgainAfter, g.enter)
		return nil
	}
	now := g.clock.Now()
	peers := make([]relay.Peer, 0, len(entries))
	for _, e := range entries {
		peers = append(peers, relay.Peer{Name: instance.Name(e.Name), Addr: e.Addr})
	}
	g.members.With(h, func(m **members) { (*m).learn(now, peers) })
	g.log.Info(string(eventEntered), "entries", len(entries))
	// Until they are heard, they keep their parts of quotas and backlogs.
	return g.tellPeers(h)
}

// tellPeers starts the exchanges that are due.
func (g *Gateway) tellPeers(h *table.Held) []pool.Effect {
	now := g.clock.Now()
	var tell []relay.Peer
	var lost []relay.Peer
	var gone []instance.Name
	g.members.With(h, func(m **members) {
		for name, p := range (*m).peers {
			silent := now.Sub(p.heard)
			if !p.heard.IsZero() && silent > quota.HeardWithin && !p.lost {
				p.lost = true
				lost = append(lost, p.Peer)
			}
			if now.Sub(p.lastSign()) > ForgetAfter {
				delete((*m).peers, name)
				gone = append(gone, name)
			}
		}
		for _, p := range (*m).due(now) {
			p.busy = true
			p.told = now
			tell = append(tell, p.Peer)
		}
		if len((*m).peers) == 0 {
			for _, addr := range (*m).seeds {
				tell = append(tell, relay.Peer{Addr: addr})
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
	for _, p := range tell {
		effects = append(effects, g.exchange(h, p))
	}
	return effects
}

// message is what this process tells another.
func (g *Gateway) message(h *table.Held, to instance.Name) relay.Message {
	now := g.clock.Now()
	var m relay.Message
	if snapshot := g.snapshot(h); snapshot != nil {
		m.Config = snapshot.Version
	}
	g.members.With(h, func(own **members) {
		m.From = (*own).self
		m.List = (*own).listed
		m.Away = (*own).away()
		m.Known = (*own).known(now)
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
func (g *Gateway) exchange(h *table.Held, to relay.Peer) pool.Effect {
	m := g.message(h, to.Name)
	return pool.Effect{Lane: lanePeers, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
		defer cancel()
		reply, err := g.options.Peers.Exchange(ctx, to.Addr, m)
		return func(h *table.Held) []pool.Effect {
			g.members.With(h, func(own **members) {
				for _, p := range (*own).peers {
					if p.Addr == to.Addr {
						p.busy = false
					}
				}
			})
			if err != nil {
				g.log.Debug("exchange failed", "address", to.Addr, "error", err)
				return nil
			}
			g.heard(h, reply.Message)
			if reply.Newer != nil {
				g.adopt(h, reply.Newer, string(reply.From.Name))
			}
			if reply.Upstreams != nil {
				g.relayed(h, *reply.Upstreams, reply.From)
			}
			return nil
		}
	}}
}

// relayed takes in a peer's list of upstreams while the registry does not answer
// here; otherwise its own feed tells the same.
func (g *Gateway) relayed(h *table.Held, list registry.Upstreams, from relay.Peer) {
	if g.turnedAway(h) {
		g.list(h, list, string(from.Name))
	}
}

// heard takes in what a peer told.
func (g *Gateway) heard(h *table.Held, m relay.Message) {
	now := g.clock.Now()
	back := false
	g.members.With(h, func(own **members) {
		back = (*own).heard(now, m.From)
		(*own).learn(now, m.Known)
	})
	if back {
		g.log.Info(string(eventPeerBack), "peer", m.From.Name)
	}
	g.quotas.With(h, func(q **quota.Meter) { (*q).Heard(now, m.From.Name, m.Usage) })
	g.turning(h, m.Turns)
	if len(m.Suspects) > 0 {
		g.suspects.With(h, func(t **quarantine.Table) { (*t).Learn(now, m.Suspects) })
	}
}

// Exchange implements relay.Server.
func (g *Gateway) Exchange(ctx context.Context, m relay.Message) (relay.Reply, error) {
	return pool.Ask(ctx, g.pool, func(h *table.Held, answer func(relay.Reply)) []pool.Effect {
		g.heard(h, m)
		reply := relay.Reply{Message: g.message(h, m.From.Name)}
		if snapshot := g.snapshot(h); snapshot != nil && snapshot.Version > m.Config {
			reply.Newer = snapshot
		}
		if m.Away && reply.List > m.List {
			var list registry.Upstreams
			g.board.With(h, func(b **roster.Board) { list = (*b).List(reply.List) })
			reply.Upstreams = &list
		}
		answer(reply)
		if m.Config > reply.Config || m.List > reply.List && g.turnedAway(h) {
			return []pool.Effect{g.exchange(h, m.From)}
		}
		return nil
	})
}

// turnedAway reports whether the registry does not answer here.
func (g *Gateway) turnedAway(h *table.Held) (away bool) {
	g.members.With(h, func(m **members) { away = (*m).away() })
	return away
}

var _ relay.Server = (*Gateway)(nil)
