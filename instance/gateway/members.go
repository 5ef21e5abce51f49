package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/catchup"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
)

// Times and limits of the exchanges with peers, the other gateways of the fleet.
const (
	// ExchangeTimeout bounds one exchange with a peer.
	ExchangeTimeout = 400 * time.Millisecond
	// PeerExpiry is the time without a message after which a peer is removed.
	PeerExpiry = 15 * time.Second
	// MaxExchanges bounds the exchanges started in one round; those longest ago
	// go first. With some tens of gateways a round reaches half of them, so that
	// every pair exchanges messages within quota.SilentAfter.
	MaxExchanges = 13
	// MaxListedPeers bounds the other gateways listed in a message. If each message
	// listed all of them, the size of a fleet's messages would grow with the
	// square of its size.
	MaxListedPeers = 3
	// MaxPeers bounds the known peers; ten times the design size. Those beyond it are
	// learned again when others have expired.
	MaxPeers = quota.MaxPeers
)

// member is one peer.
type member struct {
	relay.Peer
	// lastHeard is when its last message or reply arrived, zero if none did.
	lastHeard time.Time
	// firstNamed is when another process or the registry first listed it.
	firstNamed time.Time
	// lastSent is when the last exchange with it was started here.
	lastSent time.Time
	// lost is set after quota.SilentAfter without a message, exchanging while an
	// exchange is in flight.
	lost       bool
	exchanging bool
	// away is set if it could not read the registry at its last message, which stated the
	// versions in stated.
	away   bool
	stated catchup.State
	// fetchedAt is when the last fetch from it ended.
	fetchedAt time.Time
}

// members holds the known peers and the state of the process's registry feeds.
type members struct {
	self  relay.Peer
	seeds []string
	peers map[instance.Name]*member
	// enterTried is set after the first attempt to enter the registry and list the
	// other gateways, also if it failed.
	enterTried bool
	// enteredAt is when the registry's list of gateways was read, zero before.
	enteredAt time.Time
	// listVersion is the registry version up to which the list of upstreams is
	// known.
	listVersion uint64
	// feedDown is set for feeds whose last read failed, and for all of them until
	// the first read.
	feedDown [feedCount]bool
	// configRead is the read of the configuration that is going on or whose answer is to be
	// applied; nil if there is none.
	configRead *progress.Call
	// fetch is the fetch from a peer that catchUp follows; nil if there is none.
	catchUp catchup.Ledger
	fetch   *progress.Call
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

// addPeers adds peers that others listed. A higher incarnation replaces the address.
func (m *members) addPeers(now time.Time, peers []relay.Peer) {
	for _, p := range peers {
		if p.Name == m.self.Name || p.Addr == "" {
			continue
		}
		known, ok := m.peers[p.Name]
		switch {
		case !ok && len(m.peers) >= MaxPeers:
		case !ok:
			m.peers[p.Name] = &member{Peer: p, firstNamed: now, lastSent: now.Add(-PeerExpiry)}
		case p.Incarnation > known.Incarnation:
			known.Peer = p
		}
	}
}

// recordContact records a message from a peer and reports whether the peer had been lost.
func (m *members) recordContact(now time.Time, from relay.Message) (wasLost bool) {
	m.addPeers(now, []relay.Peer{from.From})
	known, ok := m.peers[from.From.Name]
	if !ok {
		return false
	}
	wasLost = known.lost
	known.lastHeard, known.lost, known.away = now, false, from.Away
	known.stated = catchup.State{Config: from.Config, List: from.List}
	return wasLost
}

// steady reports whether this process reads the registry and most live peers do.
func (m *members) steady(now time.Time) bool {
	return !m.anyFeedDown() && !m.mostAway(now)
}

// mostAway reports whether more than half of the live peers cannot read the registry.
func (m *members) mostAway(now time.Time) bool {
	live, away := 0, 0
	for _, p := range m.peers {
		if now.Sub(p.lastHeard) >= PeerExpiry {
			continue
		}
		live++
		if p.away {
			away++
		}
	}
	return 2*away > live
}

// countGateways counts the live gateways, including this one. Peers that are listed
// but have sent no message yet count too: after a restart of the whole fleet no
// gateway has received a message.
func (g *Gateway) countGateways(h *table.HeldLocks, now time.Time) (n int) {
	n = 1
	g.members.With(h, func(m **members) {
		for _, p := range (*m).peers {
			if now.Sub(p.lastContact()) < PeerExpiry {
				n++
			}
		}
	})
	return n
}

// lastContact is the time of a peer's last message, or of its first listing if it has
// sent none.
func (p *member) lastContact() time.Time {
	if p.lastHeard.IsZero() {
		return p.firstNamed
	}
	return p.lastHeard
}

// livePeers returns the peers with a message within PeerExpiry, in random order.
func (m *members) livePeers(now time.Time) []relay.Peer {
	var out []relay.Peer
	for _, p := range m.peers {
		if now.Sub(p.lastHeard) < PeerExpiry {
			out = append(out, p.Peer)
		}
	}
	return out
}

// readingPeers returns the peers with a message within quota.SilentAfter that can read the
// registry.
func (m *members) readingPeers(now time.Time) map[instance.Name]bool {
	out := make(map[instance.Name]bool)
	for name, p := range m.peers {
		out[name] = !p.away && now.Sub(p.lastHeard) <= quota.SilentAfter
	}
	return out
}

// duePeers returns the peers to start an exchange with, at most MaxExchanges, the least
// recent exchange first. Of each pair the gateway with the lower name starts; the other
// one starts only if no message has arrived for half of quota.SilentAfter.
func (m *members) duePeers(now time.Time) []*member {
	var out []*member
	for _, p := range m.peers {
		overdue := now.Sub(p.lastHeard) > quota.SilentAfter/2
		if !p.exchanging && (p.Name > m.self.Name || overdue) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Or(a.lastSent.Compare(b.lastSent), cmp.Compare(a.Name, b.Name)) })
	return out[:min(len(out), MaxExchanges)]
}

