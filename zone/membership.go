package zone

import (
	"slices"
	"strings"
	"time"
)

// Kind says what program a member runs.
type Kind uint8

// The kinds of members.
const (
	KindEntry Kind = iota + 1
	KindSidecar
)

// Health is how a member looks from here.
type Health uint8

// The states of health.
const (
	// Alive members were heard lately.
	Alive Health = iota + 1
	// Suspect members were silent for SuspectAfter.
	Suspect
	// Leaving members take no new work.
	Leaving
	// Gone members were silent for GoneAfter, or are gone from the list.
	Gone
)

// String gives the word used by operators.
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

// Ages at which silence changes a member's health.
const (
	// SuspectAfter is three missed heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// GoneAfter is when a silent member is given up.
	GoneAfter = 6 * time.Second
	// ForgetAfter is when a gone member is no longer listed.
	ForgetAfter = time.Minute
	// QuietAfter is when an availability zone counts as quiet.
	QuietAfter = 3 * time.Second
)

// Member is one instance as seen from here. Incarnation tells its runs apart; a
// higher one is later.
type Member struct {
	Name        string
	Incarnation int64
	Place       Place
	Kind        Kind
	Addr        string
	Health      Health
	// Silence is how long nothing was heard from it, directly or through
	// others.
	Silence time.Duration
}

// Listing is one line of the platform's list of instances.
type Listing struct {
	Name    string
	Place   Place
	Kind    Kind
	Addr    string
	Leaving bool
}

// News says how long ago an availability zone was heard from.
type News struct {
	Zone AvailabilityZone
	Age  time.Duration
}

// record is what is known of one member.
type record struct {
	member  Member
	heard   time.Time
	listed  bool
	leaving bool
}

// Membership is what one instance knows of others. It is a plain object: it
// lives in the shared table of rank members.
type Membership struct {
	self    Member
	records map[string]*record
	// zones holds when each availability zone was last heard from.
	zones     map[AvailabilityZone]time.Time
	storeRead time.Time
}

// NewMembership returns what an instance knows at its start: itself and the
// availability zones that the settings name.
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

// Heard records a message from a member; age is how old the news is, 0 when it
// came directly. News of an earlier incarnation is ignored.
func (m *Membership) Heard(now time.Time, from Member, age time.Duration) {
	if from.Name == m.self.Name {
		return
	}
	r := m.record(from.Name, from.Place)
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
	r.heard = later(r.heard, at)
	m.heardZone(from.Place.Zone, at)
}

// Says records that a member says it is leaving.
func (m *Membership) Says(name string, leaving bool) {
	if r, ok := m.records[name]; ok {
		r.leaving = leaving
	}
}

// Listed takes the platform's list, which lags. It was read from the platform,
// but not from the store, so it is no reason for trust.
func (m *Membership) Listed(now time.Time, list []Listing) {
	for _, r := range m.records {
		r.listed = false
	}
	for _, l := range list {
		if l.Name == m.self.Name {
			continue
		}
		r := m.record(l.Name, l.Place)
		r.listed = true
		r.leaving = r.leaving || l.Leaving
		r.member.Kind = l.Kind
		r.member.Addr = l.Addr
		r.member.Place = l.Place
	}
	m.forget(now)
}

// HeardZones takes what a peer heard of availability zones.
func (m *Membership) HeardZones(now time.Time, news []News) {
	for _, n := range news {
		m.heardZone(n.Zone, now.Add(-n.Age))
	}
}

// ReadStore records that the platform's store answered a read.
func (m *Membership) ReadStore(now time.Time) {
	m.storeRead = later(m.storeRead, now)
}

// Members gives all that are known, sorted by name, this instance not included.
func (m *Membership) Members(now time.Time) []Member {
	members := make([]Member, 0, len(m.records))
	for _, r := range m.records {
		members = append(members, r.seen(now))
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Addr gives where a member is reached; empty if that is not known.
func (m *Membership) Addr(name string) string {
	if r, ok := m.records[name]; ok {
		return r.member.Addr
	}
	return ""
}

// ZonesHeard gives the age of the news of each availability zone; zones never
// heard from are left out. The own zone is always heard.
func (m *Membership) ZonesHeard(now time.Time) []News {
	news := make([]News, 0, len(m.zones))
	for z, at := range m.zones {
		if z == m.self.Place.Zone {
			at = now
		}
		if !at.IsZero() {
			news = append(news, News{Zone: z, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(news, func(a, b News) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return news
}

// QuietZones gives the availability zones that nobody heard from for
// QuietAfter, sorted.
func (m *Membership) QuietZones(now time.Time) []AvailabilityZone {
	var quiet []AvailabilityZone
	for z, at := range m.zones {
		if z != m.self.Place.Zone && now.Sub(at) > QuietAfter {
			quiet = append(quiet, z)
		}
	}
	slices.Sort(quiet)
	return quiet
}

// record finds or makes the record of a member.
func (m *Membership) record(name string, place Place) *record {
	r, ok := m.records[name]
	if !ok {
		r = &record{member: Member{Name: name, Place: place}}
		m.records[name] = r
	}
	if _, ok := m.zones[place.Zone]; !ok && place.Zone != "" {
		m.zones[place.Zone] = time.Time{}
	}
	return r
}

func (m *Membership) heardZone(z AvailabilityZone, at time.Time) {
	if z != "" {
		m.zones[z] = later(m.zones[z], at)
	}
}

// forget drops members that are gone for long and not listed.
func (m *Membership) forget(now time.Time) {
	for name, r := range m.records {
		if !r.listed && now.Sub(r.heard) > ForgetAfter {
			delete(m.records, name)
		}
	}
}

// seen gives the member with its health. A listed member that was never heard
// is suspect: the list lags, in both directions.
func (r *record) seen(now time.Time) Member {
	member := r.member
	member.Silence = now.Sub(r.heard)
	switch {
	case r.heard.IsZero() && r.listed:
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

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
