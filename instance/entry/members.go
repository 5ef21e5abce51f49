package entry

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times and bounds of heartbeats.
const (
	// HeartbeatEvery is the time between two heartbeats, a third of the
	// silence after which a member is suspect.
	HeartbeatEvery = zone.SuspectAfter / 3
	// HeartbeatFanout bounds the entries that one heartbeat goes to; they take
	// turns. SmallFleet entries are covered within zone.SuspectAfter; a larger
	// fleet gets LargeFanout, so that a node's heartbeats stay within 10 KB/s.
	HeartbeatFanout = 6
	SmallFleet      = 18
	LargeFanout     = 2
	// UntrustedGrace is how long running requests go on after the configuration
	// is no longer trusted, so that a process that was paused can catch up.
	UntrustedGrace = time.Second
)

// members is what the entry knows of other instances.
type members struct {
	*zone.Membership
	// seeds are asked while no other entry is known.
	seeds []string
	// turn says which entries the next heartbeat goes to. It starts elsewhere
	// at each entry, so that not all tell the same few.
	turn int
	// listed are the entries in the platform's list, with their zones.
	listed map[string]zone.AvailabilityZone
	// untrustedSince is when trust in the configuration was lost.
	untrustedSince time.Time
}

func newMembers(o Options) *members {
	self := zone.Member{
		Name:        string(o.Self.Name),
		Incarnation: int64(o.Self.Incarnation),
		Place:       o.Self.Place,
		Kind:        zone.KindEntry,
		Addr:        o.Addr,
	}
	return &members{
		Membership: zone.NewMembership(self, o.Zones),
		seeds:      o.Seeds,
		turn:       int(xxhash.Sum64String(self.Name) >> 32),
	}
}

// list takes the platform's list.
func (m *members) list(now time.Time, listings []zone.Listing) {
	m.Listed(now, listings)
	m.listed = make(map[string]zone.AvailabilityZone)
	for _, l := range listings {
		if !l.Leaving {
			m.listed[l.Name] = l.Place.Zone
		}
	}
}

// entries gives the entries that are listed or alive, and their zones.
func (m *members) entries(now time.Time) map[string]zone.AvailabilityZone {
	entries := maps.Clone(m.listed)
	if entries == nil {
		entries = make(map[string]zone.AvailabilityZone)
	}
	for _, member := range m.Members(now) {
		if member.Kind == zone.KindEntry && member.Health == zone.Alive {
			entries[member.Name] = member.Place.Zone
		}
	}
	return entries
}

// nextEntries gives the addresses of the entries whose turn it is: at most few,
// or fewer in a large fleet; the seeds if no other entry is known.
func (m *members) nextEntries(now time.Time, few, fewer int) []string {
	var entries []string
	for _, member := range m.Members(now) {
		if member.Kind == zone.KindEntry && member.Addr != "" {
			entries = append(entries, member.Addr)
		}
	}
	if len(entries) == 0 {
		entries = m.seeds
	}
	count := few
	if len(entries) > SmallFleet {
		count = fewer
	}
	if len(entries) <= count {
		return entries
	}
	var next []string
	for range count {
		next = append(next, entries[m.turn%len(entries)])
		m.turn++
	}
	return next
}

// heartbeat tells other entries that this one is alive, and what it has heard.
func (e *Entry) heartbeat(h *table.Held) []pool.Effect {
	e.pool.After(HeartbeatEvery, e.heartbeat)
	e.rateMembers(h)
	e.avoidQuietZones(h)
	return e.sendHeartbeats(h, HeartbeatFanout, LargeFanout)
}

// avoidQuietZones tells the board which availability zones nobody hears from.
func (e *Entry) avoidQuietZones(h *table.Held) {
	now := e.clock.Now()
	var quiet []zone.AvailabilityZone
	e.members.With(h, func(m **members) { quiet = (*m).QuietZones(now) })
	e.board.With(h, func(b **placement.Board) { (*b).SetQuiet(now, quiet) })
}

func (e *Entry) sendHeartbeats(h *table.Held, few, fewer int) (effects []pool.Effect) {
	now := e.clock.Now()
	var next []string
	e.members.With(h, func(m **members) { next = (*m).nextEntries(now, few, fewer) })
	for _, addr := range next {
		effects = append(effects, e.heartbeatTo(addr))
	}
	return effects
}

