package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Times of runners that leave while requests hold reservations and wait for their prefill.
const (
	// drainBound is the time from the store's acknowledgement that a runner leaves to the
	// last request that may reach it.
	drainBound = 2 * time.Second
	// slowPrefill is below the time for which a gateway waits for a prefill, so that a
	// stream that finds two engines slow is sent up to 2.9 s after its reservation if the
	// first one fails.
	slowPrefill = 1400 * time.Millisecond
	// failingPrefill is above it: the prefill is given up.
	failingPrefill = 1600 * time.Millisecond
	// reservedStreams is the number of streams for each gateway that reserve just before
	// runners leave, and reservedFor the time between. leaversWatched is how long the
	// runners are watched.
	reservedStreams = 4
	reservedFor     = 300 * time.Millisecond
	leaversWatched  = 3500 * time.Millisecond
)

// leaver is a start of a runner whose registration says that it leaves since ackedAt.
type leaver struct {
	id      string
	ackedAt time.Time
}

// slowPrefills makes prefills so slow that the first one fails, or not, and the second one
// lasts.
func (s *soak) slowPrefills() {
	takes := failingPrefill
	for _, r := range s.runners {
		if r.phase == "prefill" {
			r.runner.SetFaults(userplatform.Faults{PrefillTakes: takes})
			takes = slowPrefill
		}
	}
}

// drain makes a runner say in the store that it leaves.
func (s *soak) drain(r *runnerNode) leaver {
	r.mustRestart = true
	if err := s.registerAs(r, "draining"); err != nil {
		s.failCheck("runner %s was not registered as leaving: %v", r.id(), err)
	}
	return leaver{r.id(), time.Now()}
}

// leaveInPrefills makes two of the decode runners leave, without any other fault, while
// streams that hold reservations there wait for slow prefills. It returns them and starts
// them again.
func (s *soak) leaveInPrefills(ctx context.Context) (leavers []leaver) {
	s.slowPrefills()
	var streams sync.WaitGroup
	defer streams.Wait()
	for _, g := range s.gateways {
		for i := range reservedStreams {
			streams.Go(func() { s.ask(ctx, http.DefaultClient, g, kinds[2+i%2], "reserved") })
		}
	}
	clock.Wait(ctx, reservedFor)
	kept := false
	for _, r := range s.runners {
		if r.phase != "decode" {
			continue
		}
		if kept {
			leavers = append(leavers, s.drain(r))
		}
		kept = true
	}
	clock.Wait(ctx, leaversWatched)
	s.heal()
	return leavers
}

// checkLeavers checks that no request reached a runner later than drainBound after the store
// acknowledged that it leaves. What a restart or a pause of the gateway may explain is left
// out.
func (s *soak) checkLeavers(leavers []leaver) {
	for _, v := range s.ledger.Visits() {
		for _, l := range leavers {
			g := s.requests[v.Request].gateway
			if l.id != v.Runner || g == nil || !v.At.After(l.ackedAt.Add(drainBound)) || g.disturbedBetween(l.ackedAt, v.At) {
				continue
			}
			s.failCheck("request %s reached runner %s %v after the store acknowledged that it leaves", v.Request, v.Runner, v.At.Sub(l.ackedAt))
		}
	}
}
