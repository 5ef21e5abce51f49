package split

import (
	"fmt"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

func engines(prefill, decode int) []Engine {
	var out []Engine
	for i := range prefill + decode {
		e := Engine{
			ID:   upstream.ID(fmt.Sprintf("e%02d", i)),
			Zone: zone.AvailabilityZone(fmt.Sprintf("z%d", i%3)),
			Role: upstream.RoleDecode,
		}
		if i < prefill {
			e.Role = upstream.RolePrefill
		}
		out = append(out, e)
	}
	return out
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name                string
		prefill, decode     int
		memory              contract.Tokens
		toDecode, toPrefill int
	}{
		{"already optimal", 3, 6, 42_786, 0, 0},
		{"too few prefill engines", 2, 7, 42_786, 0, 1},
		{"too many prefill engines", 5, 4, 42_786, 2, 0},
		{"gain below the minimum", 4, 8, 38_202, 0, 0},
		{"no prefill engine", 0, 9, 42_786, 0, 3},
		{"no decode engine", 9, 0, 42_786, 6, 0},
		{"two decode engines", 0, 2, 42_786, 0, 1},
		{"single engine", 1, 0, 42_786, 0, 0},
		{"no engines", 0, 0, 42_786, 0, 0},
		{"large fleet", 16, 31, 30_307, 5, 0},
	}
	for _, c := range cases {
		toDecode, toPrefill := 0, 0
		seen := make(map[upstream.ID]bool)
		for _, change := range Plan(engines(c.prefill, c.decode), DefaultDemand, c.memory) {
			if seen[change.ID] {
				t.Errorf("%s: %s changes twice", c.name, change.ID)
			}
			seen[change.ID] = true
			if change.To == upstream.RoleDecode {
				toDecode++
			} else {
				toPrefill++
			}
		}
		if toDecode != c.toDecode || toPrefill != c.toPrefill {
			t.Errorf("%s: %d to decode and %d to prefill, want %d and %d", c.name, toDecode, toPrefill, c.toDecode, c.toPrefill)
		}
	}
}

func TestPlanTakesFromLargestZone(t *testing.T) {
	list := engines(5, 4)
	for i := range 3 {
		list[i].Zone = "full"
	}
	for _, change := range Plan(list, DefaultDemand, 42_786) {
		if change.Zone != "full" {
			t.Errorf("%s is taken from zone %s, want full", change.ID, change.Zone)
		}
	}
}

// TestWantedPrefillIsStable checks that no further change is wanted once the wanted
// number is reached. Otherwise engines would change back and forth.
func TestWantedPrefillIsStable(t *testing.T) {
	for all := 2; all < 60; all++ {
		for have := range all + 1 {
			want := WantedPrefill(DefaultDemand, 30_307, all, have)
			if again := WantedPrefill(DefaultDemand, 30_307, all, want); again != want {
				t.Errorf("%d of %d prefill engines: want %d, then %d", have, all, want, again)
			}
		}
	}
}
