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
	entries := []string{string(e.self.Name)}
	e.members.With(h, func(m **members) {
		for _, member := range (*m).Members(now) {
			if member.Kind == zone.KindEntry && member.Health == zone.Alive {
				entries = append(entries, member.Name)
			}
		}
	})
	keepers := newRing(entries)
	for id, u := range e.snapshot(h).Upstreams {
		if u.State != upstream.StateRetired && keepers.of(id) == string(e.self.Name) {
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

// ringPoints is how many places each entry has on the ring.
const ringPoints = 16

// ring gives each upstream one entry, and moves few of them when entries come
// and go.
type ring struct {
	points []uint64
	entry  map[uint64]string
}

func newRing(entries []string) ring {
	r := ring{entry: make(map[uint64]string)}
	for _, name := range entries {
		for i := range ringPoints {
			point := xxhash.Sum64String(name + string(rune('a'+i)))
			r.points = append(r.points, point)
			r.entry[point] = name
		}
	}
	slices.Sort(r.points)
	return r
}

// of gives the entry that keeps an upstream's sidecar up to date.
func (r ring) of(id upstream.ID) string {
	i, _ := slices.BinarySearch(r.points, xxhash.Sum64String(string(id)))
	return r.entry[r.points[i%len(r.points)]]
}
