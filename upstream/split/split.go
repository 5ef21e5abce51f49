// Package split decides how many engines of a service read prompts and how many
// generate, and which ones change their role to get there.
package split

import (
	"cmp"
	"math"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// DefaultPrefillShare is the part of the engines that reads prompts. Memory at
// decode engines is what runs out first with prompts of some thousand tokens and
// answers of about a thousand; docs/MEASUREMENTS.md has the shares compared.
const DefaultPrefillShare = 0.25

// Engine is one engine that takes work.
type Engine struct {
	ID   upstream.ID
	Addr string
	Zone zone.AvailabilityZone
	Role upstream.Role
	// Sequence counts the orders that it accepted.
	Sequence uint64
}

// Change turns one engine to another role.
type Change struct {
	Engine
	To upstream.Role
}

// Plan gives the changes that lead to the wanted share, at least one engine of
// each role. Engines are taken from the zones that have most of their role, so
// that prompts move between zones as little as can be.
func Plan(engines []Engine, share float64) []Change {
	if len(engines) < 2 {
		return nil
	}
	want := int(math.Round(share * float64(len(engines))))
	want = min(max(want, 1), len(engines)-1)
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	var changes []Change
	for {
		have := count(list, upstream.RolePrefill)
		from, to := upstream.RolePrefill, upstream.RoleDecode
		switch {
		case have == want:
			return changes
		case have < want:
			from, to = to, from
		}
		at := most(list, from)
		changes = append(changes, Change{list[at], to})
		list[at].Role = to
	}
}

func count(list []Engine, role upstream.Role) int {
	n := 0
	for _, e := range list {
		if e.Role == role {
			n++
		}
	}
	return n
}

// most gives the first engine of a role in the zone that has most of that role.
func most(list []Engine, role upstream.Role) int {
	perZone := make(map[zone.AvailabilityZone]int)
	for _, e := range list {
		if e.Role == role {
			perZone[e.Zone]++
		}
	}
	best := -1
	for i, e := range list {
		if e.Role == role && (best < 0 || perZone[e.Zone] > perZone[list[best].Zone]) {
			best = i
		}
	}
	return best
}
