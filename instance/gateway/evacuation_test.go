package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// evacuationRows are the rows of evacuated zones in a fakeRegistry.
type evacuationRows struct {
	// changed is the version of the last change of each zone, present whether it is
	// evacuated.
	changed map[zone.AvailabilityZone]uint64
	present map[zone.AvailabilityZone]bool
	// forgotten is the version up to which the history of changes is gone.
	forgotten uint64
}

// evacuationsAfter returns the changes after a version, all zones after 0. It is called with
// the registry's lock held.
func (f *fakeRegistry) evacuationsAfter(after uint64) (zone.EvacuationUpdate, error) {
	u := zone.EvacuationUpdate{Version: f.version, Whole: after == 0}
	if after > 0 && after < f.evacuations.forgotten {
		return u, registry.ErrHistoryGone
	}
	for z, version := range f.evacuations.changed {
		switch {
		case version <= after:
		case f.evacuations.present[z]:
			u.Evacuated = append(u.Evacuated, z)
		case !u.Whole:
			u.Revoked = append(u.Revoked, z)
		}
	}
	return u, nil
}

// evacuate writes or deletes the row of a zone.
func (f *fakeRegistry) evacuate(z zone.AvailabilityZone, present bool) {
	f.change(func() { f.setEvacuated(z, present) })
}

// setEvacuated is evacuate without the watchers' wake-up. It is called with the lock held.
func (f *fakeRegistry) setEvacuated(z zone.AvailabilityZone, present bool) {
	if f.evacuations.changed == nil {
		f.evacuations.changed, f.evacuations.present = make(map[zone.AvailabilityZone]uint64), make(map[zone.AvailabilityZone]bool)
	}
	f.evacuations.changed[z], f.evacuations.present[z] = f.version+1, present
}

// setDown makes the registry fail or answer again.
func (f *fakeRegistry) setDown(down bool) {
	f.change(func() { f.down = down })
}

// twoZones moves the second upstream of each kind of testFleet to zone "y".
func (f *fleet) twoZones() *fleet {
	for _, id := range []upstream.ID{"p2", "d2", "s2"} {
		r := f.registry.list[id]
		r.Zone = "y"
		f.registry.list[id] = r
	}
	return f
}

// withZones calls f with a gateway that is ready, in a fleet of two zones.
func withZones(t *testing.T, f func(t *testing.T, fleet *fleet, g *Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := testFleet().twoZones()
		g := fleet.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f(t, fleet, g)
	})
}

// zoneCalls sends requests of each kind and returns the calls that upstreams of zone "y" got.
func (f *fleet) zoneCalls(t *testing.T, g *Gateway) (calls []string) {
	t.Helper()
	before := len(f.runners.allCalls())
	for range 8 {
		for _, path := range []string{"/read/1", "/once/1", "/plain-stream/1"} {
			checkRefusal(t, g.Forward(context.Background(), plainMessage(path), &callerSink{}), "", contract.RanNo)
		}
		for _, path := range []string{"/stream/1", "/resumable/1"} {
			checkRefusal(t, g.Forward(context.Background(), testMessage(path), &callerSink{}), "", contract.RanNo)
		}
		time.Sleep(time.Second)
	}
	for _, call := range f.runners.allCalls()[before:] {
		if strings.HasSuffix(call, "2") {
			calls = append(calls, call)
		}
	}
	return calls
}

func evacuatedAt(g *Gateway) []zone.AvailabilityZone {
	return g.evacuations(table.NewHeldLocks()).Zones
}

// TestEvacuatedZoneGetsNoWork checks the row that appears, vanishes and comes back, for each
// kind of request, and that a row of an unknown zone has no effect.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
		for range 2 {
			f.registry.evacuate("nowhere", true)
			synctest.Wait()
			if len(f.zoneCalls(t, g)) == 0 {
				t.Error("no calls before the evacuation")
			}
			f.registry.evacuate("y", true)
			synctest.Wait()
			if s := g.Status(); s.EvacuatedZones != 2 || s.EvacuatedUpstreams != 3 {
				t.Errorf("%d zones and %d upstreams evacuated, want 2 and 3", s.EvacuatedZones, s.EvacuatedUpstreams)
			}
			if calls := f.zoneCalls(t, g); len(calls) > 0 {
				t.Errorf("calls to an evacuated zone: %v", calls)
			}
			planned := []split.Change{{Engine: split.Engine{ID: "d2"}}, {Engine: split.Engine{ID: "d1"}}}
			if kept := g.withoutEvacuated(table.NewHeldLocks(), planned); len(kept) != 1 || kept[0].ID != "d1" {
				t.Errorf("role orders go to %v, want d1", kept)
			}
			f.registry.evacuate("y", false)
			f.registry.evacuate("nowhere", false)
			synctest.Wait()
		}
		if len(f.zoneCalls(t, g)) == 0 {
			t.Error("no calls after the evacuation")
		}
	})
}

