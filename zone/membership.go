package zone

import (
	"slices"
	"strings"
	"time"
)

// Kind is the program that a member runs. The zero value means unknown.
type Kind uint8

// The kinds of members.
const (
	KindEntry Kind = iota + 1
	KindSidecar
)

// Health is the state of a member as this instance sees it.
type Health uint8

// The health states.
const (
	// Alive members sent a message within SuspectAfter.
	Alive Health = iota + 1
	// Suspect members were silent for SuspectAfter, or are listed by the platform but
	// have never sent a message.
	Suspect
	// Leaving members take no new work.
	Leaving
	// Gone members were silent for GoneAfter, or never sent a message and are no longer
	// listed.
	Gone
)

// String returns the name that operators see.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// How long a silence changes the health of a member or a zone.
const (
	// SuspectAfter is the time of three missed heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// GoneAfter is when a silent member is presumed dead.
	GoneAfter = 6 * time.Second
	// ForgetAfter is when a silent member is removed, unless the platform lists it.
	ForgetAfter = time.Minute
	// UnreachableAfter is when a silent availability zone counts as unreachable.
	UnreachableAfter = 3 * time.Second
)

// Member is an instance as this one sees it. Incarnation identifies its run; a later run
// has a higher number.
type Member struct {
	Name        string
	Incarnation int64
	Place       Place
	Kind        Kind
	Addr        string
	Health      Health
	// Silence is the time since its last message, received directly or relayed.
	Silence time.Duration
}

// Listing is an entry of the platform's list of instances.
type Listing struct {
	Name    string
	Place   Place
	Kind    Kind
	Addr    string
	Leaving bool
}

// ZoneAge is the age of the last message from an availability zone.
type ZoneAge struct {
	Zone AvailabilityZone
	Age  time.Duration
}

// record is the state of one member.
type record struct {
	member        Member
	lastMessageAt time.Time
	listed        bool
	leaving       bool
}

// Membership is one instance's view of the others. It has no lock of its own: it is kept
// in a shared table of rank RankMembers, which serializes access.
type Membership struct {
	self    Member
	records map[string]*record
	// zones holds the time of the last message from each known availability zone; zero
	// if there was none.
	zones       map[AvailabilityZone]time.Time
	storeReadAt time.Time
}

// NewMembership returns a membership without other members. The availability zones of
// the settings are known, but count as silent.
func NewMembership(self Member, zones []AvailabilityZone) *Membership {
	m := &Membership{
		self:    self,
		records: make(map[string]*record),
		zones:   make(map[AvailabilityZone]time.Time),
	}
	m.zones[self.Place.Zone] = time.Time{}
	for _, z := range zones {
		m.zones[z] = time.Time{}
	}
	return m
}

// RecordMessage records a message from a member; age is the time since it was sent, 0
// if it was received directly. Messages of an earlier incarnation are ignored. A new
// incarnation is no longer leaving.
func (m *Membership) RecordMessage(now time.Time, from Member, age time.Duration) {
	if from.Name == m.self.Name {
		return
	}
	r := m.recordFor(from.Name, from.Place)
	if from.Incarnation < r.member.Incarnation {
		return
	}
	if from.Incarnation > r.member.Incarnation {
		r.leaving = false
	}
	at := now.Add(-age)
	r.member.Incarnation = from.Incarnation
	r.member.Place = from.Place
	if from.Kind != 0 {
		r.member.Kind = from.Kind
	}
	if from.Addr != "" {
		r.member.Addr = from.Addr
	}
	r.lastMessageAt = latest(r.lastMessageAt, at)
	m.updateZone(from.Place.Zone, at)
}

// SetLeaving records whether a member reports that it is leaving. Unknown members are
// ignored.
func (m *Membership) SetLeaving(name string, leaving bool) {
	if r, ok := m.records[name]; ok {
		r.leaving = leaving
	}
}

// ApplyListing applies the platform's list of instances, which lags. It does not come
// from the configuration store, so it does not count as a store read for KeysTrusted.
func (m *Membership) ApplyListing(now time.Time, list []Listing) {
	for _, r := range m.records {
		r.listed = false
	}
	for _, l := range list {
		if l.Name == m.self.Name {
			continue
		}
		r := m.recordFor(l.Name, l.Place)
		r.listed = true
		r.leaving = r.leaving || l.Leaving
		r.member.Kind = l.Kind
		r.member.Addr = l.Addr
		r.member.Place = l.Place
	}
	m.dropForgotten(now)
}

