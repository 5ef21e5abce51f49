package zone

import (
	"hash/fnv"
	"slices"
)

// MaxEvacuated bounds the zones of Evacuations, whose names are chosen outside of the
// process. A fleet has far fewer zones.
const MaxEvacuated = 1024

// Evacuations is the set of availability zones whose upstreams get no work, as an operator
// asked for. Its methods return changed copies, so that it can be passed on without a lock.
// Knowledge only moves to higher versions.
type Evacuations struct {
	// Version is the version of the registry up to which the set is known; 0 means that
	// nothing is known yet.
	Version uint64
	// Zones is sorted and has no duplicates.
	Zones []AvailabilityZone
}

// EvacuationUpdate is what a read of the registry shows of the evacuated zones.
type EvacuationUpdate struct {
	// Version is the registry's version up to which the changes are included.
	Version uint64
	// Whole means that Evacuated is the full set: all other zones are revoked.
	Whole bool
	// Evacuated lists the zones whose evacuation was written, Revoked those whose
	// evacuation was deleted.
	Evacuated, Revoked []AvailabilityZone
}

// EvacuationStamp identifies a set of evacuated zones in a few bytes, so that peers send the
// names only to those who lack them.
type EvacuationStamp struct {
	Version uint64
	// Digest is equal for equal sets.
	Digest uint64
}

// Known reports whether the set has been read, by this process or a peer.
func (e Evacuations) Known() bool {
	return e.Version > 0
}

// Contains reports whether a zone is evacuated.
func (e Evacuations) Contains(z AvailabilityZone) bool {
	_, found := slices.BinarySearch(e.Zones, z)
	return found
}

// Apply returns the set after a read of the registry. A read that is older than the set is
// ignored. An update that is not whole may begin before the version of the set, since peers
// may have sent a newer one: it holds the last change of each zone.
func (e Evacuations) Apply(u EvacuationUpdate) Evacuations {
	if u.Version < e.Version {
		return e
	}
	zones := slices.Clone(u.Evacuated)
	if !u.Whole {
		for _, z := range e.Zones {
			if !slices.Contains(u.Revoked, z) {
				zones = append(zones, z)
			}
		}
	}
	return newEvacuations(u.Version, zones)
}

// Adopt returns a peer's set if it is newer, else the set unchanged.
func (e Evacuations) Adopt(peer Evacuations) Evacuations {
	if peer.Version <= e.Version {
		return e
	}
	return newEvacuations(peer.Version, slices.Clone(peer.Zones))
}

// Confirm returns the set with the version of a peer's stamp if that is a newer one of the
// same set, else the set unchanged.
func (e Evacuations) Confirm(peer EvacuationStamp) Evacuations {
	if peer.Version > e.Version && peer.Digest == e.Stamp().Digest {
		e.Version = peer.Version
	}
	return e
}

// newEvacuations sorts zones, which it takes over, and drops those above MaxEvacuated.
func newEvacuations(version uint64, zones []AvailabilityZone) Evacuations {
	slices.Sort(zones)
	zones = slices.Compact(zones)
	return Evacuations{Version: version, Zones: zones[:min(len(zones), MaxEvacuated)]}
}

// Stamp returns the stamp of the set.
func (e Evacuations) Stamp() EvacuationStamp {
	digest := fnv.New64a()
	for _, z := range e.Zones {
		// Hash.Write returns no error. The zero byte separates names.
		_, _ = digest.Write(append([]byte(z), 0))
	}
	return EvacuationStamp{Version: e.Version, Digest: digest.Sum64()}
}

// Lacks reports whether the holder of another stamp has a newer and different set.
func (s EvacuationStamp) Lacks(other EvacuationStamp) bool {
	return other.Version > s.Version && other.Digest != s.Digest
}

// Changes returns the zones that were added and removed between two sets.
func (e Evacuations) Changes(to Evacuations) (evacuated, revoked []AvailabilityZone) {
	for _, z := range to.Zones {
		if !e.Contains(z) {
			evacuated = append(evacuated, z)
		}
	}
	for _, z := range e.Zones {
		if !to.Contains(z) {
			revoked = append(revoked, z)
		}
	}
	return evacuated, revoked
}
