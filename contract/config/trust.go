package config

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// TrustRule says when a node may serve keyed routes from the configuration that
// it has, since a key in it may have been withdrawn meanwhile.
type TrustRule string

const (
	// TrustStore asks for a read of the store within the limit. Nothing that
	// was withdrawn longer ago works, but a store outage stops everyone.
	TrustStore TrustRule = "store"
	// TrustZones asks for a read of the store, or for news of more than half
	// of the availability zones, within the limit. A store outage stops
	// nobody; a zone without store and neighbours stops. It lets a key through
	// that was withdrawn at an entry which has since lost all other zones
	// together with this node. It is the default.
	TrustZones TrustRule = "zones"
	// TrustAny serves whatever the node has. A cut-off zone goes on, also for
	// keys that were withdrawn after the cut.
	TrustAny TrustRule = "any"
)

// DefaultTrustRule and DefaultTrustWithin are used when the settings say
// nothing.
const (
	DefaultTrustRule   = TrustZones
	DefaultTrustWithin = 5 * time.Second
)

// Valid reports whether the rule is one of those above.
func (r TrustRule) Valid() bool {
	return r == TrustStore || r == TrustZones || r == TrustAny
}

// Trust is how a node decides whether it may serve keyed routes.
type Trust struct {
	Rule   TrustRule
	Within time.Duration
	// Own is the node's availability zone, which counts as heard from.
	Own zone.AvailabilityZone
	// All are the fleet's availability zones.
	All []zone.AvailabilityZone
}

// evidence is what a node knows of how fresh its configuration is.
type evidence struct {
	storeRead time.Time
	zones     map[zone.AvailabilityZone]time.Time
}

// HearZone notes that an availability zone was heard from at a time, directly
// or through others.
func (s *Spread) HearZone(name zone.AvailabilityZone, at time.Time) {
	if s.evidence.zones == nil {
		s.evidence.zones = make(map[zone.AvailabilityZone]time.Time)
	}
	if at.After(s.evidence.zones[name]) {
		s.evidence.zones[name] = at
	}
}

// Zones gives when each availability zone was last heard from.
func (s *Spread) Zones() map[zone.AvailabilityZone]time.Time {
	zones := make(map[zone.AvailabilityZone]time.Time, len(s.evidence.zones))
	for name, at := range s.evidence.zones {
		zones[name] = at
	}
	return zones
}

// StoreRead gives when the store was last read.
func (s *Spread) StoreRead() time.Time {
	return s.evidence.storeRead
}

// Trusted reports whether keyed routes may be served; reason is empty when they
// may.
func (s *Spread) Trusted(now time.Time, t Trust) (ok bool, reason string) {
	if s.current.Revision == 0 {
		return false, "no configuration was found yet"
	}
	if t.Rule == TrustAny {
		return true, ""
	}
	oldest := now.Add(-t.Within)
	if !s.behindSince.IsZero() && s.behindSince.Before(oldest) {
		return false, "a higher revision is known and could not be fetched"
	}
	if s.evidence.storeRead.After(oldest) {
		return true, ""
	}
	if t.Rule == TrustZones && 2*s.heardSince(oldest, t) > len(t.All) {
		return true, ""
	}
	return false, "neither the store nor enough availability zones were heard from"
}

func (s *Spread) heardSince(oldest time.Time, t Trust) int {
	heard := 0
	for _, name := range t.All {
		if name == t.Own || s.evidence.zones[name].After(oldest) {
			heard++
		}
	}
	return heard
}
