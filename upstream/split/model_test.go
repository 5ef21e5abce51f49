package split

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
)

// The model plays a fleet of engines in steps of a second for hours. Requests are a fluid:
// in each step the prefill engines and the decode engines can serve so many, and what
// exceeds the smaller capacity is lost. Engines that change their role serve nothing, and
// neither do decode engines while they finish what they run before a change.

const (
	modelEngines = 20
	modelMemory  = 100_000
	modelSwitch  = 6 * time.Second
	modelHours   = 1
)

// period is a time of one kind of traffic.
type period struct {
	length         time.Duration
	prompt, output contract.Tokens
	// load is the requests per second in relation to what the best split serves.
	load float64
}

// drawPeriods draws periods of some minutes, with long prompts or long outputs, some of
// them short bursts of the other kind.
func drawPeriods(random *rand.Rand) (out []period) {
	for total := time.Duration(0); total < modelHours*time.Hour; {
		p := period{length: time.Duration(4+random.IntN(16)) * time.Minute, load: 0.75 + 0.25*random.Float64()}
		p.prompt = contract.Tokens(500 * math.Exp(3*random.Float64()))
		p.output = contract.Tokens(200 * math.Exp(3*random.Float64()))
		out = append(out, p)
		total += p.length
		if random.IntN(2) == 0 {
			burst := period{8 * time.Second, p.prompt * 4, p.output / 2, p.load}
			out = append(out, burst)
			total += burst.length
		}
	}
	return out
}

const (
	modelPrefillRate = 40_000.0
	modelPace        = 2 * time.Millisecond
)

// capacities returns the requests per second that prefill and decode engines can serve.
func (p period) capacities(prefill, decode int) (float64, float64) {
	prefillTime := float64(p.prompt) / modelPrefillRate
	held := max(1, float64(modelMemory)/float64(p.prompt+p.output))
	return float64(prefill) / prefillTime, float64(decode) * held / (float64(p.output)*modelPace.Seconds() + prefillTime)
}

// best returns the throughput of the best split, and how many engines it has for prefills.
func (p period) best() (most float64, count int) {
	for prefill := 1; prefill < modelEngines; prefill++ {
		a, b := p.capacities(prefill, modelEngines-prefill)
		if t := min(a, b); t > most {
			most, count = t, prefill
		}
	}
	return most, count
}

// neededChanges is the number of role changes with which the fleet has the best split in
// each period but the bursts.
func neededChanges(periods []period, initial int) (n int) {
	have := initial
	for _, p := range periods {
		if p.length >= time.Minute {
			_, want := p.best()
			n += abs(want - have)
			have = want
		}
	}
	return n
}

// planner returns the changes for the present roles and estimate.
type planner func(list []Engine, d demand.Estimate) []Change

func learned(list []Engine, d demand.Estimate) []Change {
	return Plan(list, Model{Demand: d, Memory: modelMemory, Switch: modelSwitch})
}

