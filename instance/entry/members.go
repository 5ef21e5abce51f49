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
	// HeartbeatEvery is the heartbeat interval, a third of the silence after
	// which a member is suspect.
	HeartbeatEvery = zone.SuspectAfter / 3
	// HeartbeatFanout is the number of entries that each heartbeat goes to, in
	// rotation. It covers SmallFleetSize entries within zone.SuspectAfter. A larger
	// fleet uses LargeFanout, so that a node's heartbeats stay within 10 KB/s.
	HeartbeatFanout = 6
	SmallFleetSize  = 18
	LargeFanout     = 2
	// UntrustedGrace is how long running requests continue after the
	// configuration is no longer trusted, so that a process that was paused can
	// catch up.
	UntrustedGrace = time.Second
)

// members is the entry's view of the other instances.
type members struct {
	*zone.Membership
	// seeds are the addresses contacted while no other entry is known.
	seeds []string
	// turn is the position in the rotation of heartbeat targets. Its start is
	// derived from the entry's name, so that entries do not all contact the same
	// ones at a time.
	turn int
	// listed holds the zones of the entries in the platform's list, by name.
	listed map[string]zone.AvailabilityZone
	// untrustedSince is when the configuration lost its trust; zero while it is
	// trusted.
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

// setListed replaces the entries from the platform's list. Entries that are
// leaving are not kept.
func (m *members) setListed(now time.Time, listings []zone.Listing) {
	m.ApplyListing(now, listings)
	m.listed = make(map[string]zone.AvailabilityZone)
	for _, l := range listings {
		if !l.Leaving {
			m.listed[l.Name] = l.Place.Zone
		}
	}
}

// entries returns the zones of the entries that are listed or alive, by name.
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

// nextEntries returns the addresses of the next entries in the rotation: at most
// fanout, or largeFanout in a fleet of more than SmallFleetSize entries. It uses the
// seeds if no other entry is known.
func (m *members) nextEntries(now time.Time, fanout, largeFanout int) []string {
	var entries []string
	for _, member := range m.Members(now) {
		if member.Kind == zone.KindEntry && member.Addr != "" {
			entries = append(entries, member.Addr)
		}
	}
	if len(entries) == 0 {
		entries = m.seeds
	}
	count := fanout
	if len(entries) > SmallFleetSize {
		count = largeFanout
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

// heartbeat sends a heartbeat to the next entries in the rotation. It also
// updates the members of the rate policy and the unreachable zones of the board.
func (e *Entry) heartbeat(h *table.HeldLocks) []pool.Effect {
	e.pool.After(HeartbeatEvery, e.heartbeat)
	e.updateRateMembers(h)
	e.updateUnreachableZones(h)
	return e.sendHeartbeats(h, HeartbeatFanout, LargeFanout)
}

// updateUnreachableZones sets on the board the availability zones from which no member
// has received a message lately.
func (e *Entry) updateUnreachableZones(h *table.HeldLocks) {
	now := e.clock.Now()
	var unreachable []zone.AvailabilityZone
	e.members.With(h, func(m **members) { unreachable = (*m).UnreachableZones(now) })
	e.board.With(h, func(b **placement.Board) { (*b).SetUnreachableZones(now, unreachable) })
}

func (e *Entry) sendHeartbeats(h *table.HeldLocks, fanout, largeFanout int) (effects []pool.Effect) {
	now := e.clock.Now()
	var next []string
	e.members.With(h, func(m **members) { next = (*m).nextEntries(now, fanout, largeFanout) })
	for _, addr := range next {
		effects = append(effects, e.heartbeatTo(addr))
	}
	return effects
}

// heartbeatTo returns the effect that sends one heartbeat. RecordHeader processes the
// header of the reply.
func (e *Entry) heartbeatTo(addr string) pool.Effect {
	return pool.Effect{Lane: laneSync, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		q := &peer.HeartbeatRequest{Kind: kindEntry, Addr: e.addr, Leaving: e.leaving()}
		q.ZonesHeard = e.zoneAges(table.NewHeldLocks())
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

// listings returns the entries of the platform's list. Sidecars are omitted:
// there may be thousands of them, and they are known from their upstreams.
func listings(listed []platform.ListedInstance) []zone.Listing {
	var all []zone.Listing
	for _, l := range listed {
		if kindOf(l.Kind) == zone.KindEntry {
			all = append(all, zone.Listing{Name: l.Name, Place: l.Place, Kind: zone.KindEntry, Addr: l.Addr, Leaving: l.Leaving})
		}
	}
	return all
}

// recordPeer updates the membership from the header of a message; age is the
// longest time since the peer sent it. Of a sidecar, only its availability zone
// is recorded.
func (e *Entry) recordPeer(h *table.HeldLocks, from config.Peer, head *peer.Header, age time.Duration) {
	e.learnQuarantine(h, head)
	now := e.clock.Now()
	member := zone.Member{
		Name:        string(head.From.Name),
		Incarnation: int64(head.From.Incarnation),
		Place:       head.From.Place,
		Kind:        from.Kind,
		Addr:        from.Addr,
	}
	ages := make([]zone.ZoneAge, 0, len(head.ZonesHeard)+1)
	for _, n := range head.ZonesHeard {
		ages = append(ages, zone.ZoneAge{Zone: zone.AvailabilityZone(n.Zone), Age: n.Age + age})
	}
	if from.Kind == zone.KindSidecar {
		ages = append(ages, zone.ZoneAge{Zone: member.Place.Zone, Age: age})
	}
	e.members.With(h, func(m **members) {
		if from.Kind == zone.KindEntry && member.Name != "" {
			(*m).RecordMessage(now, member, age)
		}
		(*m).MergeZoneAges(now, ages)
	})
}

// zoneAges returns the time since the last message from each availability zone, for
// a header.
func (e *Entry) zoneAges(h *table.HeldLocks) (ages []peer.ZoneNews) {
	now := e.clock.Now()
	e.members.With(h, func(m **members) {
		for _, n := range (*m).ZoneAges(now) {
			ages = append(ages, peer.ZoneNews{Zone: string(n.Zone), Age: n.Age})
		}
	})
	return ages
}

// configTrusted reports whether the keys of the configuration may be used: the trust
// rule is met, and no higher revision has been known for more than zone.TrustFor
// without being fetched.
func (e *Entry) configTrusted(h *table.HeldLocks) (ok bool) {
	if e.trust == zone.Always {
		return true
	}
	now := e.clock.Now()
	behind := false
	e.config.With(h, func(s **config.Replicator) { behind = (*s).BehindFor(now) > zone.TrustFor })
	e.members.With(h, func(m **members) { ok = !behind && (*m).KeysTrusted(now, e.trust) })
	return ok
}

// authenticate returns the key as the configuration lists it, or a refusal if the
// key is not valid or the configuration is not trusted.
func (e *Entry) authenticate(h *table.HeldLocks, snapshot *config.Snapshot, key string) (contract.Key, *contract.Refusal) {
	if !e.configTrusted(h) {
		return contract.Key{}, contract.RefuseRetryable(contract.CodeNoConfig, RetryWhenBusy, "the entry has no configuration that it may trust")
	}
	return snapshot.Authenticate(key)
}

// checkTrust ends running requests on routes with keys when the configuration was
// untrusted for longer than UntrustedGrace: one of their keys may have been
// withdrawn at another entry.
func (e *Entry) checkTrust(h *table.HeldLocks) []pool.Effect {
	now := e.clock.Now()
	trusted := e.configTrusted(h)
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
	return e.terminateKeyed(h, func(*request) *contract.Refusal {
		return contract.Refuse(contract.CodeNoConfig, "the entry could not confirm its configuration for too long, and the key may have been withdrawn")
	})
}