// TestEvacuationWithoutHistory guards against zones that stay evacuated, or in use, when their
// rows changed while the registry did not answer and the history of changes was lost.
func TestEvacuationWithoutHistory(t *testing.T) {
	for _, forget := range []bool{false, true} {
		t.Run(fmt.Sprint(forget), func(t *testing.T) {
			withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
				f.registry.evacuate("y", true)
				synctest.Wait()
				f.registry.setDown(true)
				time.Sleep(3 * time.Second)
				if calls := f.zoneCalls(t, g); len(calls) > 0 {
					t.Errorf("calls while the registry is down: %v", calls)
				}
				f.registry.change(func() {
					f.registry.down = false
					f.registry.setEvacuated("y", false)
					f.registry.setEvacuated("x", true)
					if forget {
						f.registry.evacuations.forgotten = f.registry.version + 1
					}
				})
				time.Sleep(2 * ReadRetryDelay)
				synctest.Wait()
				if got := evacuatedAt(g); !slices.Equal(got, []zone.AvailabilityZone{"x"}) {
					t.Errorf("evacuated %v, want x", got)
				}
				if len(f.zoneCalls(t, g)) == 0 {
					t.Error("no calls after the evacuation")
				}
			})
		})
	}
}

// cutOffFleet has the same upstreams and peers, and a registry that does not answer.
func (f *fleet) cutOffFleet() *fleet {
	other := &fleet{runners: f.runners, registry: newFakeRegistry(nil), peers: f.peers}
	other.registry.down = true
	return other
}

// TestEvacuationByPeers checks that a gateway which the registry turns away, or whose watch hangs,
// learns of changes within two seconds, in either direction of the exchanges.
func TestEvacuationByPeers(t *testing.T) {
	for _, names := range [][2]string{{"g1", "g2"}, {"g2", "g1"}} {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s hangs %v", names[1], hangs), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := testFleet().twoZones()
					first := f.start(t, names[0])
					defer first.Close()
					synctest.Wait()
					cutOff := f.cutOffFleet()
					if hangs {
						// This registry never changes.
						cutOff.registry = newFakeRegistry(testConfig(1), slices.Collect(maps.Values(f.registry.list))...)
					}
					g := cutOff.start(t, names[1], names[0])
					defer g.Close()
					time.Sleep(2 * time.Second)
					for i, want := range [][]zone.AvailabilityZone{{"y"}, {}, {"x", "y"}, {"x"}, {"y"}} {
						for _, z := range []zone.AvailabilityZone{"x", "y"} {
							if slices.Contains(want, z) != slices.Contains(evacuatedAt(first), z) {
								f.registry.evacuate(z, slices.Contains(want, z))
							}
						}
						time.Sleep(2 * time.Second)
						synctest.Wait()
						if got := evacuatedAt(g); !g.Ready() || !slices.Equal(got, want) {
							t.Errorf("change %d: evacuated %v, ready %v, want %v", i, got, g.Ready(), want)
						}
					}
					if calls := f.zoneCalls(t, g); len(calls) > 0 {
						t.Errorf("calls to an evacuated zone: %v", calls)
					}
				})
			})
		}
	}
}

// TestRestartInEvacuation guards against a process that uses an evacuated zone after its start,
// whether it reads the registry or gets its configuration from a peer.
func TestRestartInEvacuation(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := testFleet().twoZones()
			first := f.start(t, "g1")
			defer first.Close()
			f.registry.evacuate("y", true)
			synctest.Wait()
			second := f
			if down {
				second = f.cutOffFleet()
			}
			g := second.start(t, "g2", "g1")
			defer g.Close()
			for range 300 {
				g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
				time.Sleep(10 * time.Millisecond)
			}
			if calls := f.runners.allCalls(); !g.Ready() || slices.Contains(calls, "call@s2") {
				t.Errorf("ready %v, calls %v", g.Ready(), calls)
			}
		})
	}
}