// enterRegistry adds this process to the registry's list of gateways and reads the list,
// the stored demand and the stored bans.
func (g *Gateway) enterRegistry(*table.HeldLocks) []pool.Effect {
	self := registry.Entry{Name: string(g.options.Self.Name), Addr: g.options.Addr}
	return registryCall(3*ReadTimeout, func(ctx context.Context) pool.Step {
		err := g.registry.Register(ctx, self)
		var entries []registry.Entry
		if err == nil {
			entries, err = g.registry.Entries(ctx)
		}
		var tallies map[directory.ServiceName]demand.Tally
		if err == nil {
			tallies, err = g.registry.LoadDemand(ctx)
		}
		var bans []quarantine.BanNote
		if err == nil {
			bans, err = g.registry.LoadBans(ctx)
		}
		return func(h *table.HeldLocks) []pool.Effect {
			g.restoreDemand(h, tallies)
			g.applyPartNotes(h, quarantine.PartNotes{Bans: bans}, "registry")
			return g.afterEnter(h, entries, err)
		}
	})
}

// enterAgain adds this process to the registry's list of gateways once more.
func (g *Gateway) enterAgain(*table.HeldLocks) []pool.Effect {
	self := registry.Entry{Name: string(g.options.Self.Name), Addr: g.options.Addr}
	return registryCall(ReadTimeout, func(ctx context.Context) pool.Step {
		err := g.registry.Register(ctx, self)
		return func(*table.HeldLocks) []pool.Effect {
			if err != nil {
				g.log.Warn(string(eventEnterFailed), "error", err)
				g.pool.After(enterRetryDelay, g.enterAgain)
			}
			return nil
		}
	})
}

// enterRetryDelay is the pause after a failed entry. Until then peers are found through
// the seeds.
const enterRetryDelay = 3 * time.Second

func (g *Gateway) afterEnter(h *table.HeldLocks, entries []registry.Entry, err error) []pool.Effect {
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
	g.members.With(h, func(m **members) {
		(*m).addPeers(now, peers)
		(*m).enteredAt = now
	})
	g.updateFleets(h, now)
	g.log.Info(string(eventEntered), "entries", len(entries))
	// The listed gateways count for the shares of quotas and backlogs before their
	// first message.
	return g.exchangeWithPeers(h)
}

// exchangeWithPeers marks lost peers, removes those silent for PeerExpiry and starts
// the due exchanges, with the seeds if no peer is known.
func (g *Gateway) exchangeWithPeers(h *table.HeldLocks) []pool.Effect {
	now := g.clock.Now()
	var targets []relay.Peer
	var lost []relay.Peer
	var gone []instance.Name
	g.members.With(h, func(m **members) {
		for name, p := range (*m).peers {
			silent := now.Sub(p.lastHeard)
			if !p.lastHeard.IsZero() && silent > quota.SilentAfter && !p.lost {
				p.lost = true
				lost = append(lost, p.Peer)
			}
			if now.Sub(p.lastContact()) > PeerExpiry {
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
	g.forgetPeers(h, gone)
	var effects []pool.Effect
	for _, p := range targets {
		effects = append(effects, g.exchangeWith(h, p))
	}
	return effects
}

// forgetPeers removes what peers that have left the fleet stated.
func (g *Gateway) forgetPeers(h *table.HeldLocks, gone []instance.Name) {
	for _, name := range gone {
		g.demand.With(h, func(l **demand.Ledger) { (*l).Forget(name) })
		g.shortages.With(h, func(l **shortage.Ledger) { (*l).Forget(name) })
		g.traffic.With(h, func(l **traffic.Ledger) { (*l).Forget(name) })
		g.quotas.With(h, func(q **quota.Meter) { (*q).Forget(name) })
	}
}

// registryDown reports whether the last read of one of the registry's feeds failed.
func (g *Gateway) registryDown(h *table.HeldLocks) (down bool) {
	g.members.With(h, func(m **members) { down = (*m).anyFeedDown() })
	return down
}
