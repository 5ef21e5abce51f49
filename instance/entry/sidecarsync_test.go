package entry

import (
	"fmt"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// TestSidecarOwners checks that each sidecar has one or two owners, one of them
// in its own zone if that has an entry, and that the loss of an entry moves
// only the sidecars of that entry.
func TestSidecarOwners(t *testing.T) {
	entries := make(map[string]zone.AvailabilityZone)
	for i := range 37 {
		entries[fmt.Sprint("entry-", i)] = zone.AvailabilityZone(fmt.Sprint("zone-", i%9))
	}
	before := newSidecarOwners(entries)
	const lost = "entry-5"
	delete(entries, lost)
	after := newSidecarOwners(entries)
	entries[lost] = "zone-5"
	ownedBy := make(map[string]int)
	for i := range 480 {
		u := upstream.Upstream{ID: upstream.ID(fmt.Sprint("engine-", i)), Place: zone.Place{Zone: zone.AvailabilityZone(fmt.Sprint("zone-", i%10))}}
		owned, sameZone := 0, false
		for name, z := range entries {
			if !before.owns(name, u) {
				continue
			}
			owned++
			ownedBy[name]++
			sameZone = sameZone || z == u.Place.Zone
			if name != lost && !after.owns(name, u) {
				t.Errorf("%s moved from %s", u.ID, name)
			}
		}
		if owned < 1 || owned > 2 || sameZone != (u.Place.Zone != "zone-9") {
			t.Errorf("%s has %d owners, one in its zone: %v", u.ID, owned, sameZone)
		}
	}
	for name, n := range ownedBy {
		if n > 80 {
			t.Errorf("%s owns %d of 480 sidecars", name, n)
		}
	}
}
