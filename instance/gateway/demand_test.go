package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// TestDemandIsLearned checks that a gateway learns the demand from its requests, that its
// peer knows the same, and that a gateway that starts after all others have ended does.
func TestDemandIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		g1, g2 := f.start(t, "g1"), f.start(t, "g2")
		time.Sleep(2 * SweepEvery)
		stream := answer{
			result: runner.Result{Reach: runner.Answered, Status: 200, Load: runner.Load{Known: true, Running: 4}},
			events: 20, gap: 50 * time.Millisecond,
		}
		for range 20 {
			f.runners.queue("prefill", answer{result: success.result, takes: 100 * time.Millisecond})
			f.runners.queue("stream", stream)
			checkRefusal(t, g1.Forward(context.Background(), testMessage("/stream/1"), &callerSink{}), "", contract.RanNo)
		}
		time.Sleep(DemandSaveEvery + 2*SweepEvery)
		synctest.Wait()
		check := func(g *Gateway) {
			t.Helper()
			e := g.estimateDemand(table.NewHeldLocks(), "engines")
			// An event has 10 tokens: 50 ms a event are 5 ms a token.
			decode := e.DecodeTime(4)
			if !e.Known() || e.Prompt != 1000 || e.PrefillRate < 9_000 || e.PrefillRate > 11_000 ||
				decode < 450*time.Millisecond || decode > 1100*time.Millisecond {
				t.Errorf("%s: %+v with %s to decode, want 1,000 tokens at 10,000 a second and 5 ms a token", g.options.Self.Name, e, decode)
			}
		}
		check(g1)
		check(g2)
		g1.Close()
		g2.Close()
		g3 := f.start(t, "g3")
		defer g3.Close()
		time.Sleep(SweepEvery)
		synctest.Wait()
		check(g3)
	})
}

// TestFirstOutputsDoNotCount checks that the outputs of the streams that end soon after the
// start, which are the short ones, do not make the demand look smaller than it is.
func TestFirstOutputsDoNotCount(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		play := func() {
			for range 20 {
				// 50 of at most 100 tokens.
				checkRefusal(t, g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{}), "", contract.RanNo)
				// Within the account's rate.
				time.Sleep(200 * time.Millisecond)
			}
		}
		play()
		if e := g.estimateDemand(table.NewHeldLocks(), "engines"); e.Output != 100 {
			t.Errorf("mean output %d soon after the start, want the expected 100", e.Output)
		}
		time.Sleep(testMessage("").CallerTimeout)
		play()
		if e := g.estimateDemand(table.NewHeldLocks(), "engines"); e.Output >= 90 {
			t.Errorf("mean output %d, want less since only 50 were taken", e.Output)
		}
	})
}

// TestInvalidDemandIsIgnored checks that a demand that no process can have counted neither
// stops a gateway nor is used.
func TestInvalidDemandIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.registry.demand = manyTokens()
		tally := f.registry.demand["engines"]
		tally.Requests = -1
		f.registry.demand["engines"] = tally
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(SweepEvery)
		synctest.Wait()
		if !g.Ready() {
			t.Error("not ready")
		}
		if e := g.estimateDemand(table.NewHeldLocks(), "engines"); e.Known() {
			t.Errorf("%+v is known from an invalid tally", e)
		}
	})
}
