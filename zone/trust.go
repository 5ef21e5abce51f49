package zone

import (
	"errors"
	"fmt"
	"time"
)

// TrustRule says when an instance may serve keyed routes, that is, when it may
// rely on having heard of withdrawn keys.
type TrustRule uint8

// The rules, and what each lets through.
const (
	// Majority trusts a store read within TrustFor, or news of that age from
	// more than half of the availability zones, the own one included. A store
	// outage stops nobody. A zone cut off from the store and from its
	// neighbours serves for TrustFor, then stops. With two zones both must be
	// heard. Lets through: a key withdrawn while all zones are cut off from
	// the writer but not from each other.
	Majority TrustRule = iota
	// StoreOnly trusts a store read within TrustFor. Lets nothing through
	// beyond TrustFor, and stops the whole fleet in a store outage.
	StoreOnly
	// Always trusts. Lets through: withdrawn keys at a zone that is cut off,
	// for as long as the cut lasts.
	Always
)

// DefaultTrustRule is used when the settings name none.
const DefaultTrustRule = Majority

// TrustFor is how long a store read or news of a zone counts. A withdrawn key
// works at most this long in a zone that is cut off.
const TrustFor = 4 * time.Second

// String gives the word used in the settings.
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

// ErrUnknownTrustRule means that the settings name a rule that does not exist.
var ErrUnknownTrustRule = errors.New("zone: unknown trust rule")

// ParseTrustRule is the inverse of TrustRule.String.
func ParseTrustRule(word string) (TrustRule, error) {
	for _, rule := range []TrustRule{Majority, StoreOnly, Always} {
		if rule.String() == word {
			return rule, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownTrustRule, word)
}

// Trusted reports whether keyed routes may be served now.
func (m *Membership) Trusted(now time.Time, rule TrustRule) bool {
	switch rule {
	case Always:
		return true
	case StoreOnly:
		return m.storeLately(now)
	default:
		return m.storeLately(now) || m.mostZonesHeard(now)
	}
}

func (m *Membership) storeLately(now time.Time) bool {
	return !m.storeRead.IsZero() && now.Sub(m.storeRead) <= TrustFor
}

// mostZonesHeard counts the own availability zone as heard if there are others.
// In a fleet of one zone, hearing any other instance is what counts.
func (m *Membership) mostZonesHeard(now time.Time) bool {
	if len(m.zones) == 1 {
		return now.Sub(m.zones[m.self.Place.Zone]) <= TrustFor
	}
	heard := 0
	for _, news := range m.ZonesHeard(now) {
		if news.Age <= TrustFor {
			heard++
		}
	}
	return 2*heard > len(m.zones)
}