// TestOldEvacuationsOfPeers guards against a peer whose knowledge is old and that undoes a
// change, and a peer that lists zones as evacuated which the registry has revoked.
func TestOldEvacuationsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet().twoZones()
		old := f.start(t, "g2")
		defer old.Close()
		f.registry.evacuate("x", true)
		synctest.Wait()
		cutOff := f.cutOffFleet()
		stale := cutOff.start(t, "g3", "g2")
		defer stale.Close()
		time.Sleep(time.Second)
		f.peers.mu.Lock()
		f.peers.cut["g3"] = true
		f.peers.mu.Unlock()
		f.registry.evacuate("x", false)
		f.registry.evacuate("y", true)
		g := f.start(t, "g1", "g2", "g3")
		defer g.Close()
		time.Sleep(time.Second)
		if got := evacuatedAt(stale); !slices.Equal(got, []zone.AvailabilityZone{"x"}) {
			t.Fatalf("the cut-off gateway has %v, want x", got)
		}
		f.peers.mu.Lock()
		f.peers.cut["g3"] = false
		f.peers.mu.Unlock()
		for range 8 {
			time.Sleep(250 * time.Millisecond)
			for _, one := range []*Gateway{old, g} {
				if got := evacuatedAt(one); !slices.Equal(got, []zone.AvailabilityZone{"y"}) {
					t.Fatalf("evacuated %v, want y", got)
				}
			}
		}
		if got := evacuatedAt(stale); !slices.Equal(got, []zone.AvailabilityZone{"y"}) {
			t.Errorf("evacuated %v at the gateway that was cut off, want y", got)
		}
	})
}

// TestNotReadyWithoutEvacuations guards against a process that becomes ready before it has read
// which zones are evacuated: a peer of an earlier release sends a configuration and a list only.
func TestNotReadyWithoutEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet().twoZones()
		f.registry.setDown(true)
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(time.Second)
		h := table.NewHeldLocks()
		list := registry.Upstreams{Version: 1, Whole: true}
		for _, r := range f.registry.list {
			list.Present = append(list.Present, r)
		}
		g.applyUpstreams(h, list, "g0")
		g.adoptConfig(h, testConfig(1), "g0", time.Now())
		if g.Ready() {
			t.Fatal("ready though the evacuated zones are not known")
		}
		f.registry.setDown(false)
		time.Sleep(2 * ReadRetryDelay)
		synctest.Wait()
		if !g.Ready() {
			t.Error("not ready after the read")
		}
	})
}

// TestEvacuationAfterReservation guards against a stream that is sent to an engine whose zone
// was evacuated while the prompt was prefilled, and against a KV cache in an evacuated zone
// that is thrown away: an engine elsewhere may read it.
func TestEvacuationAfterReservation(t *testing.T) {
	for _, evacuated := range []upstream.ID{"d2", "p2"} {
		t.Run(string(evacuated), func(t *testing.T) {
			withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
				// The other engine of the role registers after the reservation.
				other := f.registry.list[evacuated[:1]+"1"]
				f.registry.change(func() {
					for id, r := range f.registry.list {
						if id != evacuated {
							r.Zone = "z"
							f.registry.list[id] = r
						}
					}
					delete(f.registry.list, other.ID)
				})
				time.Sleep(time.Second)
				f.runners.queue("prefill", answer{result: success.result, takes: 200 * time.Millisecond})
				time.AfterFunc(100*time.Millisecond, func() {
					f.registry.change(func() {
						f.registry.list[other.ID] = other
						f.registry.setEvacuated("y", true)
					})
				})
				checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
				time.Sleep(time.Second)
				calls := f.runners.allCalls()
				if !slices.Contains(calls, "reserve@"+string(evacuated)) && !slices.Contains(calls, "prefill@"+string(evacuated)) {
					t.Fatalf("calls %v: none before the evacuation", calls)
				}
				if f.runners.count("prefill") != 1 || f.runners.count("stream") != 1 || slices.Contains(calls, "stream@"+string(evacuated)) {
					t.Errorf("calls %v", calls)
				}
				for _, kind := range []string{"release@", "free@"} {
					if slices.Contains(calls, kind+string(evacuated)) {
						t.Errorf("calls %v: nothing may be sent to the evacuated zone", calls)
					}
				}
				if source := f.runners.lastOptions("stream").Source; evacuated == "p2" && source.Engine != "p2" {
					t.Errorf("the stream fetches %+v, want the KV cache of p2", source)
				}
			})
		})
	}
}

