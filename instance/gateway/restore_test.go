package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// TestLostLeaseRunsOutBeforeOrders guards against orders of two gateways after the registry lost the lease of one of them.
func TestLostLeaseRunsOutBeforeOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		delete(f.registry.list, "d1")
		delete(f.registry.list, "d2")
		f.runners.report.Role = upstream.RolePrefill
		f.registry.lease = registry.Lease{RestoredAt: time.Now()}
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(g.options.LeaseTerm + ReadTimeout - time.Millisecond)
		if n := len(f.runners.allOrders()); n != 0 {
			t.Errorf("%d orders while a lost lease may be valid", n)
		}
		time.Sleep(8 * time.Second)
		if len(f.runners.allOrders()) == 0 {
			t.Error("no orders after a lost lease has run out")
		}
	})
}

// TestUpstreamMissingAfterRestoreLapses guards against upstreams that are removed at once since an older copy of the registry lacks them.
func TestUpstreamMissingAfterRestoreLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		g := f.start(t, "g1")
		defer g.Close()
		// Longer than a removal counts as a lapse after the first reads.
		time.Sleep(5 * time.Second)
		h := table.NewHeldLocks()
		g.applyUpstreams(h, registry.Upstreams{Version: registry.VersionOf(1, 1), Whole: true}, "registry")
		upstreams := 0
		g.board.With(h, func(b **roster.Board) { upstreams = (*b).Len() })
		if upstreams != 6 {
			t.Errorf("%d upstreams after a list of a new era without them, want 6", upstreams)
		}
	})
}

// contradicting is a registry whose whole reads fail as if their history were gone.
type contradicting struct {
	*fakeRegistry
	reads int
}

func (c *contradicting) ReadConfig(ctx context.Context) (registry.ConfigUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	if c.reads > 1000 {
		return registry.ConfigUpdate{}, errRegistryDown
	}
	return registry.ConfigUpdate{}, registry.ErrHistoryGone
}

// TestContradictingRegistryIsReadWithPauses guards against a whole read that is repeated at once and without end.
func TestContradictingRegistryIsReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		view := &contradicting{fakeRegistry: f.registry}
		f.view = view
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		view.mu.Lock()
		defer view.mu.Unlock()
		if most := int(4*time.Second/ReadRetryDelay) + 1; view.reads > most {
			t.Errorf("%d reads in 4 s, want at most %d", view.reads, most)
		}
	})
}
