package entry

import (
	"fmt"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// TestKeepers checks that each sidecar has a keeper in its own zone, if that has
// an entry, and one or two in all; and that the loss of an entry moves only its
// own sidecars.
func TestKeepers(t *testing.T) {
	entries := make(map[string]zone.AvailabilityZone)
	for i := range 37 {
		entries[fmt.Sprint("entry-", i)] = zone.AvailabilityZone(fmt.Sprint("zone-", i%9))
	}
	before := newKeepers(entries)
	const lost = "entry-5"
	delete(entries, lost)
	after := newKeepers(entries)
	entries[lost] = "zone-5"
	most := make(map[string]int)
	for i := range 480 {
		u := upstream.Upstream{ID: upstream.ID(fmt.Sprint("engine-", i)), Place: zone.Place{Zone: zone.AvailabilityZone(fmt.Sprint("zone-", i%10))}}
		kept, near := 0, false
		for name, z := range entries {
			if !before.keeps(name, u) {
				continue
			}
			kept++
			most[name]++
			near = near || z == u.Place.Zone
			if name != lost && !after.keeps(name, u) {
				t.Errorf("%s moved from %s", u.ID, name)
			}
		}
		if kept < 1 || kept > 2 || near != (u.Place.Zone != "zone-9") {
			t.Errorf("%s has %d keepers, near %v", u.ID, kept, near)
		}
	}
	for name, n := range most {
		if n > 80 {
			t.Errorf("%s keeps %d of 480 sidecars", name, n)
		}
	}
}
