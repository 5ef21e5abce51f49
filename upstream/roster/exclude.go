package roster

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Reasons why upstreams of a zone get no work, as they are written to the log and to
// refusals.
const (
	ReasonEvacuated    = "in an evacuated zone"
	ReasonOutsideHomes = "outside the home regions"
)

// SetEvacuated sets the evacuated zones. A set of an older version is ignored: steps that
// learned of different versions may hand them over in any order. The upstreams of a zone
// whose evacuation is revoked count as just started: they had no work, and may be cold
// before their registrations say so.
func (b *Board) SetEvacuated(now time.Time, e zone.Evacuations) {
	if e.Version < b.evacuations.Version {
		return
	}
	_, revoked := b.evacuations.Changes(e)
	b.evacuations = e
	for _, u := range b.upstreams {
		if slices.Contains(revoked, u.Zone) {
			u.extendCold(now, b.pace.cold[u.Service].For)
			b.startPace(now, u)
		}
	}
}

// SetRegions sets the regions of the availability zones. A zone that is not listed is in no
// region.
func (b *Board) SetRegions(regions map[zone.AvailabilityZone]zone.Region) {
	b.regions = regions
}

// Exclusion returns why the upstreams of a zone must not get what a request needs, empty if
// they may. It depends only on the zone and on Need.Homes.
func (b *Board) Exclusion(z zone.AvailabilityZone, need Need) string {
	if need.Homes != nil {
		region, known := b.regions[z]
		if !known || !slices.Contains(need.Homes, region) {
			return ReasonOutsideHomes
		}
	}
	if b.evacuations.Contains(z) {
		return ReasonEvacuated
	}
	return ""
}

// AllExcluded returns why none of the upstreams that run what a request needs may get it:
// ReasonEvacuated if at least one of them is excluded only by that. It is empty if one may, or
// if there are none. Upstreams that leave do not count.
func (b *Board) AllExcluded(need Need) (reason string) {
	for _, u := range b.members(need.Service, need.Role) {
		if b.isLeaving(u) {
			continue
		}
		switch b.Exclusion(u.Zone, need) {
		case "":
			return ""
		case ReasonEvacuated:
			reason = ReasonEvacuated
		case ReasonOutsideHomes:
			if reason == "" {
				reason = ReasonOutsideHomes
			}
		}
	}
	return reason
}

// Evacuated reports whether an upstream is in an evacuated zone. One that is not on the board
// is in none.
func (b *Board) Evacuated(id upstream.ID) bool {
	u, ok := b.upstreams[id]
	return ok && b.evacuations.Contains(u.Zone)
}

// EvacuatedCount counts the upstreams in evacuated zones.
func (b *Board) EvacuatedCount() (n int) {
	for id := range b.upstreams {
		if b.Evacuated(id) {
			n++
		}
	}
	return n
}
