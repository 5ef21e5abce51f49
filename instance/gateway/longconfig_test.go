package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
)

// arriveFor lets an answer arrive for some time, in parts. It fails when ctx ends.
func arriveFor(ctx context.Context, takes time.Duration) error {
	const parts = 20
	for range parts {
		progress.Report(ctx)
		select {
		case <-time.After(takes / parts):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// longConfig is a registry whose configuration takes time to arrive when it has changed.
type longConfig struct {
	*fakeRegistry
	takes time.Duration
	// stalls counts the next answers that stop after their first part, away is set while the
	// registry answers no read of the configuration.
	stalls atomic.Int64
	away   atomic.Bool
}

func (l *longConfig) ReadConfig(ctx context.Context) (registry.ConfigUpdate, error) {
	return l.WatchConfig(ctx, 0, 0)
}

func (l *longConfig) WatchConfig(ctx context.Context, after uint64, wait time.Duration) (registry.ConfigUpdate, error) {
	if l.away.Load() {
		return registry.ConfigUpdate{}, errRegistryDown
	}
	update, err := l.fakeRegistry.WatchConfig(ctx, after, wait)
	if l.away.Load() {
		return registry.ConfigUpdate{}, errRegistryDown
	}
	if err != nil || update.Version == after {
		update.Newest = nil
		return update, err
	}
	if l.stalls.Add(-1) >= 0 {
		progress.Report(ctx)
		<-ctx.Done()
		return registry.ConfigUpdate{}, context.Cause(ctx)
	}
	update.Transfer.Took = l.takes
	return update, arriveFor(ctx, l.takes)
}

// TestArrivingConfigurationIsNotGivenUp guards against a time for reads of the configuration that does not depend on its length.
func TestArrivingConfigurationIsNotGivenUp(t *testing.T) {
	for _, takes := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := testFleet()
			f.changes = testBounds
			f.view = &longConfig{fakeRegistry: f.registry, takes: takes}
			g := f.start(t, "g1")
			defer g.Close()
			for version := uint64(1); version <= 4; version++ {
				time.Sleep(takes + 100*time.Millisecond)
				synctest.Wait()
				if got := configVersion(g); got != version {
					t.Errorf("%v: version %d, want %d", takes, got, version)
				}
				time.Sleep(700 * time.Millisecond)
				f.registry.change(func() { f.registry.config = testConfig(version + 1) })
			}
		})
	}
}

// TestStalledConfigurationIsReadAgain guards against a read that waits for the rest of an answer that was lost.
func TestStalledConfigurationIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		f.changes = testBounds
		view := &longConfig{fakeRegistry: f.registry, takes: time.Second}
		f.view = view
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		view.stalls.Store(1)
		f.registry.change(func() { f.registry.config = testConfig(2) })
		time.Sleep(AnswerPause + view.takes + 100*time.Millisecond)
		synctest.Wait()
		if got := configVersion(g); got != 2 {
			t.Errorf("version %d, want 2", got)
		}
	})
}

// TestLongConfigurationRightAfterOutage guards against a watch that leaves a long configuration too little time after an outage.
func TestLongConfigurationRightAfterOutage(t *testing.T) {
	bounds := ChangeBounds{Config: 3 * time.Second, Upstreams: 3 * time.Second, Settle: 4 * time.Second}
	for _, outage := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, change := range []time.Duration{time.Millisecond, 350 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprint(outage, change), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := testFleet()
					f.changes = bounds
					f.view = &longConfig{fakeRegistry: f.registry, takes: 1400 * time.Millisecond}
					g := f.start(t, "g1")
					defer g.Close()
					time.Sleep(2 * time.Second)
					synctest.Wait()
					f.registry.change(func() { f.registry.config = testConfig(2) })
					time.Sleep(1400 * time.Millisecond)
					// The watch that follows is lost.
					f.registry.setSilent(true)
					time.Sleep(outage)
					f.registry.setSilent(false)
					time.Sleep(change)
					f.registry.change(func() {
						f.registry.config = testConfig(3)
						f.registry.config.Keys = map[contract.KeyHash]contract.AccountID{}
					})
					time.Sleep(max(bounds.Settle-change, bounds.Config))
					synctest.Wait()
					refusal := g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{})
					checkRefusal(t, refusal, contract.CodeKeyInvalid, contract.RanNo)
				})
			})
		}
	}
}
