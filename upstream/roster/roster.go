// Package roster tracks the upstreams that register themselves and admit their own
// work, and ranks them for each request of a gateway. A Board holds their registry
// records, their health, and the work that this process has running at each. Admission
// is left to the upstream.
//
// A Board has no lock of its own: it is kept in a shared table of rank RankBoard, which
// serializes access.
package roster

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/health"
	"github.com/trefoilwalk/trefoilwalk/upstream/load"
	"github.com/trefoilwalk/trefoilwalk/upstream/notice"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// How long an observation about an upstream stays in effect.
const (
	// FullFor is how long an upstream that rejected a request for lack of capacity is
	// ranked behind the others: about the time in which one running request ends.
	FullFor = 60 * time.Millisecond
	// DownFor is how long an upstream that accepts no connection, or does not honor its
	// reservations, gets no work.
	DownFor = 500 * time.Millisecond
	// EvictionPenaltyFor is how long an engine that evicted a KV cache before its
	// transfer gets prompts only if no other engine can take them.
	EvictionPenaltyFor = 2 * time.Second
	// MisdirectedFor is how long an upstream gets no work after another one answered
	// at its address, which means that it has moved or is gone. A new registration
	// ends this early.
	MisdirectedFor = 10 * time.Second
	// LapseGrace is how long after a registry outage upstreams are kept whose
	// registration lapsed during it; live ones have registered again by then.
	LapseGrace = 2 * time.Second
	// LapseDetectionWindow is how long after a registry outage a removed
	// registration counts as lapsed during it. An upstream removed later has left.
	LapseDetectionWindow = 300 * time.Millisecond
	// SteadyPeerFor is how long after a list from a peer that reads the registry an outage
	// counts as one of this process alone: two rounds of exchanges with peers.
	SteadyPeerFor = time.Second
)

// ejectAfter is the number of consecutive failures that eject an upstream. Plain
// services fail some calls by design, so a lower number would eject healthy ones.
const ejectAfter = 5

// Upstream is a registered upstream as this process sees it.
type Upstream struct {
	registry.Record
	// lapsedAt is when the registration was found to be missing; zero while it is
	// registered.
	lapsedAt time.Time
	health   *health.Member
	// calls and tokens are the work that this process has running there, bytes the size of
	// the requests' bodies.
	calls  int
	tokens contract.Tokens
	bytes  int64
	// fullUntil ends the lower ranking after a rejection, and evictionPenaltyUntil that
	// after an early eviction of a KV cache. downUntil ends the exclusion after a
	// refused connection, a misdirected call or maxBrokenReservations broken
	// reservations.
	fullUntil, downUntil, evictionPenaltyUntil time.Time
	// roleChangeUntil is when a change of its role is expected to end.
	roleChangeUntil time.Time
	// orderedRole is the role that it was ordered to take, if the order may still take
	// effect, which it does before orderedUntil.
	orderedRole  upstream.Role
	orderedUntil time.Time
	// brokenReservations counts the consecutive reservations that it did not honor.
	brokenReservations int
	// load is the load that it reported.
	load load.View
	pace upstreamPace
	// group holds it at the index position.
	group    *group
	position int
}

// groupKey identifies the upstreams that do the same work and whose health is compared.
type groupKey struct {
	service directory.ServiceName
	role    upstream.Role
}

// Board holds all upstreams known to this process. Methods that take a Choice ignore it
// if the upstream is gone or has restarted since the choice was made.
type Board struct {
	place     zone.Place
	upstreams map[upstream.ID]*Upstream
	groups    map[groupKey]*group
	notices   *notice.Book
	// evacuations and regions decide which zones are excluded, see Exclusion.
	evacuations zone.Evacuations
	regions     map[zone.AvailabilityZone]zone.Region
	addresses   addressBook
	pace        paceRules
	// registryDown is set while the registry cannot be read; registryBackAt is when its
	// last outage ended.
	registryDown   bool
	registryBackAt time.Time
	// steadyPeerAt is when a peer without an outage last sent a newer list.
	steadyPeerAt time.Time
	// backlogShare is the share of PrefillBacklog that this process uses, from
	// minBacklogShare to 1.
	backlogShare float64
	// randomState is the state of the generator behind random.
	randomState uint64
}

