package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// configVersion returns the version of the configuration in force, 0 if there is none.
func configVersion(g *Gateway) uint64 {
	if s := g.snapshot(table.NewHeldLocks()); s != nil {
		return s.Version
	}
	return 0
}

// TestNoConfiguration checks that requests are refused until a configuration is known.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.registry.down = true
		g := f.start(t, "g1")
		defer g.Close()
		synctest.Wait()
		if g.Ready() {
			t.Error("ready without a configuration")
		}
		checkRefusal(t, g.Forward(context.Background(), testMessage("/nowhere/"), &callerSink{}), contract.CodeNoConfig, contract.RanNo)
		f.registry.change(func() { f.registry.down = false })
		time.Sleep(2 * ReadRetryDelay)
		synctest.Wait()
		if !g.Ready() {
			t.Error("not ready after the registry came back")
		}
	})
}

// TestConfigurationNeverGoesBack checks that an older configuration is ignored.
func TestConfigurationNeverGoesBack(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		for _, step := range []struct{ offered, want uint64 }{{7, 7}, {3, 7}, {7, 7}, {9, 9}} {
			f.registry.change(func() { f.registry.config = testConfig(step.offered) })
			synctest.Wait()
			if got := configVersion(g); got != step.want {
				t.Errorf("version %d after %d, want %d", got, step.offered, step.want)
			}
		}
	})
}

// TestRelay checks that a gateway that cannot reach the registry gets the configuration
// and the list of upstreams from a peer.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		g1 := f.start(t, "g1")
		defer g1.Close()
		synctest.Wait()
		cutOff := &fleet{runners: f.runners, registry: newFakeRegistry(nil), peers: f.peers}
		cutOff.registry.down = true
		g2 := cutOff.start(t, "g2", "g1")
		defer g2.Close()
		time.Sleep(2 * SweepEvery)
		synctest.Wait()
		if !g2.Ready() {
			t.Fatal("a gateway that can reach a peer is not ready")
		}
		f.registry.change(func() {
			f.registry.config = testConfig(5)
			delete(f.registry.list, "s1")
			delete(f.registry.list, "s2")
		})
		time.Sleep(2 * SweepEvery)
		synctest.Wait()
		if configVersion(g2) != 5 {
			t.Errorf("version %d at the gateway without the registry, want 5", configVersion(g2))
		}
	})
}

// TestDrainingUpstream checks that an upstream gets no work once the registry lists it as
// draining.
func TestDrainingUpstream(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() {
			draining := record("s1", "desk", upstream.RoleService)
			draining.Draining = true
			f.registry.list["s1"] = draining
		})
		// The gateway pauses between two watches of the list.
		time.Sleep(WatchPause)
		synctest.Wait()
		for range 20 {
			checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
		}
		for _, call := range f.runners.allCalls() {
			if call == "call@s1" {
				t.Fatal("a draining upstream got work")
			}
		}
	})
}

// TestRegistryReturnIsDetected checks that the registry's return is noticed without a
// change of the list. Otherwise an upstream removed after the return would be taken for
// one whose registration expired during the outage, and kept.
func TestRegistryReturnIsDetected(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() { f.registry.down = true })
		time.Sleep(3 * time.Second)
		f.registry.mu.Lock()
		f.registry.down = false
		f.registry.mu.Unlock()
		time.Sleep(2 * ReadRetryDelay)
		synctest.Wait()
		f.registry.change(func() { delete(f.registry.list, "s1") })
		synctest.Wait()
		for range 20 {
			g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
		}
		for _, call := range f.runners.allCalls() {
			if call == "call@s1" {
				t.Fatal("a removed upstream got work")
			}
		}
	})
}

// TestLapsedUpstreams checks that upstreams whose registrations expired while the registry
// was down are kept until two seconds after its return.
func TestLapsedUpstreams(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() { f.registry.down = true })
		time.Sleep(3 * time.Second)
		f.registry.change(func() {
			f.registry.down = false
			f.registry.list = map[upstream.ID]registry.Record{}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		refusal := g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
		checkRefusal(t, refusal, contract.CodeNoUpstream, contract.RanNo)
	})
}

// TestQuotaAcrossGateways checks that a gateway counts what its peers admitted.
func TestQuotaAcrossGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		g1 := f.start(t, "g1")
		defer g1.Close()
		synctest.Wait()
		g2 := f.start(t, "g2")
		defer g2.Close()
		time.Sleep(2 * SweepEvery)
		m := testMessage("/stream/1")
		m.Prompt, m.MaxOutput = 0, 0
		// Both know the account before any of its quota is used.
		for _, g := range []*Gateway{g1, g2} {
			checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		}
		m.Prompt = 10_000
		checkRefusal(t, g1.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		time.Sleep(SweepEvery + time.Millisecond)
		synctest.Wait()
		checkRefusal(t, g2.Forward(context.Background(), m, &callerSink{}), contract.CodeRateLimited, contract.RanNo)
	})
}

