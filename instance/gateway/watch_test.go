package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// testBounds are those of the deployments with the shortest times.
var testBounds = ChangeBounds{Config: 2 * time.Second, Upstreams: 2 * time.Second, Settle: 3 * time.Second}

// TestLostWatch guards against changes that are seen late because the registry lost a watch in
// an outage: a withdrawn key kept working, and upstreams that had left got requests, for up
// to ten seconds after an outage of one.
func TestLostWatch(t *testing.T) {
	for _, outage := range []time.Duration{20 * time.Millisecond, time.Second, 3 * time.Second, 4500 * time.Millisecond, 7 * time.Second} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet()
				f.changes = testBounds
				g := f.start(t, "g1")
				defer g.Close()
				synctest.Wait()
				// The watches are answered, and those that follow reach a silent registry.
				f.registry.change(func() {
					f.registry.config = testConfig(2)
					f.registry.silent = true
				})
				time.Sleep(outage)
				f.registry.setSilent(false)
				time.Sleep(testBounds.Settle)
				withoutKey := testConfig(3)
				withoutKey.Keys = map[contract.KeyHash]contract.AccountID{}
				f.registry.change(func() { delete(f.registry.list, "s1") })
				time.Sleep(testBounds.Upstreams)
				synctest.Wait()
				f.runners.forgetCalls()
				for range 20 {
					checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
				}
				for _, call := range f.runners.allCalls() {
					if call == "call@s1" {
						t.Fatal("an upstream that had left got a request")
					}
				}
				f.registry.change(func() { f.registry.config = withoutKey })
				time.Sleep(testBounds.Config)
				synctest.Wait()
				refusal := g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
				checkRefusal(t, refusal, contract.CodeKeyInvalid, contract.RanNo)
			})
		})
	}
}

// TestLostWatchOfConfiguration is the case of a key alone, with no change of the list.
func TestLostWatchOfConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.changes = testBounds
		g := f.start(t, "g1")
		defer g.Close()
		synctest.Wait()
		f.registry.change(func() {
			f.registry.config = testConfig(2)
			f.registry.silent = true
		})
		time.Sleep(time.Second)
		f.registry.setSilent(false)
		time.Sleep(testBounds.Settle)
		f.registry.change(func() {
			f.registry.config = testConfig(3)
			f.registry.config.Keys = map[contract.KeyHash]contract.AccountID{}
		})
		time.Sleep(testBounds.Config)
		synctest.Wait()
		refusal := g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
		checkRefusal(t, refusal, contract.CodeKeyInvalid, contract.RanNo)
	})
}

// TestChangeRightAfterOutageIsInForce guards against a late configuration after an outage in which all gateways lost their watch.
func TestChangeRightAfterOutageIsInForce(t *testing.T) {
	outages := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	changes := []time.Duration{time.Millisecond, 350 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second}
	for _, bounds := range []ChangeBounds{
		testBounds,
		{Config: 3 * time.Second, Upstreams: 3 * time.Second, Settle: 4 * time.Second},
		{Config: 4 * time.Second, Upstreams: 4 * time.Second, Settle: 2 * time.Second},
	} {
		for _, outage := range outages {
			for _, change := range changes {
				t.Run(fmt.Sprint(bounds.Config, bounds.Settle, outage, change), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := testFleet()
						f.changes = bounds
						g1, g2 := f.start(t, "g1"), f.start(t, "g2")
						defer g1.Close()
						defer g2.Close()
						synctest.Wait()
						f.registry.change(func() {
							f.registry.config = testConfig(2)
							f.registry.silent = true
						})
						time.Sleep(outage)
						f.registry.setSilent(false)
						time.Sleep(change)
						f.registry.change(func() {
							f.registry.config = testConfig(3)
							f.registry.config.Keys = map[contract.KeyHash]contract.AccountID{}
						})
						time.Sleep(max(bounds.Settle-change, bounds.Config))
						synctest.Wait()
						for _, g := range []*Gateway{g1, g2} {
							refusal := g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
							checkRefusal(t, refusal, contract.CodeKeyInvalid, contract.RanNo)
						}
					})
				})
			}
		}
	}
}