// TestNothingIsFreedInEvacuatedZone guards against a call that frees a KV cache there.
func TestNothingIsFreedInEvacuatedZone(t *testing.T) {
	withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() { delete(f.registry.list, "p1") })
		time.Sleep(time.Second)
		f.runners.queue("prefill", answer{result: success.result, takes: 200 * time.Millisecond})
		f.runners.queue("stream", broken)
		time.AfterFunc(100*time.Millisecond, func() { f.registry.evacuate("y", true) })
		checkRefusal(t, g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{}), contract.CodeUpstreamFailed, contract.RanUnknown)
		time.Sleep(time.Second)
		if calls := f.runners.allCalls(); !slices.Contains(calls, "prefill@p2") || f.runners.count("free") > 0 {
			t.Errorf("calls %v", calls)
		}
	})
}

// TestWaiterAvoidsEvacuatedZone guards against a request that waited for room and is placed in
// a zone that was evacuated meanwhile.
func TestWaiterAvoidsEvacuatedZone(t *testing.T) {
	withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("reserve", full, full, full, full, full, full)
		time.AfterFunc(50*time.Millisecond, func() { f.registry.evacuate("y", true) })
		checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
		if calls := f.runners.allCalls(); calls[len(calls)-1] != "stream@d1" || slices.Contains(calls, "prefill@p2") {
			t.Errorf("calls %v", calls)
		}
	})
}

// TestWholeServiceEvacuated checks that requests are refused at once, also those that wait, and
// served when the evacuation is revoked.
func TestWholeServiceEvacuated(t *testing.T) {
	withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("reserve", slices.Repeat([]answer{full}, 12)...)
		waited := make(chan time.Duration, 1)
		go func() {
			start := time.Now()
			checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), contract.CodeNoUpstream, contract.RanNo)
			waited <- time.Since(start)
		}()
		time.Sleep(50 * time.Millisecond)
		f.registry.evacuate("y", true)
		f.registry.evacuate("z", true)
		if took := <-waited; took > 200*time.Millisecond {
			t.Errorf("a request that waits is refused after %v", took)
		}
		synctest.Wait()
		before := len(f.runners.allCalls())
		for _, path := range []string{"/read/1", "/once/1", "/plain-stream/1", "/stream/1", "/resumable/1"} {
			start := time.Now()
			refusal := g.Forward(context.Background(), testMessage(path), &callerSink{})
			checkRefusal(t, refusal, contract.CodeNoUpstream, contract.RanNo)
			if refusal != nil && (refusal.After != retryDelay || !refusal.Repeat) || time.Since(start) > 0 {
				t.Errorf("%s: %+v after %v", path, refusal, time.Since(start))
			}
		}
		if calls := f.runners.allCalls()[before:]; len(calls) > 0 {
			t.Errorf("calls %v", calls)
		}
		if c := g.metrics.Snapshot(time.Now()).Exclusions; c != (ExclusionCounts{Evacuated: 2, RefusedEvacuated: 6}) {
			t.Errorf("counts %+v", c)
		}
		f.registry.evacuate("y", false)
		synctest.Wait()
		checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
	})
}

// TestRunningStreamsFinishInEvacuatedZone checks that an evacuation cuts nothing off.
func TestRunningStreamsFinishInEvacuatedZone(t *testing.T) {
	withZones(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() {
			delete(f.registry.list, "d1")
		})
		time.Sleep(time.Second)
		f.runners.queue("stream", answer{result: success.result, events: 5, gap: 100 * time.Millisecond})
		time.AfterFunc(150*time.Millisecond, func() { f.registry.evacuate("y", true) })
		checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
		if calls := f.runners.allCalls(); calls[len(calls)-1] != "stream@d2" {
			t.Errorf("calls %v", calls)
		}
	})
}