// TestRoleOrders checks that only one gateway sends role orders, all under one fencing
// number and with the engine's own count of orders.
func TestRoleOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.registry.list["p3"] = record("p3", "engines", upstream.RolePrefill)
		f.registry.list["p4"] = record("p4", "engines", upstream.RolePrefill)
		f.registry.list["p5"] = record("p5", "engines", upstream.RolePrefill)
		f.registry.demand = manyTokens()
		f.runners.report.Role = upstream.RolePrefill
		f.runners.report.Orders = 4
		g1 := f.start(t, "g1")
		defer g1.Close()
		g2 := f.start(t, "g2")
		defer g2.Close()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if len(f.runners.allOrders()) == 0 {
			t.Fatal("no order was given")
		}
		for _, o := range f.runners.allOrders() {
			if o.Holder != "g1" || o.Role != upstream.RoleDecode || o.Orders != 4 || o.Fencing != f.runners.allOrders()[0].Fencing {
				t.Errorf("order %+v, want holder g1, role decode, the engine's count of 4 and the fencing number of the first order", o)
			}
		}
	})
}

// TestRoleOrdersWaitForLease checks that no order is sent while another gateway holds
// the lease.
func TestRoleOrdersWaitForLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		delete(f.registry.list, "d1")
		delete(f.registry.list, "d2")
		f.runners.report.Role = upstream.RolePrefill
		f.registry.lease = registry.Lease{Holder: "other", Fencing: 9}
		f.registry.leaseAt = time.Now()
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(3 * time.Second)
		if n := len(f.runners.allOrders()); n != 0 {
			t.Errorf("%d orders while another process held the lease", n)
		}
		time.Sleep(5 * time.Second)
		if len(f.runners.allOrders()) == 0 || f.runners.allOrders()[0].Fencing <= 9 {
			t.Errorf("orders %+v after the lease ran out", f.runners.allOrders())
		}
	})
}

// TestLivingHolderKeepsRoleOrders guards against gateways that take turns with the orders, and undo each other's, after each lease that ran out.
func TestLivingHolderKeepsRoleOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		delete(f.registry.list, "d1")
		delete(f.registry.list, "d2")
		f.runners.report.Role = upstream.RolePrefill
		f.registry.lease = registry.Lease{Holder: "g2", Fencing: 9}
		f.registry.leaseAt = time.Now().Add(-time.Hour)
		g2 := f.start(t, "g2")
		defer g2.Close()
		synctest.Wait()
		// The holder orders nothing while it is not ready.
		g2.Drain()
		g1 := f.start(t, "g1")
		defer g1.Close()
		time.Sleep(8 * time.Second)
		if orders := f.runners.allOrders(); len(orders) != 0 {
			t.Errorf("%d orders by %s while the last holder lives", len(orders), orders[0].Holder)
		}
		f.peers.mu.Lock()
		f.peers.cut["g2"] = true
		f.peers.mu.Unlock()
		time.Sleep(8 * time.Second)
		if len(f.runners.allOrders()) == 0 || f.runners.allOrders()[0].Holder != "g1" {
			t.Errorf("orders %+v after the last holder was lost", f.runners.allOrders())
		}
	})
}

// TestNoWorkDuringRoleChange checks that a gateway sends no work to an engine whose role
// change was ordered by a peer.
func TestNoWorkDuringRoleChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.registry.list["p3"] = record("p3", "engines", upstream.RolePrefill)
		f.registry.list["p4"] = record("p4", "engines", upstream.RolePrefill)
		f.registry.demand = manyTokens()
		f.runners.report.Role = upstream.RolePrefill
		g1 := f.start(t, "g1")
		defer g1.Close()
		g2 := f.start(t, "g2")
		defer g2.Close()
		time.Sleep(RoleChangeHoldoff + 4*SweepEvery)
		synctest.Wait()
		ordered := make(map[string]bool)
		for _, call := range f.runners.allCalls() {
			if len(call) > 6 && call[:6] == "order@" {
				ordered[call[6:]] = true
			}
		}
		if len(ordered) == 0 {
			t.Fatal("no engine was ordered")
		}
		before := len(f.runners.allCalls())
		for range 20 {
			g2.Forward(context.Background(), testMessage("/stream/1"), &callerSink{})
		}
		for _, call := range f.runners.allCalls()[before:] {
			for id := range ordered {
				if call == "prefill@"+id || call == "reserve@"+id {
					t.Fatalf("%s while it changes its role", call)
				}
			}
		}
	})
}

// TestMembers checks that gateways find each other through a seed and that silent ones
// are removed.
func TestMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.registry.down = true
		var all []*Gateway
		for _, name := range []string{"g1", "g2", "g3"} {
			g := f.start(t, name, "g1")
			defer g.Close()
			all = append(all, g)
		}
		time.Sleep(5 * SweepEvery)
		synctest.Wait()
		for _, g := range all {
			if n := g.countGateways(table.NewHeldLocks(), time.Now()); n != 3 {
				t.Errorf("%s knows %d gateways, want 3", g.options.Self.Name, n)
			}
		}
		f.peers.mu.Lock()
		f.peers.cut["g3"] = true
		f.peers.mu.Unlock()
		time.Sleep(2 * PeerExpiry)
		synctest.Wait()
		if n := all[0].countGateways(table.NewHeldLocks(), time.Now()); n != 2 {
			t.Errorf("%d gateways known after one became unreachable, want 2", n)
		}
	})
}

// TestLifeCycle checks the states before and after Drain.
func TestLifeCycle(t *testing.T) {
	withGateway(t, func(t *testing.T, _ *fleet, g *Gateway) {
		if g.State() != instance.Serving {
			t.Errorf("state %v, want serving", g.State())
		}
		g.Drain()
		if g.State() != instance.Draining {
			t.Errorf("state %v, want draining", g.State())
		}
	})
}