// MergeZoneAges applies the ages of zone messages that a peer reported.
func (m *Membership) MergeZoneAges(now time.Time, ages []ZoneAge) {
	for _, n := range ages {
		m.updateZone(n.Zone, now.Add(-n.Age))
	}
}

// RecordStoreRead records a successful read of the configuration store. An older time than
// the last one is ignored.
func (m *Membership) RecordStoreRead(now time.Time) {
	m.storeReadAt = latest(m.storeReadAt, now)
}

// Members returns all known members, sorted by name, without this instance.
func (m *Membership) Members(now time.Time) []Member {
	members := make([]Member, 0, len(m.records))
	for _, r := range m.records {
		members = append(members, r.withHealth(now))
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Addr returns the address of a member; empty if it is unknown.
func (m *Membership) Addr(name string) string {
	if r, ok := m.records[name]; ok {
		return r.member.Addr
	}
	return ""
}

// ZoneAges returns the age of the last message from each availability zone, sorted by
// zone, for the MergeZoneAges of a peer. Zones without a message are left out; the age
// of the own zone is 0.
func (m *Membership) ZoneAges(now time.Time) []ZoneAge {
	ages := make([]ZoneAge, 0, len(m.zones))
	for z, at := range m.zones {
		if z == m.self.Place.Zone {
			at = now
		}
		if !at.IsZero() {
			ages = append(ages, ZoneAge{Zone: z, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(ages, func(a, b ZoneAge) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return ages
}

// UnreachableZones returns the availability zones whose last message, direct or
// reported by a peer, is older than UnreachableAfter, sorted. The own zone is never
// among them.
func (m *Membership) UnreachableZones(now time.Time) []AvailabilityZone {
	var unreachable []AvailabilityZone
	for z, at := range m.zones {
		if z != m.self.Place.Zone && now.Sub(at) > UnreachableAfter {
			unreachable = append(unreachable, z)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// maxRecords bounds the members that are not in the platform's list; ten times the largest
// fleet.
const maxRecords = 20_000

// makeRoom removes a member that is not listed if there are maxRecords. It is learned again
// with its next message.
func (m *Membership) makeRoom() {
	if len(m.records) < maxRecords {
		return
	}
	for name, r := range m.records {
		if !r.listed {
			delete(m.records, name)
			return
		}
	}
}

// maxZones bounds the known availability zones. They are never removed, since the rule of the
// majority counts them; a fleet has a few.
const maxZones = 256

// recordFor returns the record of a member, and adds it and its zone if they are unknown.
func (m *Membership) recordFor(name string, place Place) *record {
	r, ok := m.records[name]
	if !ok {
		m.makeRoom()
		r = &record{member: Member{Name: name, Place: place}}
		m.records[name] = r
	}
	if _, ok := m.zones[place.Zone]; !ok && place.Zone != "" && len(m.zones) < maxZones {
		m.zones[place.Zone] = time.Time{}
	}
	return r
}

func (m *Membership) updateZone(z AvailabilityZone, at time.Time) {
	if _, ok := m.zones[z]; z != "" && (ok || len(m.zones) < maxZones) {
		m.zones[z] = latest(m.zones[z], at)
	}
}

// dropForgotten removes unlisted members that were silent for ForgetAfter.
func (m *Membership) dropForgotten(now time.Time) {
	for name, r := range m.records {
		if !r.listed && now.Sub(r.lastMessageAt) > ForgetAfter {
			delete(m.records, name)
		}
	}
}

// withHealth returns the member with its health. A listed member that never sent a message
// is suspect: because the list lags, it may not have started yet or be gone already.
func (r *record) withHealth(now time.Time) Member {
	member := r.member
	member.Silence = now.Sub(r.lastMessageAt)
	switch {
	case r.lastMessageAt.IsZero() && r.listed:
		member.Health = Suspect
	case member.Silence > GoneAfter:
		member.Health = Gone
	case r.leaving:
		member.Health = Leaving
	case member.Silence > SuspectAfter:
		member.Health = Suspect
	default:
		member.Health = Alive
	}
	return member
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
