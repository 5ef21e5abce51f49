package demand

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Estimate is what a typical request costs. Its fields are zero as long as too little was
// seen.
type Estimate struct {
	// Prompt and Output are the mean sizes; a decode engine holds both in memory.
	Prompt, Output contract.Tokens
	// PrefillRate is the prefill rate of one engine, in prompt tokens per second.
	PrefillRate float64
	// tokenBase and tokenLoad are the seconds per token of a decode engine: a part that
	// does not depend on its load, and one for each request that runs there.
	tokenBase, tokenLoad float64
	// Error is the relative standard error of the mean size of a request.
	Error float64
	// reserveRatio is the ratio to the expected output that most outputs do not exceed;
	// reserveWeight, from 0 to 1, says how well it is known.
	reserveRatio, reserveWeight float64
	// expected and most are the mean expected and the mean maximum output.
	expected, most float64
}

// Numbers of observations below which nothing is estimated.
const (
	minRequests = 8
	minPaces    = 4
)

// hintWeight is the number of ended streams from which the ratio of real to expected
// outputs counts half.
const hintWeight = 20

// rateQuantile is the share of the rates of single prefills below the rate of an engine:
// most prefills wait behind others, and a few find their prompt cached.
const rateQuantile = 0.9

// ratioQuantile is the share of the streams whose output fits in the memory that is
// reserved for them. One that needs more competes for memory with the others.
const ratioQuantile = 0.8

// loadSpread is added to the variance of the observed loads, in requests squared, so that
// a few observations at nearly equal loads give no steep slope.
const loadSpread = 2

// estimate returns the estimate that follows from the observations.
func (t *Tally) estimate() Estimate {
	e := Estimate{PrefillRate: t.PrefillRates.quantile(rateQuantile), reserveRatio: t.OutputRatios.quantile(ratioQuantile)}
	e.reserveWeight = t.OutputRatios.count() / (t.OutputRatios.count() + hintWeight)
	if t.Requests >= minRequests {
		e.Prompt = tokens(t.Prompt / t.Requests)
		e.expected, e.most = t.Output/t.Requests, t.MostOutput/t.Requests
		e.Output = tokens(e.expected * t.outputRatio())
	}
	if t.Requests >= minRequests && t.Prompt+t.Output > 0 {
		mean := (t.Prompt + t.Output) / t.Requests
		variance := max(0, t.SizeSquared/t.Requests-mean*mean)
		e.Error = math.Sqrt(variance/t.Requests) / mean
	}
	if t.Paces >= minPaces {
		load, pace := t.Load/t.Paces, t.Pace/t.Paces
		variance := max(0, t.LoadSquared/t.Paces-load*load)
		slope := (t.LoadPace/t.Paces - load*pace) / (variance + loadSpread)
		// Neither part can be negative.
		if load > 0 {
			slope = min(max(0, slope), pace/load)
		} else {
			slope = 0
		}
		e.tokenBase, e.tokenLoad = pace-slope*load, slope
	}
	return e
}

// outputRatio is the ratio of real to expected outputs.
func (t *Tally) outputRatio() float64 {
	if t.ExpectedOfEnded <= 0 {
		return 1
	}
	weight := t.Ended / (t.Ended + hintWeight)
	return 1 + weight*(t.TakenByEnded/t.ExpectedOfEnded-1)
}

// reserve returns the output for which to reserve memory: what most requests with the
// expected output do not exceed and, as far as that is not known, half way to the maximum.
func (e Estimate) reserve(expected, most float64) float64 {
	known, unknown := max(expected, expected*e.reserveRatio), (expected+most)/2
	return min(most, e.reserveWeight*known+(1-e.reserveWeight)*unknown)
}

// Reserve returns the output, in tokens, for which to reserve memory for a request.
func (e Estimate) Reserve(expected, most contract.Tokens) contract.Tokens {
	return tokens(e.reserve(float64(expected), float64(most)))
}

// Reserved is the memory that is reserved for the mean request.
func (e Estimate) Reserved() contract.Tokens {
	return e.Prompt + tokens(e.reserve(e.expected, e.most))
}

// Known reports whether enough was seen to plan with the estimate.
func (e Estimate) Known() bool {
	return e.Prompt > 0 && e.Output > 0 && e.PrefillRate > 0 && e.tokenBase+e.tokenLoad > 0
}

// PrefillTime is the time for which the mean prompt occupies a prefill engine.
func (e Estimate) PrefillTime() time.Duration {
	return seconds(float64(e.Prompt) / e.PrefillRate)
}

// DecodeTime is the time for which the mean request runs on a decode engine beside others,
// running in total.
func (e Estimate) DecodeTime(running float64) time.Duration {
	return seconds(float64(e.Output) * (e.tokenBase + e.tokenLoad*running))
}

func tokens(n float64) contract.Tokens {
	return contract.Tokens(math.Round(n))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
