package split

import (
	"fmt"
	"math"
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
		share               float64
		toDecode, toPrefill int
	}{
		{"one too many", 3, 6, 0.25, 1, 0},
		{"right already", 2, 7, 0.25, 0, 0},
		{"none left to read", 0, 9, 0.25, 0, 2},
		{"none left to generate", 9, 0, 0.25, 7, 0},
		{"at least one of each", 0, 2, 0.1, 0, 1},
		{"a single engine stays", 1, 0, 0.25, 0, 0},
		{"nothing there", 0, 0, 0.25, 0, 0},
		{"large fleet", 16, 31, 0.25, 4, 0},
	}
	for _, c := range cases {
		toDecode, toPrefill := 0, 0
		seen := make(map[upstream.ID]bool)
		for _, change := range Plan(engines(c.prefill, c.decode), c.share) {
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

func TestPlanTakesFromTheFullestZone(t *testing.T) {
	list := engines(3, 6)
	list[1].Zone = list[0].Zone
	changes := Plan(list, 0.25)
	if len(changes) != 1 || changes[0].Zone != list[0].Zone {
		t.Errorf("%v does not come from %s", changes, list[0].Zone)
	}
}

func TestShare(t *testing.T) {
	cases := []struct {
		memory  contract.Tokens
		engines int
		want    int
	}{
		{42_786, 9, 3},
		{38_202, 12, 3},
		{30_307, 47, 11},
	}
	for _, c := range cases {
		got := int(math.Round(Share(DefaultDemand, c.memory) * float64(c.engines)))
		if got != c.want {
			t.Errorf("%d engines of %d tokens: %d read prompts, want %d", c.engines, c.memory, got, c.want)
		}
	}
	if more, less := Share(DefaultDemand, 80_000), Share(DefaultDemand, 20_000); more <= less {
		t.Errorf("share %v with much memory, %v with little", more, less)
	}
}
