// Package split decides how many engines of a service read prompts and how many
// generate, and which ones change their role to get there.
package split

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Demand is what a usual request asks of engines.
type Demand struct {
	// Prompt and Output are its size; both are held at a decode engine.
	Prompt, Output contract.Tokens
	// Prefill is the time for which it occupies a prefill engine alone, Decode
	// the time for which it is one of many at a decode engine.
	Prefill, Decode time.Duration
}

// DefaultDemand is a prompt of 3,200 tokens and an output of 900, with the times
// that docs/MEASUREMENTS.md gives for them.
var DefaultDemand = Demand{Prompt: 3200, Output: 900, Prefill: 110 * time.Millisecond, Decode: 3500 * time.Millisecond}

// ReadRate is the speed at which one engine reads prompts, in tokens a second.
func (d Demand) ReadRate() float64 {
	return float64(d.Prompt) / d.Prefill.Seconds()
}

// headroom is how much more prompts can be read than outputs made: a prefill
// engine serves one prompt at a time, and those that wait hold reservations.
const headroom = 1.25

// MinGain is the least gain in requests a second for which engines change their
// role: a change takes an engine out of work for seconds.
const MinGain = 1.1

// throughput gives the requests a second that engines can serve: memory at decode
// engines or time at prefill engines runs out first.
func throughput(d Demand, memory contract.Tokens, prefill, decode int) float64 {
	held := float64(memory) / float64(max(1, d.Prompt+d.Output))
	return min(float64(prefill)/(d.Prefill.Seconds()*headroom), float64(decode)*max(1, held)/d.Decode.Seconds())
}

// Want gives the number of engines that should read prompts, out of all. It is
// have unless another number serves clearly more.
func Want(d Demand, memory contract.Tokens, all, have int) int {
	best, most := have, throughput(d, memory, have, all-have)*MinGain
	for prefill := 1; prefill < all; prefill++ {
		if t := throughput(d, memory, prefill, all-prefill); t > most {
			best, most = prefill, t
		}
	}
	return best
}

// Engine is one engine that takes work.
type Engine struct {
	ID   upstream.ID
	Addr string
	Zone zone.AvailabilityZone
	Role upstream.Role
}

// Change turns one engine to another role.
type Change struct {
	Engine
	To upstream.Role
}

// Plan gives the changes after which engines with some memory serve the demand
// best. Engines are taken from the zones that have most of their role, so that
// prompts move between zones as little as can be.
func Plan(engines []Engine, d Demand, memory contract.Tokens) []Change {
	if len(engines) < 2 {
		return nil
	}
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	want := Want(d, memory, len(list), count(list, upstream.RolePrefill))
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
