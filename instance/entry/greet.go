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

// GreetEvery is the time between two exchanges with a sidecar that this entry
// keeps up to date.
const GreetEvery = 2 * time.Second

// greetSidecars exchanges headers with the sidecars that are this entry's to
// keep up to date, so that those which nobody watches hear of new revisions too.
func (e *Entry) greetSidecars(h *table.Held) (effects []pool.Effect) {
	e.pool.After(GreetEvery, e.greetSidecars)
	now := e.clock.Now()
	self := string(e.self.Name)
	var entries map[string]zone.AvailabilityZone
	e.members.With(h, func(m **members) { entries = (*m).entries(now) })
	entries[self] = e.self.Place.Zone
	keepers := newKeepers(entries)
	for _, u := range e.snapshot(h).Upstreams {
		if u.State != upstream.StateRetired && keepers.keeps(self, u) {
			effects = append(effects, e.greet(config.Peer{Kind: zone.KindSidecar, Addr: u.SidecarAddr}))
		}
	}
	return effects
}

// greet exchanges headers with a sidecar; Heard does the rest.
func (e *Entry) greet(to config.Peer) pool.Effect {
	return pool.Effect{Lane: laneSpread, Perform: func(ctx context.Context) pool.Step {
		if _, err := e.sync(ctx, to, &peer.SyncRequest{}); err != nil {
			e.log.Debug("sidecar not greeted", "sidecar", to.Addr, "error", err)
		}
		return nil
	}}
}

// ringPoints is how many places each entry has on a ring.
const ringPoints = 16

// ring gives each upstream one entry, and moves few upstreams when entries come
// and go.
type ring struct {
	points []uint64
	entry  map[uint64]string
}

func (r *ring) add(entry string) {
	if r.entry == nil {
		r.entry = make(map[uint64]string)
	}
	for i := range ringPoints {
		point := xxhash.Sum64String(entry + string(rune('a'+i)))
		r.points = append(r.points, point)
		r.entry[point] = entry
	}
}

// of gives the upstream's entry; empty if the ring has none.
func (r *ring) of(id upstream.ID) string {
	if r == nil || len(r.points) == 0 {
		return ""
	}
	i, _ := slices.BinarySearch(r.points, xxhash.Sum64String(string(id)))
	return r.entry[r.points[i%len(r.points)]]
}

// keepers gives each sidecar the entries that keep it up to date: one of its own
// availability zone, since the zone may be cut off, and one of all.
type keepers struct {
	all    ring
	byZone map[zone.AvailabilityZone]*ring
}

func newKeepers(entries map[string]zone.AvailabilityZone) keepers {
	k := keepers{byZone: make(map[zone.AvailabilityZone]*ring)}
	for name, z := range entries {
		if k.byZone[z] == nil {
			k.byZone[z] = &ring{}
		}
		k.byZone[z].add(name)
		k.all.add(name)
	}
	slices.Sort(k.all.points)
	for _, r := range k.byZone {
		slices.Sort(r.points)
	}
	return k
}

func (k keepers) keeps(entry string, u upstream.Upstream) bool {
	return k.all.of(u.ID) == entry || k.byZone[u.Place.Zone].of(u.ID) == entry
}
