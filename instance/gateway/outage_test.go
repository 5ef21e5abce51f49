package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// rejecting is a registry that rejects the reads of one gateway while away is set.
type rejecting struct {
	*fakeRegistry
	away atomic.Bool
}

func (r *rejecting) WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) (registry.Upstreams, error) {
	if r.away.Load() {
		return registry.Upstreams{}, errRegistryDown
	}
	list, err := r.fakeRegistry.WatchUpstreams(ctx, after, wait)
	if r.away.Load() {
		return registry.Upstreams{}, errRegistryDown
	}
	return list, err
}

func (r *rejecting) WatchConfig(ctx context.Context, after uint64, wait time.Duration) (registry.ConfigUpdate, error) {
	if r.away.Load() {
		return registry.ConfigUpdate{}, errRegistryDown
	}
	return r.fakeRegistry.WatchConfig(ctx, after, wait)
}

// withRejected starts three gateways, the second one with its own view of the registry.
func withRejected(t *testing.T, test func(t *testing.T, f *fleet, view *rejecting, g2 *Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.changes = testBounds
		view := &rejecting{fakeRegistry: f.registry}
		g1 := f.start(t, "g1")
		defer g1.Close()
		g3 := f.start(t, "g3", "g1")
		defer g3.Close()
		f.view = view
		g2 := f.start(t, "g2", "g1")
		defer g2.Close()
		time.Sleep(3 * SweepEvery)
		synctest.Wait()
		test(t, f, view, g2)
	})
}

// checkNotCalled sends requests through g and fails if an upstream gets one of them.
func checkNotCalled(t *testing.T, f *fleet, g *Gateway, id upstream.ID) {
	t.Helper()
	f.runners.forgetCalls()
	for range 20 {
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
	}
	for _, call := range f.runners.allCalls() {
		if call == "call@"+string(id) {
			t.Fatalf("%s got a request after it had left", id)
		}
	}
}

// TestPeerReportsUpstreamThatLeft guards against a gateway that the registry rejects and that
// takes an upstream's removal, reported by a peer, for a lapse: it kept the upstream until two
// seconds after its own next read.
func TestPeerReportsUpstreamThatLeft(t *testing.T) {
	withRejected(t, func(t *testing.T, f *fleet, view *rejecting, g2 *Gateway) {
		view.away.Store(true)
		f.registry.change(func() {})
		time.Sleep(3 * time.Second)
		f.registry.change(func() { delete(f.registry.list, "s1") })
		time.Sleep(testBounds.Upstreams)
		synctest.Wait()
		checkNotCalled(t, f, g2, "s1")
	})
}

// TestUpstreamLeavesAtReturn guards against the same with a removal that the gateway reads
// itself when the registry serves it again.
func TestUpstreamLeavesAtReturn(t *testing.T) {
	withRejected(t, func(t *testing.T, f *fleet, view *rejecting, g2 *Gateway) {
		view.away.Store(true)
		f.registry.change(func() {})
		for range 6 {
			time.Sleep(SweepEvery)
			f.registry.change(func() { f.registry.list["s2"] = record("s2", "desk", upstream.RoleService) })
		}
		view.away.Store(false)
		f.registry.change(func() { delete(f.registry.list, "s1") })
		time.Sleep(testBounds.Upstreams)
		synctest.Wait()
		checkNotCalled(t, f, g2, "s1")
	})
}

// TestLapseSeenThroughPeer checks that upstreams whose registrations lapsed in an outage of
// the whole registry are kept by a gateway that hears of it from a peer which was back first.
func TestLapseSeenThroughPeer(t *testing.T) {
	withRejected(t, func(t *testing.T, f *fleet, view *rejecting, g2 *Gateway) {
		view.away.Store(true)
		f.registry.change(func() { f.registry.down = true })
		time.Sleep(3 * time.Second)
		f.registry.change(func() {
			f.registry.down = false
			f.registry.list = map[upstream.ID]registry.Record{}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		checkRefusal(t, g2.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
	})
}