// playModel returns the share of the requests that is served and the number of changes.
func playModel(random *rand.Rand, periods []period, initial int, plan planner) (served float64, changes int) {
	list := engines(initial, modelEngines-initial)
	changingUntil := make(map[upstream.ID]time.Time)
	ledger := demand.NewLedger()
	now := time.Unix(1000, 0)
	var sum, asked float64
	for _, p := range periods {
		most, _ := p.best()
		rate := p.load * most
		for range int(p.length / time.Second) {
			now = now.Add(time.Second)
			prefill, decode := 0, 0
			for i := range list {
				switch {
				case now.Before(changingUntil[list[i].ID]):
				case list[i].Role == upstream.RolePrefill:
					prefill++
				default:
					decode++
				}
				list[i].Changing = now.Before(changingUntil[list[i].ID])
			}
			a, b := p.capacities(prefill, decode)
			sum += min(rate, a, b)
			asked += rate
			// The processes see some of the requests, of random sizes.
			for range 5 {
				size := math.Exp(0.5*random.NormFloat64() - 0.125)
				prompt := contract.Tokens(float64(p.prompt) * size)
				ledger.RecordRequest(now, "s", prompt, contract.Tokens(float64(p.output)*size), contract.Tokens(float64(p.output)*size))
				ledger.RecordPrefill(now, "s", prompt, time.Duration(float64(prompt)/modelPrefillRate*float64(time.Second)))
				ledger.RecordPace(now, "s", 8, modelPace)
			}
			for _, change := range plan(list, ledger.Estimate(now, "s")) {
				changes++
				for i := range list {
					if list[i].ID == change.ID {
						list[i].Role = change.To
						changingUntil[change.ID] = now.Add(modelSwitch)
						if change.To == upstream.RolePrefill {
							changingUntil[change.ID] = now.Add(modelSwitch + time.Duration(p.output)*modelPace)
						}
					}
				}
			}
		}
	}
	return sum / asked, changes
}

// TestModel checks that roles that follow the learned demand serve more than the best fixed
// split and than a plan that is blind to the demand, and that the cost of a change and the
// error of the estimate keep the number of changes low.
func TestModel(t *testing.T) {
	noChange := func([]Engine, demand.Estimate) []Change { return nil }
	// blind plans for a demand that is not that of the requests.
	blind := func(list []Engine, d demand.Estimate) []Change {
		return learned(list, seen(200, 3200, 900, 110*time.Millisecond, 3900*time.Microsecond))
	}
	// free ignores what a change costs and how sure the estimate is.
	free := func(list []Engine, d demand.Estimate) []Change {
		m := Model{Demand: d, Memory: modelMemory}
		best := CountRole(list, upstream.RolePrefill)
		for prefill := 1; d.Known() && prefill < len(list); prefill++ {
			if m.throughput(prefill, len(list)-prefill) > m.throughput(best, len(list)-best) {
				best = prefill
			}
		}
		var changes []Change
		for have := CountRole(list, upstream.RolePrefill); have != best; {
			from, to, step := upstream.RolePrefill, upstream.RoleDecode, -1
			if have < best {
				from, to, step = to, from, 1
			}
			index := firstInLargestZone(list, from)
			if index < 0 {
				break
			}
			changes = append(changes, Change{list[index], to})
			list[index].Role = to
			have += step
		}
		return changes
	}
	const initial = 6
	for seed := range uint64(4) {
		periods := drawPeriods(rand.New(rand.NewPCG(seed, 1)))
		play := func(initial int, plan planner) (float64, int) {
			return playModel(rand.New(rand.NewPCG(seed, 2)), periods, initial, plan)
		}
		served, changes := play(initial, learned)
		fixed := 0.0
		for prefill := 2; prefill < modelEngines; prefill += 2 {
			s, _ := play(prefill, noChange)
			fixed = max(fixed, s)
		}
		blindServed, _ := play(initial, blind)
		freeServed, freeChanges := play(initial, free)
		needed := neededChanges(periods, initial)
		t.Logf("seed %d: learned %.3f with %d changes of %d, best fixed split %.3f, blind %.3f, free %.3f with %d changes",
			seed, served, changes, needed, fixed, blindServed, freeServed, freeChanges)
		if served < 0.95 || served < fixed+0.03 {
			t.Errorf("seed %d: %.3f served, the best fixed split serves %.3f", seed, served, fixed)
		}
		if served < blindServed+0.03 {
			t.Errorf("seed %d: %.3f served, a plan blind to the demand serves %.3f", seed, served, blindServed)
		}
		if changes > needed*3/2 {
			t.Errorf("seed %d: %d changes, %d are needed", seed, changes, needed)
		}
		if freeChanges <= needed*3/2 {
			t.Errorf("seed %d: only %d changes without their cost, so that this test shows nothing", seed, freeChanges)
		}
	}
}
