// Package zone describes the regions and availability zones in which instances and
// upstreams run, and tracks which other instances and zones are reachable. An entry uses
// its Membership to find peers and to decide whether its configuration is recent enough
// to be trusted. The package imports no other package of this module.
package zone

// Region names a group of availability zones with low latency between them.
type Region string

// AvailabilityZone names one availability zone. Names are unique in a fleet.
type AvailabilityZone string

// Place is the location of an instance or upstream, taken from its settings.
type Place struct {
	Region Region
	Zone   AvailabilityZone
}

// SameZone reports whether both places are in one availability zone.
func (p Place) SameZone(other Place) bool {
	return p == other
}

// SameRegion reports whether both places are in one region.
func (p Place) SameRegion(other Place) bool {
	return p.Region == other.Region
}

// Distance is 0 for the same availability zone, 1 for another zone of the same region
// and 2 for another region.
func (p Place) Distance(other Place) int {
	switch {
	case p.SameZone(other):
		return 0
	case p.SameRegion(other):
		return 1
	default:
		return 2
	}
}
