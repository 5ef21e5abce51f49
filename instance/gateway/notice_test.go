package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// notify makes an upstream's current incarnation say something beside an answer.
func (f *fleet) notify(id upstream.ID, n runner.Notice) {
	f.registry.mu.Lock()
	r := f.registry.list[id]
	f.registry.mu.Unlock()
	f.runners.mu.Lock()
	observe := f.runners.observe
	f.runners.mu.Unlock()
	observe(runner.Target{ID: r.ID, Addr: r.Addr, Born: r.Born}, n)
	synctest.Wait()
}

// callsOf sends plain requests and streams and counts the calls that an upstream got.
func (f *fleet) callsOf(t *testing.T, g *Gateway, id upstream.ID) (n int) {
	t.Helper()
	before := len(f.runners.allCalls())
	for range 10 {
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
		checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
		time.Sleep(time.Second)
	}
	for _, call := range f.runners.allCalls()[before:] {
		if strings.HasSuffix(call, "@"+string(id)) {
			n++
		}
	}
	return n
}

// TestLeavingUpstreamGetsNoWork checks each role, and that neither an older list nor a
// reread of the list undoes what the upstream said, while its next incarnation gets work.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	for _, id := range []upstream.ID{"s1", "d1", "p1"} {
		t.Run(string(id), func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				if f.callsOf(t, g, id) == 0 {
					t.Fatal("no calls before")
				}
				f.notify(id, runner.Notice{Leaving: true})
				if n := f.callsOf(t, g, id); n > 0 {
					t.Errorf("%d calls after it said that it leaves", n)
				}
				f.registry.change(func() { delete(f.registry.list, id) })
				time.Sleep(time.Second)
				f.registry.change(func() { f.registry.list[id] = record(string(id), roleService(id), roleOf(id)) })
				time.Sleep(time.Second)
				if n := f.callsOf(t, g, id); n > 0 {
					t.Errorf("%d calls after a list that shows it again", n)
				}
				f.registry.change(func() {
					next := f.registry.list[id]
					next.Born++
					f.registry.list[id] = next
				})
				time.Sleep(time.Second)
				if f.callsOf(t, g, id) == 0 {
					t.Error("no calls to the next incarnation")
				}
			})
		})
	}
}

// TestNoticeOfFormerIncarnation guards against a late answer that is taken for the next
// incarnation's.
func TestNoticeOfFormerIncarnation(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		old := runner.Target{ID: "s1", Addr: "s1:1"}
		f.registry.change(func() {
			next := f.registry.list["s1"]
			next.Born++
			f.registry.list["s1"] = next
		})
		time.Sleep(time.Second)
		f.runners.observe(old, runner.Notice{Leaving: true, Pause: time.Minute})
		if f.callsOf(t, g, "s1") == 0 {
			t.Error("no calls")
		}
	})
}

// TestDrainingIsNotTakenBack checks that an upstream that the registry listed as draining
// gets no work when an older list shows it as serving.
func TestDrainingIsNotTakenBack(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		for _, draining := range []bool{true, false} {
			f.registry.change(func() {
				r := record("s1", "desk", upstream.RoleService)
				r.Draining = draining
				f.registry.list["s1"] = r
			})
			time.Sleep(time.Second)
		}
		if n := f.callsOf(t, g, "s1"); n > 0 {
			t.Errorf("%d calls", n)
		}
	})
}

// TestLeavingIsToldToPeers checks that another gateway learns of it, and that a pause is
// between an upstream and one gateway.
func TestLeavingIsToldToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		g2 := f.start(t, "g2")
		defer g2.Close()
		g1 := f.start(t, "g1", "g2")
		defer g1.Close()
		time.Sleep(2 * time.Second)
		// The fakes observe for the gateway that was started last.
		f.notify("s1", runner.Notice{Leaving: true})
		f.notify("s2", runner.Notice{Pause: time.Minute})
		time.Sleep(2 * SweepEvery)
		if n := f.callsOf(t, g2, "s1"); n > 0 {
			t.Errorf("%d calls of the other gateway to an upstream that leaves", n)
		}
		if f.callsOf(t, g2, "s2") == 0 {
			t.Error("no calls of the other gateway to an upstream that paused the first one")
		}
	})
}

