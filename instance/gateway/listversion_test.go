package gateway

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// TestListVersionChangesWithTheList guards against a version that is seen before its list is
// on the board: a peer that asks in between gets the old list as one of the new version, and
// never reads the change.
func TestListVersionChangesWithTheList(t *testing.T) {
	f := testFleet()
	g := f.start(t, "g1")
	defer g.Close()
	settled := time.Now().Add(10 * time.Second)
	for !g.Ready() && time.Now().Before(settled) {
		time.Sleep(time.Millisecond)
	}
	list := registry.Upstreams{Version: 1000, Whole: true, Present: []registry.Record{record("s2", "desk", upstream.RoleService)}}
	seen := make(chan uint64, 1)
	g.board.With(table.NewHeldLocks(), func(**roster.Board) {
		g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
			g.applyUpstreams(h, list, "registry")
			return nil
		})
		time.Sleep(50 * time.Millisecond)
		go g.members.With(table.NewHeldLocks(), func(m **members) { seen <- (*m).listVersion })
		select {
		case version := <-seen:
			if version == list.Version {
				t.Error("the version of the list was seen before its changes")
			}
			seen <- version
		case <-time.After(100 * time.Millisecond):
		}
	})
	<-seen
}
