package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

const ms = time.Millisecond

// TestFirstTokenIn checks whether a prompt of 1,000 tokens, which takes 100 ms to
// prefill, is estimated to have its first token within the slack.
func TestFirstTokenIn(t *testing.T) {
	queue := func(tokens contract.Tokens) func(b *Board) {
		return func(b *Board) {
			for _, id := range []upstream.ID{"pa", "pb"} {
				l := loadOf(id, upstream.RolePrefill)
				l.QueuedTokens = tokens
				b.Observe(start, l)
			}
		}
	}
	link := func(backlog time.Duration) func(b *Board) {
		return func(b *Board) {
			for _, id := range []upstream.ID{"a1", "a2", "b1", "c1"} {
				l := loadOf(id, upstream.RoleDecode)
				l.TransferBacklog = backlog
				b.Observe(start, l)
			}
		}
	}
	cases := []struct {
		name   string
		change func(b *Board)
		slack  time.Duration
		at     time.Duration
		want   bool
	}{
		{"idle", func(*Board) {}, 101 * ms, 0, true},
		{"idle, too little slack", func(*Board) {}, 99 * ms, 0, false},
		{"queued", queue(2000), 301 * ms, 0, true},
		{"queued too long", queue(2000), 299 * ms, 0, false},
		{"the queue drains", queue(2000), 201 * ms, 100 * ms, true},
		{"the link is busy for too long", link(400 * ms), 300 * ms, 0, false},
		{"the link is free in time", link(200 * ms), 300 * ms, 0, true},
		{"a cached prefix may help", func(b *Board) { queue(2000)(b); b.RecordPrefix(start, "pa", 7) }, 290 * ms, 0, true},
		{"no upstreams", func(b *Board) { b.SetUpstreams(start, nil) }, 1 * ms, 0, true},
		{"stale reports are ignored", queue(99_000), 1 * ms, time.Minute, true},
	}
	for _, c := range cases {
		b, _ := newBoard(t, Options{})
		c.change(b)
		n := need
		n.Slack, n.Prefix = c.slack, 7
		needed, known := b.FirstTokenIn(start.Add(c.at), n)
		if got := !known || needed <= c.slack; got != c.want {
			t.Errorf("%s: first token in %v; want it possible within the slack: %v", c.name, needed, c.want)
		}
	}
}

// reportCacheEvents delivers a load report of an idle prefill engine with cache events.
func reportCacheEvents(b *Board, id upstream.ID, events ...upstream.CacheEvent) {
	l := loadOf(id, upstream.RolePrefill)
	l.Cache = events
	b.Observe(start, l)
}

// TestPrefixCacheAffinity checks which engine gets a prompt whose prefix pb has cached.
func TestPrefixCacheAffinity(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *Board)
		want   upstream.ID
	}{
		{"engine with the cached prefix", func(*Board) {}, "pb"},
		{"its queue costs more than the cache saves", func(b *Board) {
			l := loadOf("pb", upstream.RolePrefill)
			l.QueuedTokens = 1500
			b.Observe(start, l)
		}, "pa"},
		{"evicted here and cached at the other engine", func(b *Board) {
			reportCacheEvents(b, "pb", upstream.CacheEvent{Seq: 9, Prefix: 7})
			b.RecordPrefix(start, "pa", 7)
		}, "pa"},
		{"a gap in the cache events", func(b *Board) {
			reportCacheEvents(b, "pb", upstream.CacheEvent{Seq: 3, Prefix: 1}, upstream.CacheEvent{Seq: 5, Prefix: 1})
			b.RecordPrefix(start, "pa", 7)
		}, "pa"},
		{"a cache event of the engine", func(b *Board) { reportCacheEvents(b, "pb", upstream.CacheEvent{Seq: 1, Prefix: 7, Stored: true}) }, "pb"},
		{"after a failure", func(b *Board) { b.RecordFailure(start, "pb") }, "pa"},
	}
	for _, c := range cases {
		b, _ := newBoard(t, Options{})
		b.RecordPrefix(start, "pb", 7)
		c.change(b)
		n := need
		n.Prefix = 7
		if got := b.ChoosePrefill(start, n)[0].ID; got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestPrefillDelayAndPriorities(t *testing.T) {
	for _, c := range []struct{ window, estimate, want time.Duration }{
		{0, 100 * ms, 0}, {100 * ms, 100 * ms, 0}, {500 * ms, 100 * ms, 400*ms - prefillMargin},
	} {
		if got := PrefillDelay(c.window, c.estimate); got != c.want {
			t.Errorf("PrefillDelay(%v, %v) is %v, want %v", c.window, c.estimate, got, c.want)
		}
	}
	for _, c := range []struct{ got, want int }{
		{PrefillPriority(400*ms, 400*ms), 0}, {PrefillPriority(200*ms, 400*ms), 5}, {PrefillPriority(-ms, 400*ms), 9},
		{PrefillPriority(0, 0), 0}, {DecodePriority(0), 0}, {DecodePriority(30 * ms), 9}, {DecodePriority(10 * time.Second), 1},
	} {
		if c.got != c.want {
			t.Errorf("priority %d, want %d", c.got, c.want)
		}
	}
}

// TestEveryUpstreamIsWatched builds the boards of 370 entries over 4,800 upstreams in 10
// availability zones with 9 models in two roles. An upstream that no entry watches would
// get work only by sampling. Only entries of the first two zones are built, since each
// entry watches only its own zone.
func TestEveryUpstreamIsWatched(t *testing.T) {
	const entries, upstreams, zones, models = 370, 4800, 10, 9
	place := func(i int) zone.Place {
		z := i % zones
		return zone.Place{Region: zone.Region(fmt.Sprint(z / 2)), Zone: zone.AvailabilityZone(fmt.Sprint(z))}
	}
	ups := make(map[upstream.ID]upstream.Upstream, upstreams)
	for i := range upstreams {
		id := upstream.ID(fmt.Sprint("u", i))
		u := engineAt(id, upstream.Role(1+i/zones%2), place(i))
		u.Models = []contract.ModelName{contract.ModelName(fmt.Sprint("m", i/zones/2%models))}
		ups[id] = u
	}
	watchers := make(map[upstream.ID]int)
	for e := range entries {
		if e%zones > 1 {
			continue
		}
		b, err := NewBoard(Options{Self: place(e), Seed: uint64(e)})
		if err != nil {
			t.Fatal(err)
		}
		b.SetUpstreams(start, ups)
		watched := b.Watched(start)
		if limit := DefaultWatch * 2 * models; len(watched) > limit {
			t.Fatalf("entry %d watches %d upstreams, more than %d", e, len(watched), limit)
		}
		for _, c := range watched {
			if !c.Place.SameZone(place(e)) {
				t.Fatalf("entry %d watches %s of another zone, although its own has enough", e, c.ID)
			}
			watchers[c.ID]++
		}
	}
	if inBuiltZones := 2 * upstreams / zones; len(watchers) != inBuiltZones {
		t.Errorf("%d of %d upstreams are watched", len(watchers), inBuiltZones)
	}
}
