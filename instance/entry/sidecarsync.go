package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// SidecarSyncEvery is the interval between two exchanges with a sidecar that this entry
// owns.
const SidecarSyncEvery = 2 * time.Second

// syncSidecars exchanges headers with the sidecars that this entry owns, so that
// sidecars that no entry polls receive new revisions too.
func (e *Entry) syncSidecars(h *table.HeldLocks) (effects []pool.Effect) {
	e.pool.After(SidecarSyncEvery, e.syncSidecars)
	now := e.clock.Now()
	self := string(e.self.Name)
	var entries map[string]zone.AvailabilityZone
	e.members.With(h, func(m **members) { entries = (*m).entries(now) })
	entries[self] = e.self.Place.Zone
	owners := newSidecarOwners(entries)
	for _, u := range e.snapshot(h).Upstreams {
		if u.State != upstream.StateRetired && owners.owns(self, u) {
			effects = append(effects, e.syncSidecar(config.Peer{Kind: zone.KindSidecar, Addr: u.SidecarAddr}))
		}
	}
	return effects
}

// syncSidecar exchanges headers with a sidecar. RecordHeader processes the header of the
// reply and sends a newer configuration.
func (e *Entry) syncSidecar(to config.Peer) pool.Effect {
	return pool.Effect{Lane: laneSync, Perform: func(ctx context.Context) pool.Step {
		if _, err := e.sync(ctx, to, &peer.SyncRequest{}); err != nil {
			e.log.Debug("sync with sidecar failed", "sidecar", to.Addr, "error", err)
		}
		return nil
	}}
}

// pointsPerEntry is the number of points of each entry on a hash ring.
const pointsPerEntry = 16

// hashRing assigns each upstream to one entry by consistent hashing, so that few
// upstreams move when entries join or leave.
type hashRing struct {
	points []uint64
	entry  map[uint64]string
}

func (r *hashRing) add(entry string) {
	if r.entry == nil {
		r.entry = make(map[uint64]string)
	}
	for i := range pointsPerEntry {
		point := xxhash.Sum64String(entry + string(rune('a'+i)))
		r.points = append(r.points, point)
		r.entry[point] = entry
	}
}

// owner returns the name of the upstream's entry; empty if the ring is nil or has
// no entries.
func (r *hashRing) owner(id upstream.ID) string {
	if r == nil || len(r.points) == 0 {
		return ""
	}
	i, _ := slices.BinarySearch(r.points, xxhash.Sum64String(string(id)))
	return r.entry[r.points[i%len(r.points)]]
}

// sidecarOwners assigns each sidecar the entries that keep its configuration up
// to date: one of its own availability zone, because the zone may be partitioned
// from the others, and one of the whole fleet.
type sidecarOwners struct {
	all    hashRing
	byZone map[zone.AvailabilityZone]*hashRing
}

func newSidecarOwners(entries map[string]zone.AvailabilityZone) sidecarOwners {
	o := sidecarOwners{byZone: make(map[zone.AvailabilityZone]*hashRing)}
	for name, z := range entries {
		if o.byZone[z] == nil {
			o.byZone[z] = &hashRing{}
		}
		o.byZone[z].add(name)
		o.all.add(name)
	}
	slices.Sort(o.all.points)
	for _, r := range o.byZone {
		slices.Sort(r.points)
	}
	return o
}

func (o sidecarOwners) owns(entry string, u upstream.Upstream) bool {
	return o.all.owner(u.ID) == entry || o.byZone[u.Place.Zone].owner(u.ID) == entry
}