// TestPausedUpstreamGetsNoWork checks each role, that retries keep to the pause, and that it
// ends.
func TestPausedUpstreamGetsNoWork(t *testing.T) {
	for _, id := range []upstream.ID{"s1", "d1", "p1"} {
		t.Run(string(id), func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				f.notify(id, runner.Notice{Pause: 15 * time.Second})
				// Retries keep to the pause, too, also if there is nothing else to try.
				for kind, m := range map[string]*contract.Message{
					"call": plainMessage("/read/1"), "stream": testMessage("/resumable/1"), "prefill": testMessage("/resumable/1"),
				} {
					f.runners.queue(kind, full)
					g.Forward(context.Background(), m, &callerSink{})
				}
				for _, call := range f.runners.allCalls() {
					if strings.HasSuffix(call, "@"+string(id)) {
						t.Errorf("%s in a pause", call)
					}
				}
				time.Sleep(time.Second)
				if n := f.callsOf(t, g, id); n > 0 {
					t.Errorf("%d calls within 11 s of a pause of 15 s", n)
				}
				time.Sleep(4 * time.Second)
				if f.callsOf(t, g, id) == 0 {
					t.Error("no calls after the pause")
				}
			})
		})
	}
}

// TestAllUpstreamsPaused checks that requests are refused at once, to come back after the
// earliest end of a pause, spread over a time.
func TestAllUpstreamsPaused(t *testing.T) {
	for _, c := range []struct {
		path string
		ids  []upstream.ID
	}{{"/read/1", []upstream.ID{"s1", "s2"}}, {"/plain-stream/1", []upstream.ID{"s1", "s2"}}, {"/resumable/1", []upstream.ID{"d1", "d2"}}} {
		t.Run(c.path, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				f.notify(c.ids[0], runner.Notice{Pause: 8 * time.Second})
				f.notify(c.ids[1], runner.Notice{Pause: 4 * time.Second})
				start, before := time.Now(), len(f.runners.allCalls())
				var after []time.Duration
				for range 20 {
					refusal := g.Forward(context.Background(), testMessage(c.path), &callerSink{})
					checkRefusal(t, refusal, contract.CodeOverCapacity, contract.RanNo)
					after = append(after, refusal.After)
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("refused after %v", took)
				}
				if calls := f.runners.allCalls()[before:]; len(calls) > 0 {
					t.Errorf("calls %v", calls)
				}
				slices.Sort(after)
				if after[0] < 4*time.Second || after[19] > 6*time.Second || after[19]-after[0] < time.Second {
					t.Errorf("retry delays from %v to %v", after[0], after[19])
				}
				time.Sleep(after[0])
				checkRefusal(t, g.Forward(context.Background(), testMessage(c.path), &callerSink{}), "", contract.RanNo)
			})
		})
	}
}

// TestPauseAfterReservation guards against a stream that is sent to an engine that asked for
// a pause while the prompt was prefilled.
func TestPauseAfterReservation(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("prefill", answer{result: success.result, takes: 200 * time.Millisecond})
		var reserved upstream.ID
		time.AfterFunc(100*time.Millisecond, func() {
			for _, call := range f.runners.allCalls() {
				if id, ok := strings.CutPrefix(call, "reserve@"); ok {
					reserved = upstream.ID(id)
				}
			}
			f.runners.observe(runner.Target{ID: reserved, Addr: string(reserved) + ":1"}, runner.Notice{Pause: 5 * time.Second})
		})
		checkRefusal(t, g.Forward(context.Background(), testMessage("/resumable/1"), &callerSink{}), "", contract.RanNo)
		calls := f.runners.allCalls()
		if slices.Contains(calls, "stream@"+string(reserved)) || f.runners.count("prefill") != 1 || f.runners.count("stream") != 1 {
			t.Errorf("calls %v, paused %s", calls, reserved)
		}
	})
}

// roleService and roleOf return what testFleet registers an upstream as.
func roleService(id upstream.ID) directory.ServiceName {
	if roleOf(id) == upstream.RoleService {
		return "desk"
	}
	return "engines"
}

func roleOf(id upstream.ID) upstream.Role {
	return map[byte]upstream.Role{'s': upstream.RoleService, 'd': upstream.RoleDecode, 'p': upstream.RolePrefill}[id[0]]
}