func NewBoard(place zone.Place) *Board {
	return &Board{
		place:        place,
		upstreams:    make(map[upstream.ID]*Upstream),
		groups:       make(map[groupKey]*group),
		notices:      notice.NewBook(),
		addresses:    addressBook{owners: make(map[string]upstream.ID)},
		pace:         newPaceRules(),
		backlogShare: 1,
	}
}

// Change is one change of an upstream on the board, for the log. Kind is the kind of
// change: joined, restarted, draining (draining has started or ended), role_changed,
// back (registered again after its registration lapsed), cold, warm, lapsed or gone.
type Change struct {
	ID   upstream.ID
	Kind string
	Addr string
	Role upstream.Role
}

// MarkRegistryDown records that the registry cannot be read from now on. Upstreams whose
// registration ends from now on are kept until Expire.
func (b *Board) MarkRegistryDown() {
	b.registryDown = true
}

// MarkRegistryUp records that the registry can be read again. It does nothing without an
// earlier MarkRegistryDown.
func (b *Board) MarkRegistryUp(now time.Time) {
	if b.registryDown {
		b.registryDown = false
		b.registryBackAt = now
	}
}

// RecordRestore records that the registry came back from an older copy, which may lack upstreams
// that registered since: like after an outage, those that are missing may register again.
func (b *Board) RecordRestore(now time.Time) {
	b.registryBackAt = now
}

// RecordSteadyPeer records that a peer, which knows of no outage of the registry, is about to
// provide a newer list. Upstreams that are missing in it have left; those that left later are
// missing in the next list of this process.
func (b *Board) RecordSteadyPeer(now time.Time) {
	b.steadyPeerAt = now
}

// Settled reports whether the registry can be read, and since so long that registrations
// which lapsed in its last outage are back.
func (b *Board) Settled(now time.Time) bool {
	return !b.registryDown && !now.Before(b.registryBackAt.Add(LapseGrace))
}

// mayHaveLapsed reports whether a registration that is missing now may have ended only
// because upstreams could not reach the registry.
func (b *Board) mayHaveLapsed(now time.Time) bool {
	if now.Before(b.steadyPeerAt.Add(SteadyPeerFor)) {
		return false
	}
	return b.registryDown || now.Before(b.registryBackAt.Add(LapseDetectionWindow))
}

// Apply applies an update of the registry's list. If the update is whole, upstreams that
// it does not contain count as gone.
func (b *Board) Apply(now time.Time, change registry.Upstreams) []Change {
	var changes []Change
	first := len(b.upstreams) == 0
	present := make(map[upstream.ID]bool, len(change.Present))
	for _, record := range change.Present {
		present[record.ID] = true
		if record.Draining {
			b.notices.RecordLeaving(now, incarnation(record))
		}
		old, ok := b.upstreams[record.ID]
		back := ok && !old.lapsedAt.IsZero()
		changes = b.upsert(record, changes)
		if u, ok := b.upstreams[record.ID]; ok {
			changes = b.applyWarmup(now, u, first, back, changes)
		}
	}
	for _, id := range change.Gone {
		changes = b.handleMissing(now, id, changes)
	}
	if change.Whole {
		for id := range b.upstreams {
			if !present[id] {
				changes = b.handleMissing(now, id, changes)
			}
		}
	}
	return changes
}

