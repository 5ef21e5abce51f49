package zone

import (
	"errors"
	"fmt"
	"time"
)

// TrustRule decides when an instance may serve routes that need a key, that is, when its
// list of withdrawn keys counts as up to date.
type TrustRule uint8

// The rules, and the withdrawn keys that each may still accept.
const (
	// Majority requires a read of the configuration store within TrustFor, or messages
	// of that age from more than half of the availability zones, the own one included.
	// With two zones this means both. A store outage alone stops no instance. A zone
	// cut off from the store and the other zones serves for TrustFor, then stops.
	// Accepts a key withdrawn while all zones are cut off from the store but not from
	// each other.
	Majority TrustRule = iota
	// StoreOnly requires a store read within TrustFor. Accepts no key for longer than
	// TrustFor after its withdrawal, but a store outage stops the whole fleet.
	StoreOnly
	// Always requires nothing. Accepts withdrawn keys in a zone that is cut off for as
	// long as the partition lasts.
	Always
)

// DefaultTrustRule is used if the settings name no rule.
const DefaultTrustRule = Majority

// TrustFor is how long a store read or a message from a zone counts. Under Majority and
// StoreOnly, a zone that is cut off accepts a withdrawn key for at most this long.
const TrustFor = 4 * time.Second

// String returns the name used in the settings.
func (t TrustRule) String() string {
	switch t {
	case Majority:
		return "majority"
	case StoreOnly:
		return "store-only"
	case Always:
		return "always"
	default:
		return "invalid"
	}
}

// ErrUnknownTrustRule is returned for a name that is not one of the rules.
var ErrUnknownTrustRule = errors.New("zone: unknown trust rule")

// ParseTrustRule is the inverse of TrustRule.String. It fails with ErrUnknownTrustRule.
func ParseTrustRule(name string) (TrustRule, error) {
	for _, rule := range []TrustRule{Majority, StoreOnly, Always} {
		if rule.String() == name {
			return rule, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownTrustRule, name)
}

// KeysTrusted reports whether this instance may serve routes that need a key now, under the
// given rule.
func (m *Membership) KeysTrusted(now time.Time, rule TrustRule) bool {
	switch rule {
	case Always:
		return true
	case StoreOnly:
		return m.storeReadRecently(now)
	default:
		return m.storeReadRecently(now) || m.majorityReachable(now)
	}
}

func (m *Membership) storeReadRecently(now time.Time) bool {
	return !m.storeReadAt.IsZero() && now.Sub(m.storeReadAt) <= TrustFor
}

// majorityReachable reports whether more than half of the zones sent a message within
// TrustFor. The own zone always counts. In a fleet of one zone, a message from any other
// instance is required instead.
func (m *Membership) majorityReachable(now time.Time) bool {
	if len(m.zones) == 1 {
		return now.Sub(m.zones[m.self.Place.Zone]) <= TrustFor
	}
	reachable := 0
	for _, age := range m.ZoneAges(now) {
		if age.Age <= TrustFor {
			reachable++
		}
	}
	return 2*reachable > len(m.zones)
}
