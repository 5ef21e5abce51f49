package table

import (
	"fmt"
	"sync"
	"testing"
)

func TestLockOrder(t *testing.T) {
	low := NewSingle(RankConfig, 0)
	high := NewSingle(RankStats, 0)
	striped := NewStriped[string, int](RankRequests, 4)
	cases := []struct {
		name       string
		outOfOrder bool
		take       func(h *HeldLocks)
	}{
		{"rising", false, func(h *HeldLocks) { low.With(h, func(*int) { high.With(h, func(*int) {}) }) }},
		{"falling", true, func(h *HeldLocks) { high.With(h, func(*int) { low.With(h, func(*int) {}) }) }},
		{"same lock twice", true, func(h *HeldLocks) { low.With(h, func(*int) { low.With(h, func(*int) {}) }) }},
		{"stripes falling", true, func(h *HeldLocks) {
			striped.withStripe(h, 3, func(map[string]int) { striped.withStripe(h, 1, func(map[string]int) {}) })
		}},
		{"stripes rising", false, func(h *HeldLocks) {
			striped.withStripe(h, 1, func(map[string]int) { striped.withStripe(h, 3, func(map[string]int) {}) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.outOfOrder && !OrderChecked {
				t.Skip("requires the lockcheck build tag: without the check, a wrong lock order can deadlock")
			}
			h := NewHeldLocks()
			defer func() {
				if got := recover() != nil; got != c.outOfOrder {
					t.Errorf("panicked: %v, want %v", got, c.outOfOrder)
				}
				if h.Count() != 0 && !c.outOfOrder {
					t.Errorf("%d locks still recorded", h.Count())
				}
			}()
			c.take(h)
		})
	}
}

func TestStripedCountsAllWrites(t *testing.T) {
	const writers, writes = 8, 500
	rows := NewStriped[string, int](RankRequests, DefaultStripes)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			h := NewHeldLocks()
			for i := range writes {
				key := fmt.Sprint(i)
				rows.With(h, key, func(m map[string]int) { m[key]++ })
			}
			_ = w
		})
	}
	wg.Wait()
	sum := 0
	rows.Each(NewHeldLocks(), func(m map[string]int) {
		for _, n := range m {
			sum += n
		}
	})
	if sum != writers*writes {
		t.Errorf("sum %d, want %d", sum, writers*writes)
	}
}

func BenchmarkStriped(b *testing.B) {
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprint("request-", i)
	}
	for _, workers := range []int{1, 4, 10} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			rows := NewStriped[string, int](RankRequests, DefaultStripes)
			var wg sync.WaitGroup
			for w := range workers {
				wg.Go(func() {
					h := NewHeldLocks()
					for i := w; i < b.N; i += workers {
						key := keys[i%len(keys)]
						rows.With(h, key, func(m map[string]int) { m[key]++ })
					}
				})
			}
			wg.Wait()
		})
	}
}
