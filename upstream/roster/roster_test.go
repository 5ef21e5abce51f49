package roster

import (
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

var start = time.Unix(1000, 0)

func decode(id string) registry.Record {
	return registry.Record{ID: upstream.ID(id), Service: "s", Addr: id + ":1", Zone: "z", Role: upstream.RoleDecode}
}

func board(records ...registry.Record) *Board {
	b := NewBoard(zone.Place{Zone: "z"})
	b.Apply(start, registry.Upstreams{Version: 1, Whole: true, Present: records})
	return b
}

func ids(choices []Choice) (out []string) {
	for _, c := range choices {
		out = append(out, string(c.ID))
	}
	return out
}

var need = Need{Service: "s", Role: upstream.RoleDecode, Near: "z"}

func choice(t *testing.T, b *Board, id string) Choice {
	t.Helper()
	for _, c := range b.Choose(start, need) {
		if string(c.ID) == id {
			return c
		}
	}
	t.Fatalf("%s is no choice", id)
	return Choice{}
}

func TestChooseLeavesOut(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *Board, c Choice)
	}{
		{"draining", func(b *Board, _ Choice) {
			r := decode("a")
			r.Draining = true
			b.Apply(start, registry.Upstreams{Version: 2, Present: []registry.Record{r}})
		}},
		{"gone", func(b *Board, _ Choice) {
			b.Apply(start, registry.Upstreams{Version: 2, Gone: []upstream.ID{"a"}})
		}},
		{"not in the whole list", func(b *Board, _ Choice) {
			b.Apply(start, registry.Upstreams{Version: 2, Whole: true, Present: []registry.Record{decode("b")}})
		}},
		{"down", func(b *Board, c Choice) { b.Down(start, c) }},
		{"answered by another one", func(b *Board, c Choice) { b.Misdirected(start, c) }},
		{"changing its role", func(b *Board, _ Choice) { b.Turning("a", start.Add(time.Second)) }},
		{"dishonoring reservations", func(b *Board, c Choice) {
			for range maxRejects {
				b.Dishonored(start, c)
			}
		}},
		{"another role", func(b *Board, _ Choice) {
			r := decode("a")
			r.Role = upstream.RolePrefill
			b.Apply(start, registry.Upstreams{Version: 2, Present: []registry.Record{r}})
		}},
	}
	for _, c := range cases {
		b := board(decode("a"), decode("b"))
		c.do(b, choice(t, b, "a"))
		if got := ids(b.Choose(start, need)); len(got) != 1 || got[0] != "b" {
			t.Errorf("%s: choices %v, want only b", c.name, got)
		}
	}
}

func TestChooseOrder(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *Board, c Choice)
	}{
		{"more held", func(b *Board, c Choice) { b.Took(c, 4000) }},
		{"full", func(b *Board, c Choice) { b.Full(start, c) }},
		{"lost a KV cache", func(b *Board, c Choice) { b.KeptBadly(start, c) }},
		{"failing", func(b *Board, c Choice) {
			for range ejectAfter {
				b.Failed(start, c)
			}
		}},
		{"another zone", func(b *Board, _ Choice) {
			r := decode("a")
			r.Zone = "far"
			b.Apply(start, registry.Upstreams{Version: 2, Present: []registry.Record{r}})
		}},
	}
	for _, c := range cases {
		b := board(decode("a"), decode("b"))
		c.do(b, choice(t, b, "a"))
		if got := ids(b.Choose(start, need)); len(got) != 2 || got[0] != "b" {
			t.Errorf("%s: choices %v, want b before a", c.name, got)
		}
	}
}

// TestFreedAfterRestart checks that work of an earlier run is not taken from the
// account of the next one.
func TestFreedAfterRestart(t *testing.T) {
	b := board(decode("a"))
	old := choice(t, b, "a")
	b.Took(old, 4000)
	r := decode("a")
	r.Born = 7
	b.Apply(start, registry.Upstreams{Version: 2, Present: []registry.Record{r}})
	now := choice(t, b, "a")
	b.Took(now, 1000)
	b.Freed(old, 4000)
	if got := choice(t, b, "a"); got.Tokens != 1000 || got.Calls != 1 {
		t.Errorf("%d tokens in %d calls, want 1000 in 1", got.Tokens, got.Calls)
	}
}

// TestLapse tells upstreams that leave from registrations that lapsed while the
// registry was away.
func TestLapse(t *testing.T) {
	gone := registry.Upstreams{Version: 2, Gone: []upstream.ID{"a"}}
	cases := []struct {
		name string
		// goneAt is when the removal is heard, counted from the return.
		goneAt time.Duration
		// kept and until are how long the upstream stays.
		until time.Duration
	}{
		{"heard while away", -time.Second, LapseGrace},
		{"heard on the return", 0, LapseGrace},
		{"heard later", LapseNotice, LapseNotice},
	}
	for _, c := range cases {
		b := board(decode("a"))
		b.Away()
		back := start.Add(10 * time.Second)
		if c.goneAt < 0 {
			b.Apply(back.Add(c.goneAt), gone)
		}
		b.Back(back)
		if c.goneAt >= 0 {
			b.Apply(back.Add(c.goneAt), gone)
		}
		before := back.Add(c.until - time.Millisecond)
		if c.goneAt < c.until {
			b.Expire(before)
			if len(b.Choose(before, need)) != 1 {
				t.Errorf("%s: dropped before %v", c.name, c.until)
			}
		}
		b.Expire(back.Add(c.until))
		if len(b.Choose(back.Add(c.until), need)) != 0 {
			t.Errorf("%s: still there after %v", c.name, c.until)
		}
	}
}

