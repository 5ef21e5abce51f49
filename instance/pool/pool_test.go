package pool

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// The step that an effect returns must be queued and run.
func TestStepReturnedByEffectRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{Workers: 2})
		defer p.Close()
		done := make(chan int, 1)
		step := func(*table.HeldLocks) []Effect {
			return []Effect{{Lane: "test", Perform: func(context.Context) Step {
				return func(*table.HeldLocks) []Effect { done <- 7; return nil }
			}}}
		}
		if err := p.Submit(step); err != nil {
			t.Fatal(err)
		}
		if got := <-done; got != 7 {
			t.Errorf("got %d", got)
		}
	})
}

func TestLaneLimitsConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, calls = 3, 20
		p := New(Options{Workers: 2, Lanes: map[Lane]int{"net": limit}})
		defer p.Close()
		var running, peak, ended atomic.Int32
		effect := Effect{Lane: "net", Perform: func(context.Context) Step {
			n := running.Add(1)
			for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
			}
			time.Sleep(time.Second)
			running.Add(-1)
			ended.Add(1)
			return nil
		}}
		for range calls {
			p.StartEffects(effect)
		}
		time.Sleep(calls * time.Second)
		if peak.Load() != limit || ended.Load() != calls {
			t.Errorf("peak concurrency %d, want %d; ended calls %d, want %d", peak.Load(), limit, ended.Load(), calls)
		}
	})
}

// A panic in a step or an effect must leave the workers running and the table locks
// free: the last step locks the table that was locked when the first one panicked.
func TestPanicEndsOneStepOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var panics atomic.Int32
		p := New(Options{Workers: 1, OnPanic: func(any, []byte) { panics.Add(1) }})
		defer p.Close()
		shared := table.NewSingle(table.RankStats, 0)
		failed := make(chan any, 1)
		_ = p.Submit(func(h *table.HeldLocks) []Effect {
			shared.With(h, func(*int) { panic("one request") })
			return nil
		})
		p.StartEffects(Effect{
			Perform: func(context.Context) Step { panic("one call") },
			OnPanic: func(reason any) Step {
				return func(*table.HeldLocks) []Effect { failed <- reason; return nil }
			},
		})
		ran := make(chan bool, 1)
		_ = p.Submit(func(h *table.HeldLocks) []Effect {
			shared.With(h, func(*int) { ran <- true })
			return nil
		})
		<-ran
		if reason := <-failed; reason != "one call" || panics.Load() != 2 {
			t.Errorf("OnPanic of the effect got %v, want \"one call\"; %d panics reported, want 2", reason, panics.Load())
		}
	})
}

func TestQueueLimitAndClose(t *testing.T) {
	p := New(Options{Workers: 1, QueueLimit: 1})
	block := make(chan struct{})
	started := make(chan struct{})
	_ = p.Submit(func(*table.HeldLocks) []Effect { close(started); <-block; return nil })
	<-started
	noop := func(*table.HeldLocks) []Effect { return nil }
	if err := p.Submit(noop); err != nil {
		t.Errorf("queue empty: %v", err)
	}
	if err := p.Submit(noop); err != ErrFull {
		t.Errorf("queue full: %v, want ErrFull", err)
	}
	close(block)
	p.Close()
	if err := p.Submit(noop); err != ErrClosed {
		t.Errorf("after close: %v, want ErrClosed", err)
	}
}

func BenchmarkPool(b *testing.B) {
	for _, workers := range []int{1, 4, 10} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := New(Options{Workers: workers})
			defer p.Close()
			var wg sync.WaitGroup
			wg.Add(b.N)
			step := func(*table.HeldLocks) []Effect { wg.Done(); return nil }
			for range b.N {
				p.Enqueue(step)
			}
			wg.Wait()
		})
	}
}
