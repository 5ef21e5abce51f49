package placement

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

var (
	start = time.Unix(1000, 0)
	zoneA = zone.Place{Region: "s", Zone: "a"}
	zoneB = zone.Place{Region: "s", Zone: "b"}
	zoneC = zone.Place{Region: "t", Zone: "c"}
	model = contract.ModelName("m")
	need  = Need{Model: model, Tokens: 1000, Blocks: 2}
)

func engineAt(id upstream.ID, role upstream.Role, place zone.Place) upstream.Upstream {
	return upstream.Upstream{
		ID: id, Place: place, Role: role, State: upstream.StateServing,
		Models: []contract.ModelName{model}, SidecarAddr: string(id) + ":1",
	}
}

// loadOf returns the load report of an idle engine.
func loadOf(id upstream.ID, role upstream.Role) upstream.Load {
	return upstream.Load{
		Upstream: id, Role: role, Slots: 20, FreeSlots: 20, Blocks: 100, FreeBlocks: 100,
		PrefillPerSecond: 10_000, LinkBlocksPerSecond: 100,
	}
}

// newBoard returns a board with decode engines a1 and a2 in zone a, b1 in zone b and c1
// in another region, and prefill engines pa and pb. All have reported that they are idle.
func newBoard(t testing.TB, o Options) (*Board, map[upstream.ID]upstream.Upstream) {
	t.Helper()
	o.Self = zoneA
	b, err := NewBoard(o)
	if err != nil {
		t.Fatal(err)
	}
	ups := make(map[upstream.ID]upstream.Upstream)
	for _, u := range []upstream.Upstream{
		engineAt("a1", upstream.RoleDecode, zoneA), engineAt("a2", upstream.RoleDecode, zoneA),
		engineAt("b1", upstream.RoleDecode, zoneB), engineAt("c1", upstream.RoleDecode, zoneC),
		engineAt("pa", upstream.RolePrefill, zoneA), engineAt("pb", upstream.RolePrefill, zoneB),
	} {
		ups[u.ID] = u
	}
	b.SetUpstreams(start, ups)
	for id, u := range ups {
		b.Observe(start, loadOf(id, u.Role))
	}
	return b, ups
}

func ids(choices []Choice) []upstream.ID {
	var list []upstream.ID
	for _, c := range choices {
		list = append(list, c.ID)
	}
	slices.Sort(list)
	return list
}

func TestUnknownPolicy(t *testing.T) {
	if _, err := NewBoard(Options{Policy: "none"}); !errors.Is(err, ErrUnknownPolicy) {
		t.Errorf("error %v", err)
	}
}

