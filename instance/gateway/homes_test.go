package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

var homePaths = []string{"/read/1", "/once/1", "/plain-stream/1", "/stream/1", "/resumable/1"}

// withHomes calls f with a gateway in a fleet of two zones, "z" in region r1 and "y" in r2,
// whose routes and account have the given home regions.
func withHomes(t *testing.T, route, account []zone.Region, f func(t *testing.T, fleet *fleet, g *Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := testFleet().twoZones()
		fleet.regions = map[zone.AvailabilityZone]zone.Region{"z": "r1", "y": "r2"}
		for _, r := range fleet.registry.config.Hosts["h"] {
			r.Homes = route
		}
		fleet.registry.config.Accounts["weaver"].Homes = account
		g := fleet.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		f(t, fleet, g)
	})
}

// TestHomeRegions guards against a request that runs or is prefilled outside of its home
// regions, also when it is sent again or no engine for prefills is left inside.
func TestHomeRegions(t *testing.T) {
	for _, c := range []struct{ route, account []zone.Region }{
		{[]zone.Region{"r2"}, nil}, {nil, []zone.Region{"r2", "r3"}}, {[]zone.Region{"r1", "r2"}, []zone.Region{"r2"}},
	} {
		withHomes(t, c.route, c.account, func(t *testing.T, f *fleet, g *Gateway) {
			for round := range 2 {
				for _, path := range homePaths {
					checkRefusal(t, g.Forward(context.Background(), testMessage(path), &callerSink{}), "", contract.RanNo)
					// The quota of the account refills.
					time.Sleep(time.Second)
				}
				for _, kind := range []string{"call", "reserve", "prefill", "stream"} {
					f.runners.queue(kind, full)
					for _, path := range []string{"/read/1", "/resumable/1"} {
						g.Forward(context.Background(), testMessage(path), &callerSink{})
						time.Sleep(time.Second)
					}
				}
				if round == 0 {
					f.registry.change(func() { delete(f.registry.list, "p2") })
					time.Sleep(time.Second)
				}
			}
			for _, call := range f.runners.allCalls() {
				if !strings.HasSuffix(call, "2") {
					t.Errorf("%v and %v: %s outside", c.route, c.account, call)
				}
			}
		})
	}
}

// TestNoUpstreamInHomeRegions checks that such requests are refused at once: no region is in
// both lists, no zone is in the region, the region of the zone is not known, and the only zone
// inside is evacuated.
func TestNoUpstreamInHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []zone.Region
		evacuate       zone.AvailabilityZone
		reason         string
	}{
		{"none in both", []zone.Region{"r1"}, []zone.Region{"r2"}, "", "outside"},
		{"no zone", []zone.Region{"r3"}, nil, "", "outside"},
		{"unknown region", []zone.Region{""}, nil, "", "outside"},
		{"evacuated", []zone.Region{"r2"}, nil, "y", "evacuated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHomes(t, c.route, c.account, func(t *testing.T, f *fleet, g *Gateway) {
				f.registry.evacuate(c.evacuate, c.evacuate != "")
				synctest.Wait()
				for _, path := range homePaths {
					start := time.Now()
					refusal := g.Forward(context.Background(), testMessage(path), &callerSink{})
					checkRefusal(t, refusal, contract.CodeNoUpstream, contract.RanNo)
					if refusal != nil && (!strings.Contains(refusal.Reason, c.reason) || time.Since(start) > 0) {
						t.Errorf("%s: %s after %v", path, refusal.Reason, time.Since(start))
					}
				}
				if calls := f.runners.allCalls(); len(calls) > 0 {
					t.Errorf("calls %v", calls)
				}
			})
		})
	}
}

// fullEngine is a fleet in which one decode engine has no room.
type fullEngine struct {
	*fakeRunners
	id upstream.ID
}

func (f fullEngine) Reserve(ctx context.Context, to runner.Target, n contract.Tokens, ttl time.Duration) (string, runner.Result) {
	if to.ID == f.id {
		return "", full.result
	}
	return f.fakeRunners.Reserve(ctx, to, n, ttl)
}

