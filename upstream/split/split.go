// Package split computes how many engines of a service should run prefills and how many
// decodes, and which engines have to change their role for that. It holds no state: gateways
// call it, and the one that holds the role lease carries out the changes.
package split

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Demand is the cost of a typical request.
type Demand struct {
	// Prompt and Output are its size; a decode engine holds both in memory.
	Prompt, Output contract.Tokens
	// Prefill is the time for which it occupies a prefill engine exclusively, Decode
	// the time for which it shares a decode engine with other requests.
	Prefill, Decode time.Duration
}

// DefaultDemand has a prompt of 3,200 tokens and an output of 900. For the times, see
// docs/MEASUREMENTS.md.
var DefaultDemand = Demand{Prompt: 3200, Output: 900, Prefill: 110 * time.Millisecond, Decode: 3500 * time.Millisecond}

// PrefillRate is the prefill rate of one engine, in prompt tokens per second.
func (d Demand) PrefillRate() float64 {
	return float64(d.Prompt) / d.Prefill.Seconds()
}

// prefillHeadroom is the factor by which prefill capacity exceeds decode capacity: a
// prefill engine serves one prompt at a time, and waiting prompts hold reservations.
const prefillHeadroom = 1.25

// MinGain is the least factor by which throughput must grow for engines to change their
// role: a change takes an engine out of service for seconds.
const MinGain = 1.1

// throughput is the number of requests per second that the engines can serve, limited by
// the time of the prefill engines or the memory of the decode engines. memory is the
// capacity of one engine in tokens.
func throughput(d Demand, memory contract.Tokens, prefill, decode int) float64 {
	held := float64(memory) / float64(max(1, d.Prompt+d.Output))
	return min(float64(prefill)/(d.Prefill.Seconds()*prefillHeadroom), float64(decode)*max(1, held)/d.Decode.Seconds())
}

// WantedPrefill returns how many of all engines should run prefills. It returns have,
// the present number, unless another one raises the throughput by more than MinGain.
// memory is the capacity of one engine in tokens.
func WantedPrefill(d Demand, memory contract.Tokens, all, have int) int {
	bestCount, bestThroughput := have, throughput(d, memory, have, all-have)*MinGain
	for prefill := 1; prefill < all; prefill++ {
		if t := throughput(d, memory, prefill, all-prefill); t > bestThroughput {
			bestCount, bestThroughput = prefill, t
		}
	}
	return bestCount
}

// Engine is an engine that accepts work, with its present role.
type Engine struct {
	ID   upstream.ID
	Addr string
	Zone zone.AvailabilityZone
	Role upstream.Role
}

// Change is a change of an engine's role from Role to To.
type Change struct {
	Engine
	To upstream.Role
}

// Plan returns the role changes that maximize the throughput for the demand; nil if the
// gain is too small. memory is the capacity of one engine in tokens. Engines are taken
// from the zone with the most engines of the same role, which keeps KV transfers between
// zones few.
func Plan(engines []Engine, d Demand, memory contract.Tokens) []Change {
	if len(engines) < 2 {
		return nil
	}
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	want := WantedPrefill(d, memory, len(list), countRole(list, upstream.RolePrefill))
	var changes []Change
	for {
		have := countRole(list, upstream.RolePrefill)
		from, to := upstream.RolePrefill, upstream.RoleDecode
		switch {
		case have == want:
			return changes
		case have < want:
			from, to = to, from
		}
		index := firstInLargestZone(list, from)
		changes = append(changes, Change{list[index], to})
		list[index].Role = to
	}
}

func countRole(list []Engine, role upstream.Role) int {
	n := 0
	for _, e := range list {
		if e.Role == role {
			n++
		}
	}
	return n
}

// firstInLargestZone returns the index of the first engine of a role in the zone with the
// most engines of that role, or -1 if no engine has the role.
func firstInLargestZone(list []Engine, role upstream.Role) int {
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