// TestRemovalRightAfterLostWatch guards against requests to an upstream that left right after
// connections to the registry had gone silent, which lost the watch of the list while the
// registry itself was sound: the watch ended when the removal was due if it had come later.
func TestRemovalRightAfterLostWatch(t *testing.T) {
	const lost = WatchPause + 20*time.Millisecond
	for _, bounds := range []ChangeBounds{
		testBounds,
		{Config: 3 * time.Second, Upstreams: 3 * time.Second, Settle: 4 * time.Second},
		{Config: 4 * time.Second, Upstreams: 4 * time.Second, Settle: 2 * time.Second},
	} {
		for _, removal := range []time.Duration{time.Millisecond, 350 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(bounds.Upstreams, bounds.Settle, removal), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := testFleet()
					f.changes = bounds
					g := f.start(t, "g1")
					defer g.Close()
					synctest.Wait()
					f.registry.change(func() {
						f.registry.config = testConfig(2)
						f.registry.silent = true
					})
					time.Sleep(lost)
					f.registry.setSilent(false)
					time.Sleep(removal)
					f.registry.change(func() { delete(f.registry.list, "s1") })
					time.Sleep(max(bounds.Settle-removal, bounds.Upstreams))
					synctest.Wait()
					checkNotCalled(t, f, g, "s1")
				})
			})
		}
	}
}

// TestUnansweredWatchIsNoOutage guards against a lost watch that counts as an outage of the
// registry when the read after it is answered: an upstream that left meanwhile would be taken
// for one whose registration lapsed, and kept.
func TestUnansweredWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.changes = testBounds
		g := f.start(t, "g1")
		defer g.Close()
		synctest.Wait()
		f.registry.change(func() { f.registry.silent = true })
		time.Sleep(time.Second)
		f.registry.setSilent(false)
		time.Sleep(time.Second)
		f.registry.quietly(func() { delete(f.registry.list, "s1") })
		time.Sleep(g.options.Changes.upstreamsWatchTimeout() + WatchSlack)
		synctest.Wait()
		for range 20 {
			g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
		}
		for _, call := range f.runners.allCalls() {
			if call == "call@s1" {
				t.Fatal("an upstream that had left got a request")
			}
		}
	})
}

// TestBrokenWatchIsNoOutage is the same for watches whose connections the registry closed: the
// removal of an upstream takes effect as soon as at any other time.
func TestBrokenWatchIsNoOutage(t *testing.T) {
	for _, removal := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(fmt.Sprint(removal), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet()
				f.changes = testBounds
				g := f.start(t, "g1")
				defer g.Close()
				time.Sleep(time.Second)
				f.registry.breakWatches()
				time.Sleep(removal)
				f.registry.change(func() { delete(f.registry.list, "s1") })
				time.Sleep(WatchPause)
				synctest.Wait()
				checkNotCalled(t, f, g, "s1")
			})
		})
	}
}

// TestWatchesThatBreakAtOnce guards against a gateway that asks without a pause while the registry
// answers reads and breaks the connections of all watches.
func TestWatchesThatBreakAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.changes = testBounds
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(time.Second)
		f.registry.mu.Lock()
		f.registry.breaking, f.registry.waits = true, 0
		f.registry.mu.Unlock()
		const lasts = 10 * time.Second
		time.Sleep(lasts)
		f.registry.mu.Lock()
		defer f.registry.mu.Unlock()
		// Each of the two watches and the read after it take ReadRetryDelay at least.
		if most := 2 * 2 * int(lasts/ReadRetryDelay+1); f.registry.waits > most {
			t.Errorf("%d calls in %v, want at most %d", f.registry.waits, lasts, most)
		}
	})
}

// TestWatchTimeout checks the waits that follow from the bounds of deployments.
func TestWatchTimeout(t *testing.T) {
	for _, c := range []struct{ bound, settle, lastRead, config, upstreams time.Duration }{
		{0, 3 * time.Second, 0, WatchTimeout, WatchTimeout},
		{2 * time.Second, 3 * time.Second, 0, 1300 * time.Millisecond, 1300 * time.Millisecond},
		{3 * time.Second, 4 * time.Second, 0, 2300 * time.Millisecond, 2300 * time.Millisecond},
		{4 * time.Second, 2 * time.Second, 0, 2300 * time.Millisecond, 2300 * time.Millisecond},
		{time.Minute, 0, 0, WatchTimeout, WatchTimeout},
		{time.Second, 0, 0, minWatchTimeout, minWatchTimeout},
		{3 * time.Second, 4 * time.Second, 600 * time.Millisecond, 2300 * time.Millisecond, 2300 * time.Millisecond},
		{3 * time.Second, 4 * time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond},
		{3 * time.Second, 4 * time.Second, 5 * time.Second, minWatchTimeout, 2300 * time.Millisecond},
	} {
		bounds := ChangeBounds{Config: c.bound, Upstreams: c.bound, Settle: c.settle}
		if got := bounds.configWatchTimeout(c.lastRead); got != c.config {
			t.Errorf("configuration, bound %v after %v: %v, want %v", c.bound, c.settle, got, c.config)
		}
		if got := bounds.upstreamsWatchTimeout(); got != c.upstreams {
			t.Errorf("upstreams, bound %v after %v: %v, want %v", c.bound, c.settle, got, c.upstreams)
		}
	}
}