// TestEligibleUpstreams checks which upstreams are among the choices after a fault.
func TestEligibleUpstreams(t *testing.T) {
	full := func(b *Board, ids ...upstream.ID) {
		for _, id := range ids {
			l := loadOf(id, upstream.RoleDecode)
			l.FreeSlots = 0
			b.Observe(start, l)
		}
	}
	all := []upstream.ID{"a1", "a2", "b1"}
	cases := []struct {
		name  string
		fault func(b *Board, ups map[upstream.ID]upstream.Upstream)
		want  []upstream.ID
	}{
		{"none", func(*Board, map[upstream.ID]upstream.Upstream) {}, all},
		{"listed as leaving by the platform", func(b *Board, _ map[upstream.ID]upstream.Upstream) { b.SetDraining(start, []upstream.ID{"a1"}) }, []upstream.ID{"a2", "b1", "c1"}},
		{"reports that it is leaving", func(b *Board, _ map[upstream.ID]upstream.Upstream) {
			l := loadOf("a1", upstream.RoleDecode)
			l.Leaving = true
			b.Observe(start, l)
		}, []upstream.ID{"a2", "b1", "c1"}},
		{"configured as draining", func(b *Board, ups map[upstream.ID]upstream.Upstream) {
			u := ups["a1"]
			u.State = upstream.StateDraining
			ups["a1"] = u
			b.SetUpstreams(start, ups)
		}, []upstream.ID{"a2", "b1", "c1"}},
		{"removed from the configuration", func(b *Board, ups map[upstream.ID]upstream.Upstream) {
			delete(ups, "a1")
			b.SetUpstreams(start, ups)
		}, []upstream.ID{"a2", "b1", "c1"}},
		{"reports a role other than the configured one", func(b *Board, _ map[upstream.ID]upstream.Upstream) {
			b.Observe(start, loadOf("a1", upstream.RolePrefill))
		}, []upstream.ID{"a2", "b1", "c1"}},
		{"zone unreachable", func(b *Board, _ map[upstream.ID]upstream.Upstream) {
			b.SetUnreachableZones(start, []zone.AvailabilityZone{"a"})
		}, []upstream.ID{"b1", "c1"}},
		{"all zones unreachable", func(b *Board, _ map[upstream.ID]upstream.Upstream) {
			b.SetUnreachableZones(start, []zone.AvailabilityZone{"a", "b", "c"})
		}, all},
		{"own zone full", func(b *Board, _ map[upstream.ID]upstream.Upstream) { full(b, "a1", "a2") }, []upstream.ID{"b1", "c1"}},
		{"all full", func(b *Board, _ map[upstream.ID]upstream.Upstream) { full(b, "a1", "a2", "b1", "c1") }, nil},
		{"ejected after three failures", func(b *Board, _ map[upstream.ID]upstream.Upstream) {
			for range 3 {
				b.RecordFailure(start, "a1")
			}
		}, []upstream.ID{"a2", "b1", "c1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, ups := newBoard(t, Options{})
			c.fault(b, ups)
			if got := ids(b.ChooseDecode(start, need)); !slices.Equal(got, c.want) {
				t.Errorf("choices %v, want %v", got, c.want)
			}
		})
	}
}

// TestBurstIsSpread sends a burst of work between two load reports. Without counting its
// own sends, the board would send all of it to the upstream with the best report.
func TestBurstIsSpread(t *testing.T) {
	for _, policy := range []string{PolicyReserve, PolicyLeastLoaded, PolicyRandomOfTwo} {
		b, _ := newBoard(t, Options{Policy: policy})
		counts := make(map[upstream.ID]int)
		for range 20 {
			counts[b.ChoosePrefill(start, need)[0].ID]++
		}
		if counts["pa"] < 6 || counts["pb"] < 6 {
			t.Errorf("%s: a burst of 20 was distributed as %v, want at least 6 each", policy, counts)
		}
	}
}

// BenchmarkDecode measures one decision for several numbers of upstreams. Its cost must
// not grow with them, also when the watched ones are full and others are sampled.
func BenchmarkDecode(b *testing.B) {
	for _, free := range []int{20, 0} {
		for _, upstreams := range []int{9, 480, 4800} {
			b.Run(fmt.Sprintf("free=%d/upstreams=%d", free, upstreams), func(b *testing.B) { benchmarkDecode(b, upstreams, free) })
		}
	}
}

func benchmarkDecode(b *testing.B, upstreams, free int) {
	board, _ := newBoard(b, Options{})
	ups := make(map[upstream.ID]upstream.Upstream, upstreams)
	for i := range upstreams {
		place := zone.Place{Region: "s", Zone: zone.AvailabilityZone(fmt.Sprint(i % 10))}
		id := upstream.ID(fmt.Sprint("d", i))
		ups[id] = engineAt(id, upstream.RoleDecode, place)
	}
	board.SetUpstreams(start, ups)
	for id := range ups {
		l := loadOf(id, upstream.RoleDecode)
		l.FreeSlots = free
		board.Observe(start, l)
	}
	now := start.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if choices := board.ChooseDecode(now, need); len(choices) > 0 {
			l := loadOf(choices[0].ID, upstream.RoleDecode)
			l.FreeSlots = free
			board.Observe(now, l)
		}
	}
}