// heartbeatTo sends one heartbeat; what the reply says is taken by Heard.
func (e *Entry) heartbeatTo(addr string) pool.Effect {
	return pool.Effect{Lane: laneSpread, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, AskTimeout)
		defer cancel()
		q := &peer.HeartbeatRequest{Kind: kindEntry, Addr: e.addr, Leaving: e.leaving()}
		q.ZonesHeard = e.zonesHeard(table.NewHeld())
		if _, err := e.peers.Entry(addr).Heartbeat(ctx, q); err != nil {
			e.log.Debug("heartbeat failed", "entry", addr, "error", err)
		}
		return nil
	}}
}

// Kinds of instances in messages and in the platform's list.
const (
	kindEntry   = "entry"
	kindSidecar = "sidecar"
)

func kindOf(word string) zone.Kind {
	if word == kindSidecar {
		return zone.KindSidecar
	}
	return zone.KindEntry
}

// listings gives the listed entries. Sidecars are known by their upstreams, and
// there may be thousands of them.
func listings(listed []platform.Listed) []zone.Listing {
	var all []zone.Listing
	for _, l := range listed {
		if kindOf(l.Kind) == zone.KindEntry {
			all = append(all, zone.Listing{Name: l.Name, Place: l.Place, Kind: zone.KindEntry, Addr: l.Addr, Leaving: l.Leaving})
		}
	}
	return all
}

// memberHeard notes a message of another instance and what it tells of others;
// age is how old it may be. Of a sidecar only its availability zone is of
// interest here.
func (e *Entry) memberHeard(h *table.Held, from config.Peer, head *peer.Header, age time.Duration) {
	e.heardNotes(h, head)
	now := e.clock.Now()
	member := zone.Member{
		Name:        string(head.From.Name),
		Incarnation: int64(head.From.Incarnation),
		Place:       head.From.Place,
		Kind:        from.Kind,
		Addr:        from.Addr,
	}
	news := make([]zone.News, 0, len(head.ZonesHeard)+1)
	for _, n := range head.ZonesHeard {
		news = append(news, zone.News{Zone: zone.AvailabilityZone(n.Zone), Age: n.Age + age})
	}
	if from.Kind == zone.KindSidecar {
		news = append(news, zone.News{Zone: member.Place.Zone, Age: age})
	}
	e.members.With(h, func(m **members) {
		if from.Kind == zone.KindEntry && member.Name != "" {
			(*m).Heard(now, member, age)
		}
		(*m).HeardZones(now, news)
	})
}

// zonesHeard gives the news of availability zones for a header.
func (e *Entry) zonesHeard(h *table.Held) (news []peer.ZoneNews) {
	now := e.clock.Now()
	e.members.With(h, func(m **members) {
		for _, n := range (*m).ZonesHeard(now) {
			news = append(news, peer.ZoneNews{Zone: string(n.Zone), Age: n.Age})
		}
	})
	return news
}

// trusted reports whether the configuration's keys may be relied on: news is
// fresh, and no higher revision has been known for long without being fetched.
func (e *Entry) trusted(h *table.Held) (ok bool) {
	if e.trust == zone.Always {
		return true
	}
	now := e.clock.Now()
	behind := false
	e.config.With(h, func(s **config.Spread) { behind = (*s).BehindFor(now) > zone.TrustFor })
	e.members.With(h, func(m **members) { ok = !behind && (*m).Trusted(now, e.trust) })
	return ok
}

// authenticate finds the client account of a key, if keys may be relied on.
func (e *Entry) authenticate(h *table.Held, snapshot *config.Snapshot, key string) (contract.Key, *contract.Refusal) {
	if !e.trusted(h) {
		return contract.Key{}, contract.RefuseRepeat(contract.CodeNoConfig, RetryWhenBusy, "the entry has no configuration that it may trust")
	}
	return snapshot.Authenticate(key)
}

// checkTrust ends running keyed requests when trust was lost for longer than the
// grace: one of their keys may have been withdrawn elsewhere.
func (e *Entry) checkTrust(h *table.Held) []pool.Effect {
	now := e.clock.Now()
	trusted := e.trusted(h)
	lapsed := false
	e.members.With(h, func(m **members) {
		switch {
		case trusted:
			(*m).untrustedSince = time.Time{}
		case (*m).untrustedSince.IsZero():
			(*m).untrustedSince = now
		default:
			lapsed = now.Sub((*m).untrustedSince) > UntrustedGrace
		}
	})
	if !lapsed {
		return nil
	}
	return e.cutKeyed(h, func(*request) *contract.Refusal {
		return contract.Refuse(contract.CodeNoConfig, "the entry has lost touch and may not rely on the key any more")
	})
}
