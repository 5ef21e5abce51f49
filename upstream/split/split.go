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
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Model is what the number of engines in each role follows from.
type Model struct {
	Demand demand.Estimate
	// Memory is the KV cache capacity of one engine, in tokens; Slots bounds the
	// requests that run there, 0 for no bound.
	Memory contract.Tokens
	Slots  int
	// Switch is how long an engine is out of service while it changes its role.
	Switch time.Duration
	// Pending is set while a change is about to be ordered: a smaller gain is enough to
	// go on with it, so that the noise of the estimate does not delay it again and again.
	Pending bool
	// MissingPrefill and MissingDecode are what the engines of each role fall short of in
	// all, in engines, because they are cold or slow.
	MissingPrefill, MissingDecode float64
}

// holdTime is the time for which a request holds memory of a decode engine that is full:
// while its prompt is prefilled and while it runs.
func (m Model) holdTime() time.Duration {
	return m.Demand.PrefillTime() + m.FullDecodeTime()
}

// FullDecodeTime is the time for which the mean request runs on a decode engine whose
// memory is full.
func (m Model) FullDecodeTime() time.Duration {
	return m.Demand.DecodeTime(m.held())
}

// held is the number of mean requests that fill the memory of a decode engine.
func (m Model) held() float64 {
	held := max(1, float64(m.Memory)/float64(m.Demand.Reserved()))
	if m.Slots > 0 {
		held = min(held, float64(m.Slots))
	}
	return held
}

// prefillHeadroom is the factor by which prefill capacity should exceed decode capacity:
// a prompt that waits for a prefill engine holds memory of a decode engine, while one that
// waits for memory holds nothing.
const prefillHeadroom = 1.15

// throughput is the number of requests per second that the engines can serve, limited by
// the time of the prefill engines or the memory of the decode engines.
func (m Model) throughput(prefill, decode int) float64 {
	prefills, decodes := max(0, float64(prefill)-m.MissingPrefill), max(0, float64(decode)-m.MissingDecode)
	return min(prefills/(m.Demand.PrefillTime().Seconds()*prefillHeadroom), decodes*m.held()/m.holdTime().Seconds())
}

// PaybackTime is the time in which the gain of a change of roles must outweigh the
// requests that the changing engines cannot serve.
const PaybackTime = time.Minute

// modelError is the relative error of the model itself, which leaves out how requests
// arrive and how they are distributed over the engines.
const modelError = 0.07

// worth reports whether a gain in throughput is worth the change of so many engines. The
// gain must exceed the error of the estimate, too, so that engines do not change back and
// forth.
func (m Model) worth(from, to float64, changes, all int) bool {
	margin := modelError + m.Demand.Error
	if m.Pending {
		margin /= 2
	}
	if to <= from*(1+margin) {
		return false
	}
	outOfService := m.Switch + m.holdTime()
	lost := float64(changes) * to / float64(all) * outOfService.Seconds()
	return (to-from)*PaybackTime.Seconds() > lost
}

// WantedPrefill returns how many of all engines should run prefills. It returns have,
// the present number, unless another one is worth the change. Without an estimate it only
// ensures that each role has an engine.
func (m Model) WantedPrefill(all, have int) int {
	if all < 2 {
		return have
	}
	if !m.Demand.Known() {
		return min(max(1, have), all-1)
	}
	best, present := have, m.throughput(have, all-have)
	most := present
	for prefill := 1; prefill < all; prefill++ {
		t := m.throughput(prefill, all-prefill)
		if t > most && m.worth(present, t, abs(prefill-have), all) {
			best, most = prefill, t
		}
	}
	return best
}

func abs(n int) int {
	return max(n, -n)
}

// Inputs returns the inputs of a plan as log keys and values.
func (m Model) Inputs(engines []Engine) []any {
	prefill := CountRole(engines, upstream.RolePrefill)
	inputs := []any{"engines", len(engines), "prefill", prefill, "known", m.Demand.Known()}
	if !m.Demand.Known() {
		return inputs
	}
	return append(inputs, "wanted", m.WantedPrefill(len(engines), prefill),
		"prompt", m.Demand.Prompt, "output", m.Demand.Output, "held", m.held(), "error", m.Demand.Error,
		"prefill_ms", m.Demand.PrefillTime().Milliseconds(), "decode_ms", m.FullDecodeTime().Milliseconds())
}

// Engine is an engine that accepts work, with its present role.
type Engine struct {
	ID   upstream.ID
	Addr string
	Zone zone.AvailabilityZone
	Role upstream.Role
	// Changing is set while it changes to Role.
	Changing bool
	// Missing is the part of a sound engine that it falls short of.
	Missing float64
}

// Change is a change of an engine's role from Role to To.
type Change struct {
	Engine
	To upstream.Role
}

// Plan returns the role changes that maximize the throughput; nil if they are not worth
// it. Engines are taken from the zone with the most engines of the same role, which keeps
// KV transfers between zones few.
func Plan(engines []Engine, m Model) []Change {
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	want := m.WantedPrefill(len(list), CountRole(list, upstream.RolePrefill))
	var changes []Change
	for {
		have := CountRole(list, upstream.RolePrefill)
		from, to := upstream.RolePrefill, upstream.RoleDecode
		switch {
		case have == want:
			return changes
		case have < want:
			from, to = to, from
		}
		index := firstInLargestZone(list, from)
		if index < 0 {
			return changes
		}
		changes = append(changes, Change{list[index], to})
		list[index].Role = to
	}
}

// Missing is what the engines of a role fall short of in all.
func Missing(list []Engine, role upstream.Role) (sum float64) {
	for _, e := range list {
		if e.Role == role {
			sum += e.Missing
		}
	}
	return sum
}

// CountRole counts the engines of a role.
func CountRole(list []Engine, role upstream.Role) int {
	n := 0
	for _, e := range list {
		if e.Role == role {
			n++
		}
	}
	return n
}

// firstInLargestZone returns the index of the first engine of a role in the zone with the
// most engines of that role, or -1 if no engine has the role. Engines that are changing
// their role are left out.
func firstInLargestZone(list []Engine, role upstream.Role) int {
	perZone := make(map[zone.AvailabilityZone]int)
	for _, e := range list {
		if e.Role == role && !e.Changing {
			perZone[e.Zone]++
		}
	}
	best := -1
	for i, e := range list {
		if e.Role == role && !e.Changing && (best < 0 || perZone[e.Zone] > perZone[list[best].Zone]) {
			best = i
		}
	}
	return best
}
