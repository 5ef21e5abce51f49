package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/relay"
)

// longFetches is a network of peers in which each fetch takes time. It counts those of g1 that
// go on at the same time, and all of them.
type longFetches struct {
	*fakePeers
	takes time.Duration

	mu            sync.Mutex
	now, most, of int
}

func (l *longFetches) Fetch(ctx context.Context, addr string, w relay.Want) (relay.State, error) {
	l.mu.Lock()
	l.now++
	l.of++
	l.most = max(l.most, l.now)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.now--
		l.mu.Unlock()
	}()
	state, err := l.fakePeers.Fetch(ctx, addr, w)
	if err != nil {
		return state, err
	}
	return state, arriveFor(ctx, l.takes)
}

// withLongFetches starts a gateway g1 that reads the registry through a view, and peers that
// read it at once. Watches wait for long, since no bounds are set.
func withLongFetches(t *testing.T, takes time.Duration, test func(f *fleet, view *longConfig, g1 *Gateway, fetches *longFetches)) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		fetches := &longFetches{fakePeers: f.peers, takes: takes}
		view := &longConfig{fakeRegistry: f.registry}
		f.view, f.dialer = view, fetches
		g1 := f.start(t, "g1")
		defer g1.Close()
		f.view, f.dialer = nil, nil
		for n := range 12 {
			defer f.start(t, fmt.Sprint("g", n+2), "g1").Close()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		test(f, view, g1, fetches)
	})
}

// TestOneFetchAtATime guards against copies of a configuration from all peers to a gateway that is behind.
func TestOneFetchAtATime(t *testing.T) {
	withLongFetches(t, 2*time.Second, func(f *fleet, view *longConfig, g1 *Gateway, fetches *longFetches) {
		view.away.Store(true)
		time.Sleep(2 * time.Second)
		f.registry.change(func() { f.registry.config = testConfig(2) })
		time.Sleep(SweepEvery + fetches.takes + 100*time.Millisecond)
		synctest.Wait()
		if got := configVersion(g1); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
		if fetches.most != 1 {
			t.Errorf("%d fetches at a time", fetches.most)
		}
	})
}

// TestNoFetchWhileRegistryAnswers guards against a copy from a peer beside the registry's answer.
func TestNoFetchWhileRegistryAnswers(t *testing.T) {
	withLongFetches(t, 2*time.Second, func(f *fleet, view *longConfig, g1 *Gateway, fetches *longFetches) {
		view.takes = 4 * time.Second
		before := fetches.of
		f.registry.change(func() { f.registry.config = testConfig(2) })
		time.Sleep(view.takes + 100*time.Millisecond)
		synctest.Wait()
		if got := configVersion(g1); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
		if fetches.of != before {
			t.Errorf("%d fetches", fetches.of-before)
		}
	})
}

// TestFetchWhenWatchIsLost checks that a peer's configuration takes the place of a watch that the registry lost.
func TestFetchWhenWatchIsLost(t *testing.T) {
	withLongFetches(t, 100*time.Millisecond, func(f *fleet, _ *longConfig, g1 *Gateway, _ *longFetches) {
		// Wakes the watches of the peers only.
		f.registry.quietly(func() { f.registry.config = testConfig(2) })
		for _, g := range f.peers.others("g1") {
			g.pool.Enqueue(g.pollConfig)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := configVersion(g1); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
	})
}

// TestFetchEndsWhenRegistryAnswers guards against a fetch that goes on for a configuration that is in force already.
func TestFetchEndsWhenRegistryAnswers(t *testing.T) {
	withLongFetches(t, 10*time.Second, func(f *fleet, view *longConfig, g1 *Gateway, fetches *longFetches) {
		view.away.Store(true)
		time.Sleep(2 * time.Second)
		f.registry.change(func() { f.registry.config = testConfig(2) })
		time.Sleep(2 * time.Second)
		view.away.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if got := configVersion(g1); got != 2 || fetches.now != 0 {
			t.Errorf("version %d, %d fetches go on", got, fetches.now)
		}
	})
}