func TestLapseBack(t *testing.T) {
	b := board(decode("a"))
	b.Away()
	b.Apply(start, registry.Upstreams{Version: 2, Gone: []upstream.ID{"a"}})
	b.Back(start)
	b.Apply(start, registry.Upstreams{Version: 3, Present: []registry.Record{decode("a")}})
	b.Expire(start.Add(LapseGrace))
	if len(b.Choose(start, need)) != 1 {
		t.Error("an upstream that came back was dropped")
	}
}

// TestMayRead bounds the prompts that wait at prefill engines.
func TestMayRead(t *testing.T) {
	reader := decode("p")
	reader.Role = upstream.RolePrefill
	for _, processes := range []int{1, 5, 26} {
		b := board(reader)
		c := b.Choose(start, Need{Service: "s", Role: upstream.RolePrefill})[0]
		sent := contract.Tokens(0)
		const prompt = 1000
		for b.MayRead("s", prompt, processes) && sent < 1_000_000 {
			b.Took(c, prompt)
			sent += prompt
		}
		most := PrefillBacklog.Seconds() * b.readRate / float64(processes)
		if sent < prompt || sent > max(prompt, contract.Tokens(most)) {
			t.Errorf("%d processes: %d tokens sent by each, at most %.0f may wait", processes, sent, most)
		}
	}
}

func TestServiceLoad(t *testing.T) {
	a, c := decode("a"), decode("b")
	a.Role, c.Role = upstream.RoleService, upstream.RoleService
	b := board(a, c)
	plain := Need{Service: "s", Role: upstream.RoleService}
	for _, choice := range b.Choose(start, plain) {
		load := runner.Load{Known: true, Slots: 6}
		if choice.ID == "a" {
			load.Running = 5
		}
		b.Succeeded(start, choice, time.Millisecond, load)
	}
	if got := ids(b.Choose(start, plain)); got[0] != "b" {
		t.Errorf("%v: the upstream's own count was not used", got)
	}
	if b.upstreams["a"].cost(start.Add(loadFresh), plain) != 0 {
		t.Error("a count that is out of date still speaks against an upstream")
	}
}

// TestMisdirected leaves an upstream out until it registers anew.
func TestMisdirected(t *testing.T) {
	b := board(decode("a"))
	b.Misdirected(start, choice(t, b, "a"))
	later := start.Add(MisdirectedFor / 2)
	if len(b.Choose(later, need)) != 0 {
		t.Error("an upstream whose address belongs to another one gets work")
	}
	r := decode("a")
	r.Addr, r.Born = "b:1", 7
	b.Apply(later, registry.Upstreams{Version: 2, Present: []registry.Record{r}})
	if len(b.Choose(later, need)) != 1 {
		t.Error("an upstream that registered anew gets no work")
	}
}

// TestPrefillAcrossZones reads prompts near their decode engines as far as the zone's
// part of the prefill engines reaches, and the others anywhere.
func TestPrefillAcrossZones(t *testing.T) {
	engine := func(id string, role upstream.Role, z zone.AvailabilityZone) registry.Record {
		return registry.Record{ID: upstream.ID(id), Service: "s", Addr: id, Zone: z, Role: role}
	}
	decode := []registry.Record{engine("d1", upstream.RoleDecode, "z1"), engine("d2", upstream.RoleDecode, "z2")}
	for _, c := range []struct {
		name    string
		prefill []registry.Record
		// least and most are the choices of 1000 in z1.
		least, most int
	}{
		{"enough near", []registry.Record{engine("p1", upstream.RolePrefill, "z1"), engine("p2", upstream.RolePrefill, "z2")}, 1000, 1000},
		// Half of the prompts, and a quarter of the other half by chance.
		{"too few near", []registry.Record{
			engine("p1", upstream.RolePrefill, "z1"), engine("p2", upstream.RolePrefill, "z2"),
			engine("p3", upstream.RolePrefill, "z2"), engine("p4", upstream.RolePrefill, "z2"),
		}, 575, 675},
		{"none near", []registry.Record{engine("p2", upstream.RolePrefill, "z2")}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := board(append(c.prefill, decode...)...)
			near := 0
			for range 1000 {
				if b.Choose(start, Need{Service: "s", Role: upstream.RolePrefill, Near: "z1"})[0].Zone == "z1" {
					near++
				}
			}
			if near < c.least || near > c.most {
				t.Errorf("%d of 1000 prompts near, want %d to %d", near, c.least, c.most)
			}
		})
	}
}
