package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Shape of the load.
const (
	// spread is the standard deviation of the logarithm of lengths.
	spread    = 0.6
	minPrompt = 32
	minOutput = 8
	// callsPerSecond are plain calls, half of which may not be repeated.
	callsPerSecond = 8.0
	// headroom of the accounts' rates over their part of the load.
	headroom  = 1.5
	rateBurst = 10 * time.Second
	// floodFactor is what a flooding account sends, of its own part.
	floodFactor = 8.0
	floodIndex  = 3
	// leaveShare of callers leave while FaultCallersLeave lasts, each within
	// leaveWithin.
	leaveShare  = 0.25
	leaveWithin = 3 * time.Second
	// sharedPrompts have the same beginning as others of their account.
	sharedPrompts = 0.3
	sharedBytes   = int(upstream.BlockTokens)*contract.BytesPerToken + 512
	// poisonTries is how often the sender of a poisonous prompt sends it.
	poisonTries = 6
	poisonEvery = time.Second
	poisonText  = "knot-that-breaks-the-loom"
)

// kind is what a planned request asks for.
type kind uint8

const (
	kindModel kind = iota
	kindOnce
	kindFree
)

// planned is one request of the load.
type planned struct {
	index   int
	at      time.Duration
	kind    kind
	account int
	// prompt and output are set for kindModel, body for the others.
	prompt string
	output contract.Tokens
	seed   int64
	body   string
	// entry picks the entry, from 0 to before 1.
	entry float64
	// leaveAfter is when the caller leaves; 0 means never.
	leaveAfter time.Duration
	// within says that the account is within its rate and burst.
	within bool
	// poison requests crash engines.
	poison bool
}

// cost is what the request is charged.
func (p *planned) cost() contract.Tokens {
	if p.kind == kindModel {
		return contract.EstimateTokens(p.prompt) + p.output
	}
	return 1
}

// expected is the whole answer of a model request.
func (p *planned) expected() string {
	return strings.Join(engine.Expected(p.prompt, p.seed, int(p.output)), "")
}

// planner draws a load.
type planner struct {
	options  Options
	workload *fleet.Workload
	random   *rand.Rand
	requests []*planned
}

// requestsPerSecond is the offered load of model requests.
func requestsPerSecond(w *fleet.Workload, load float64) float64 {
	grown := 1 + engine.StepGrowth*float64(engine.DefaultSlots-1)
	perRequest := float64(w.Output) * engine.DefaultStep.Seconds() * grown
	return load * float64(w.Decodes*engine.DefaultSlots) / perRequest
}

// newPlan draws the load of an experiment, the same for the same seed.
func newPlan(o Options, w *fleet.Workload) []*planned {
	p := &planner{options: o, workload: w, random: rand.New(rand.NewPCG(o.Seed, 0))}
	perSecond := requestsPerSecond(w, o.Load)
	p.arrivals(perSecond, 0, o.Duration, func(at time.Duration) { p.model(at, p.pickAccount()) })
	p.arrivals(callsPerSecond, 0, o.Duration, p.call)
	switch o.Fault {
	case FaultFlood:
		extra := (floodFactor - 1) * perSecond * w.Accounts[floodIndex].Part
		p.arrivals(extra, o.faultStart(), o.faultEnd(), func(at time.Duration) { p.model(at, floodIndex) })
	case FaultPoison:
		p.poison()
	}
	slices.SortStableFunc(p.requests, func(a, b *planned) int { return int(a.at - b.at) })
	for i, q := range p.requests {
		q.index = i
	}
	p.markWithin()
	return p.requests
}

// arrivals calls f at the times of a Poisson process.
func (p *planner) arrivals(perSecond float64, from, to time.Duration, f func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		f(at)
	}
}

func (p *planner) pickAccount() int {
	at := p.random.Float64()
	for i, a := range p.workload.Accounts {
		at -= a.Part
		if at < 0 {
			return i
		}
	}
	return 0
}

// length draws a number of tokens with a mean.
func (p *planner) length(mean, least, most contract.Tokens) contract.Tokens {
	drawn := float64(mean) * math.Exp(spread*p.random.NormFloat64()-spread*spread/2)
	return min(most, max(least, contract.Tokens(drawn)))
}

func (p *planner) model(at time.Duration, account int) *planned {
	q := p.add(at, kindModel, account)
	tokens := p.length(p.workload.Prompt, minPrompt, p.workload.MaxPrompt)
	q.prompt = p.text(account, tokens)
	q.output = p.length(p.workload.Output, minOutput, 4*p.workload.Output)
	q.seed = int64(p.random.Uint32())
	if p.options.Fault == FaultCallersLeave && p.options.inFault(at) && p.random.Float64() < leaveShare {
		q.leaveAfter = time.Duration(1 + p.random.Int64N(int64(leaveWithin)))
	}
	return q
}

// text draws a prompt. No two are equal.
func (p *planner) text(account int, tokens contract.Tokens) string {
	var b strings.Builder
	size := int(tokens) * contract.BytesPerToken
	if p.random.Float64() < sharedPrompts && size > 2*sharedBytes {
		beginning := fmt.Sprintf("standing orders of %s: ", p.workload.Accounts[account].ID)
		b.WriteString(strings.Repeat(beginning, sharedBytes/len(beginning)))
	}
	fmt.Fprintf(&b, "order %d: ", p.random.Uint64())
	for b.Len() < size {
		fmt.Fprintf(&b, "%x ", p.random.Uint64())
	}
	return b.String()[:size]
}

func (p *planner) call(at time.Duration) {
	k := kindFree
	if p.random.Float64() < 0.5 {
		k = kindOnce
	}
	q := p.add(at, k, p.pickAccount())
	q.body = fmt.Sprintf("entry %016x", p.random.Uint64())
}

func (p *planner) add(at time.Duration, k kind, account int) *planned {
	q := &planned{at: at, kind: k, account: account, entry: p.random.Float64()}
	p.requests = append(p.requests, q)
	return q
}

// poison adds one prompt that its caller sends again and again.
func (p *planner) poison() {
	prompt := poisonText + " " + p.text(0, p.workload.Prompt)
	for try := range poisonTries {
		q := p.add(p.options.faultStart()+time.Duration(try)*poisonEvery, kindModel, 0)
		q.prompt, q.output, q.poison = prompt, minOutput, true
	}
}

// markWithin finds the requests that keep within rate and burst, by an exact
// count over the whole fleet.
func (p *planner) markWithin() {
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	buckets := make([]bucket, len(p.workload.Accounts))
	for i, a := range p.workload.Accounts {
		buckets[i].tokens = min(float64(a.Rate.Burst), float64(a.Rate.PerSecond)*warmAccrue.Seconds())
	}
	for _, q := range p.requests {
		b, limit := &buckets[q.account], p.workload.Accounts[q.account].Rate
		accrued := float64(limit.PerSecond) * (q.at - b.at).Seconds()
		b.tokens = min(float64(limit.Burst), b.tokens+accrued)
		b.at = q.at
		if cost := float64(q.cost()); cost <= b.tokens {
			b.tokens -= cost
			q.within = true
		}
	}
}