// upsert adds or updates one upstream. A new incarnation, role or service resets its
// health; the running work is kept unless the upstream restarted.
func (b *Board) upsert(record registry.Record, changes []Change) []Change {
	u, ok := b.upstreams[record.ID]
	if !ok && len(b.upstreams) >= MaxUpstreams {
		return changes
	}
	b.claimAddress(u, record)
	changeKind := ""
	switch {
	case !ok:
		changeKind = "joined"
	case u.Born != record.Born:
		changeKind = "restarted"
	case u.Draining != record.Draining:
		changeKind = "draining"
	case u.Role != record.Role:
		changeKind = "role_changed"
	case !u.lapsedAt.IsZero():
		changeKind = "back"
	}
	if ok && u.Born == record.Born && u.Role == record.Role && u.Service == record.Service {
		u.Record = record
		u.lapsedAt = time.Time{}
	} else {
		replacement := &Upstream{Record: record}
		if ok {
			u.leaveGroup()
			if u.Born == record.Born {
				replacement.calls, replacement.tokens, replacement.bytes = u.calls, u.tokens, u.bytes
				replacement.pace = u.pace
				replacement.roleChangeUntil = u.roleChangeUntil
				replacement.orderedRole, replacement.orderedUntil = u.orderedRole, u.orderedUntil
			}
		}
		b.ensureGroup(record).add(replacement)
		b.upstreams[record.ID] = replacement
	}
	if changeKind == "" {
		return changes
	}
	return append(changes, Change{record.ID, changeKind, record.Addr, record.Role})
}

// handleMissing removes an upstream or, if its registration may have lapsed only because
// of a registry outage, marks it as lapsed.
func (b *Board) handleMissing(now time.Time, id upstream.ID, changes []Change) []Change {
	u, ok := b.upstreams[id]
	if !ok {
		return changes
	}
	if !b.isLeaving(u) && b.mayHaveLapsed(now) {
		if u.lapsedAt.IsZero() {
			u.lapsedAt = now
			changes = append(changes, Change{id, "lapsed", u.Addr, u.Role})
		}
		return changes
	}
	return b.remove(u, changes)
}

func (b *Board) remove(u *Upstream, changes []Change) []Change {
	u.leaveGroup()
	delete(b.upstreams, u.ID)
	b.releaseAddress(u.Record)
	return append(changes, Change{u.ID, "gone", u.Addr, u.Role})
}

// Expire removes old notices, and the lapsed upstreams that have not registered again within
// LapseGrace of the end of the registry outage.
func (b *Board) Expire(now time.Time) []Change {
	b.notices.Expire(now, func(of notice.Incarnation) bool {
		u, ok := b.upstreams[of.ID]
		return ok && u.Born == of.Born
	})
	b.removeEmptyGroups()
	changes := b.reportWarm(now, nil)
	if b.registryDown || now.Before(b.registryBackAt.Add(LapseGrace)) {
		return changes
	}
	for _, u := range b.upstreams {
		if !u.lapsedAt.IsZero() {
			changes = b.remove(u, changes)
		}
	}
	return changes
}

// Len returns the number of upstreams, lapsed ones included.
func (b *Board) Len() int {
	return len(b.upstreams)
}

// List returns the records of all upstreams that have not lapsed, as a whole list of the
// given registry version.
func (b *Board) List(version uint64) registry.Upstreams {
	list := registry.Upstreams{Version: version, Whole: true}
	for _, u := range b.upstreams {
		if u.lapsedAt.IsZero() {
			list.Present = append(list.Present, u.Record)
		}
	}
	return list
}

// Engines returns the engines of a service that are neither draining, lapsed nor in an
// evacuated zone. An engine
// that was ordered to change its role counts in its new one.
func (b *Board) Engines(now time.Time, service directory.ServiceName) []split.Engine {
	var out []split.Engine
	for _, u := range b.upstreams {
		if u.Service != service || u.Role == upstream.RoleService || b.isLeaving(u) || !u.lapsedAt.IsZero() || b.Exclusion(u.Zone, Need{}) != "" {
			continue
		}
		e := split.Engine{ID: u.ID, Addr: u.Addr, Zone: u.Zone, Role: u.Role, Missing: b.missing(now, u)}
		if now.Before(u.orderedUntil) && u.orderedRole != u.Role {
			e.Role, e.Changing = u.orderedRole, true
		}
		out = append(out, e)
	}
	return out
}