// TestWaitersOfOtherHomes guards against a request that waits, or is not refused at once, since
// one with other home regions waits for room before it.
func TestWaitersOfOtherHomes(t *testing.T) {
	withHomes(t, nil, nil, func(t *testing.T, f *fleet, _ *Gateway) {
		f.client = fullEngine{f.runners, "d2"}
		homes := map[contract.RouteName][]zone.Region{"resumable": {"r2"}, "stream": {"r1"}, "plain-stream": {"r3"}}
		f.registry.change(func() {
			f.registry.config = testConfig(2)
			for _, r := range f.registry.config.Hosts["h"] {
				r.Homes = homes[r.Name]
				if r.Name == "plain-stream" {
					r.Shares[0].Service = "engines"
				}
			}
		})
		g := f.start(t, "g2")
		defer g.Close()
		time.Sleep(2 * time.Second)
		waited := make(chan struct{})
		go func() {
			defer close(waited)
			checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), contract.CodeOverCapacity, contract.RanNo)
		}()
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		checkRefusal(t, g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{}), "", contract.RanNo)
		checkRefusal(t, g.Forward(context.Background(), testMessage("/plain-stream/1"), &callerSink{}), contract.CodeNoUpstream, contract.RanNo)
		if took := time.Since(start); took > 0 {
			t.Errorf("they took %v", took)
		}
		<-waited
	})
}

// TestNoHomesBehindWaiters guards against a request without any allowed region that waits
// behind requests without home regions in place of being refused at once.
func TestNoHomesBehindWaiters(t *testing.T) {
	withHomes(t, nil, nil, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() {
			s := testConfig(2)
			for _, r := range s.Hosts["h"] {
				if r.Name == "stream" {
					r.Homes = []zone.Region{"r1"}
				}
			}
			s.Accounts["spinner"] = &directory.Account{ID: "spinner", Homes: []zone.Region{"r2"}}
			s.Keys[contract.HashKey("other key")] = "spinner"
			f.registry.config = s
		})
		synctest.Wait()
		f.runners.queue("reserve", rejections(5000)...)
		waited := make(chan struct{})
		go func() {
			defer close(waited)
			checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), contract.CodeOverCapacity, contract.RanNo)
		}()
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		m := testMessage("/stream/1")
		m.Key = "other key"
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), contract.CodeNoUpstream, contract.RanNo)
		if took := time.Since(start); took > 0 {
			t.Errorf("refused after %v", took)
		}
		<-waited
	})
}

// TestWaitListsOfFormerHomes guards against wait lists for home regions that no configuration
// in force has: configurations choose their number.
func TestWaitListsOfFormerHomes(t *testing.T) {
	withHomes(t, nil, nil, func(t *testing.T, f *fleet, g *Gateway) {
		h := table.NewHeldLocks()
		for version := uint64(10); version < 40; version++ {
			s := testConfig(version)
			for i, r := range s.Hosts["h"] {
				r.Homes = []zone.Region{zone.Region(fmt.Sprint(version, "-", i))}
			}
			g.adoptConfig(h, s, "test", time.Now())
			for _, path := range []string{"/stream/1", "/resumable/1"} {
				checkRefusal(t, g.Forward(context.Background(), testMessage(path), &callerSink{}), contract.CodeNoUpstream, contract.RanNo)
			}
		}
		g.waitLists.With(h, func(lists *waitLists) {
			if n := len(*lists); n > 10 {
				t.Errorf("%d wait lists", n)
			}
		})
	})
}

// TestExpectedWaitOfOtherHomes guards against a request that is refused at once since requests
// with other home regions, whose engines stay full, wait in vain.
func TestExpectedWaitOfOtherHomes(t *testing.T) {
	withHomes(t, nil, nil, func(t *testing.T, f *fleet, _ *Gateway) {
		f.client = fullEngine{f.runners, "d2"}
		f.registry.change(func() {
			s := urgentConfig()
			for _, r := range s.Hosts["h"] {
				r.Homes = map[contract.RouteName][]zone.Region{"resumable": {"r2"}, "stream": {"r1"}}[r.Name]
			}
			f.registry.config = s
		})
		g := f.start(t, "g2")
		defer g.Close()
		time.Sleep(2 * time.Second)
		for range 2 {
			message := func(path string) *contract.Message {
				m := testMessage(path)
				m.CallerTimeout = 10 * time.Second
				return m
			}
			waited := make(chan struct{})
			go func() {
				defer close(waited)
				g.Forward(context.Background(), message("/resumable/1"), &callerSink{})
			}()
			time.Sleep(590 * time.Millisecond)
			f.runners.queue("reserve", full)
			checkRefusal(t, g.Forward(context.Background(), message("/stream/1"), &callerSink{}), "", contract.RanNo)
			<-waited
		}
	})
}
