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
	// logStdDev is the standard deviation of the logarithm of lengths.
	logStdDev = 0.6
	minPrompt = 32
	minOutput = 8
	// callsPerSecond is the rate of plain calls, half of which must not be repeated.
	callsPerSecond = 8.0
	// headroom is the factor of the accounts' rates over their part of the load.
	headroom  = 1.5
	rateBurst = 10 * time.Second
	// floodFactor is the load of the flooding account as a multiple of its part.
	floodFactor  = 8.0
	floodAccount = 3
	// leaveShare is the share of callers that leave during FaultCallersLeave, each
	// within leaveWithin after it sent its request.
	leaveShare  = 0.25
	leaveWithin = 3 * time.Second
	// sharedPrompts is the share of prompts that begin with their account's common
	// prefix of about sharedBytes.
	sharedPrompts = 0.3
	sharedBytes   = int(upstream.BlockTokens)*contract.BytesPerToken + 512
	// poisonTries is how often the poison prompt is sent.
	poisonTries    = 6
	poisonInterval = time.Second
	poisonText     = "knot-that-breaks-the-loom"
)

// kind is the kind of a planned request.
type kind uint8

const (
	// kindModel requests a completion from an engine.
	kindModel kind = iota
	// kindOnce is a plain call that must run at most once.
	kindOnce
	// kindRepeatable is a plain call that may be repeated.
	kindRepeatable
)

// plannedRequest is one request of the load.
type plannedRequest struct {
	index int
	// at is the time of arrival, as an offset from the start of the load.
	at      time.Duration
	kind    kind
	account int
	// prompt and output are set for kindModel, body for the others.
	prompt string
	output contract.Tokens
	seed   int64
	body   string
	// entry selects the entry as a fraction of the list of entries, in [0, 1).
	entry float64
	// leaveAfter is how long the caller waits before it leaves; 0 means that it stays.
	leaveAfter time.Duration
	// within marks requests within the account's rate and burst.
	within bool
	// poison marks requests that crash engines.
	poison bool
}

// cost returns the tokens that the request is charged.
func (p *plannedRequest) cost() contract.Tokens {
	if p.kind == kindModel {
		return contract.EstimateTokens(p.prompt) + p.output
	}
	return 1
}

// expected returns the complete answer to a model request.
func (p *plannedRequest) expected() string {
	return strings.Join(engine.Expected(p.prompt, p.seed, int(p.output)), "")
}

// planner generates a random load.
type planner struct {
	options  Options
	workload *fleet.Workload
	random   *rand.Rand
	requests []*plannedRequest
}

// requestsPerSecond returns the rate of model requests that offers the given share of
// the decode engines' capacity with all slots in use.
func requestsPerSecond(w *fleet.Workload, load float64) float64 {
	// stepFactor is the duration of a step with all slots in use, relative to one slot.
	stepFactor := 1 + engine.StepGrowth*float64(engine.DefaultSlots-1)
	perRequest := float64(w.Output) * engine.DefaultStep.Seconds() * stepFactor
	return load * float64(w.Decodes*engine.DefaultSlots) / perRequest
}

// newPlan generates the load of an experiment, in order of arrival. The same options and
// workload give the same load.
func newPlan(o Options, w *fleet.Workload) []*plannedRequest {
	p := &planner{options: o, workload: w, random: rand.New(rand.NewPCG(o.Seed, 0))}
	perSecond := requestsPerSecond(w, o.Load)
	p.arrivals(perSecond, 0, o.Duration, func(at time.Duration) { p.addModelRequest(at, p.pickAccount()) })
	p.arrivals(callsPerSecond, 0, o.Duration, p.addCall)
	switch o.Fault {
	case FaultFlood:
		extra := (floodFactor - 1) * perSecond * w.Accounts[floodAccount].LoadFraction
		p.arrivals(extra, o.faultStart(), o.faultEnd(), func(at time.Duration) { p.addModelRequest(at, floodAccount) })
	case FaultPoison:
		p.poison()
	}
	slices.SortStableFunc(p.requests, func(a, b *plannedRequest) int { return int(a.at - b.at) })
	for i, q := range p.requests {
		q.index = i
	}
	p.markWithinRate()
	return p.requests
}

// arrivals calls f with the times of a Poisson process between from and to.
func (p *planner) arrivals(perSecond float64, from, to time.Duration, f func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		f(at)
	}
}

// pickAccount returns the index of a random account, weighted by its part of the load.
func (p *planner) pickAccount() int {
	at := p.random.Float64()
	for i, a := range p.workload.Accounts {
		at -= a.LoadFraction
		if at < 0 {
			return i
		}
	}
	return 0
}

// length returns a random number of tokens from a log-normal distribution with the given
// mean, clamped to [least, most].
func (p *planner) length(mean, least, most contract.Tokens) contract.Tokens {
	drawn := float64(mean) * math.Exp(logStdDev*p.random.NormFloat64()-logStdDev*logStdDev/2)
	return min(most, max(least, contract.Tokens(drawn)))
}

// addModelRequest adds a completion request with a random prompt and output length.
func (p *planner) addModelRequest(at time.Duration, account int) *plannedRequest {
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

// text returns a random prompt. No two are equal.
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

// addCall adds a plain call, which with probability 1/2 must not be repeated. Its body
// identifies it; the word "entry" in it refers to no entry of the fleet.
func (p *planner) addCall(at time.Duration) {
	k := kindRepeatable
	if p.random.Float64() < 0.5 {
		k = kindOnce
	}
	q := p.add(at, k, p.pickAccount())
	q.body = fmt.Sprintf("entry %016x", p.random.Uint64())
}

func (p *planner) add(at time.Duration, k kind, account int) *plannedRequest {
	q := &plannedRequest{at: at, kind: k, account: account, entry: p.random.Float64()}
	p.requests = append(p.requests, q)
	return q
}

// poison adds one prompt that crashes engines and is sent poisonTries times.
func (p *planner) poison() {
	prompt := poisonText + " " + p.text(0, p.workload.Prompt)
	for try := range poisonTries {
		q := p.add(p.options.faultStart()+time.Duration(try)*poisonInterval, kindModel, 0)
		q.prompt, q.output, q.poison = prompt, minOutput, true
	}
}

// markWithinRate marks the requests within rate and burst, with one token bucket per
// account for the whole fleet.
func (p *planner) markWithinRate() {
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	buckets := make([]bucket, len(p.workload.Accounts))
	for i, a := range p.workload.Accounts {
		buckets[i].tokens = min(float64(a.Rate.Burst), float64(a.Rate.PerSecond)*refillTime.Seconds())
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
