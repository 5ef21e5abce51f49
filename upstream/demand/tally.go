// Package demand learns what requests to the engines of a service cost: the size of their
// prompts and outputs, the prefill rate of an engine, and the time that a decode engine
// takes for a token depending on the requests that run beside it. Each process counts what
// it sees in a Tally and sends it to its peers, so that a process that just started knows
// what the others know. Nothing is assumed of a service that has not been seen.
//
// A Ledger has no lock of its own: it is kept in a shared table of rank RankDemand, which
// serializes access.
package demand

import (
	"math"
	"time"
)

// HalfLife is the time in which an observation loses half of its weight. It is several
// times the duration of a role change, so that a short burst does not change the roles.
const HalfLife = 20 * time.Second

// Tally holds what one process has seen of the requests of one service. Its observations
// fade with HalfLife.
type Tally struct {
	// Requests counts the requests that arrived; Prompt and Output sum their prompts
	// and expected outputs, in tokens, SizeSquared the squares of both together, and
	// MostOutput their maximum outputs.
	Requests, Prompt, Output, SizeSquared, MostOutput float64
	// Ended counts the streams that ended normally; ExpectedOfEnded and TakenByEnded
	// sum the expected and the real outputs of these, in tokens.
	Ended, ExpectedOfEnded, TakenByEnded float64
	// Paces counts the measured streams. Load sums the requests that ran on their
	// engines, LoadSquared the squares; Pace sums the seconds per token, LoadPace the
	// products of both.
	Paces, Load, LoadSquared, Pace, LoadPace float64
	// PrefillRates holds the rates of single prefills, in prompt tokens per second and
	// with their waits. OutputRatios holds the ratios of real to expected outputs.
	PrefillRates, OutputRatios Distribution
}

// fade multiplies the weight of the observations in sums.
func (t *Tally) fade(factor float64) {
	for _, sum := range []*float64{
		&t.Requests, &t.Prompt, &t.Output, &t.SizeSquared, &t.MostOutput, &t.Ended, &t.ExpectedOfEnded, &t.TakenByEnded,
		&t.Paces, &t.Load, &t.LoadSquared, &t.Pace, &t.LoadPace,
	} {
		*sum *= factor
	}
}

// clone returns a copy that shares no memory.
func (t Tally) clone() Tally {
	t.PrefillRates, t.OutputRatios = t.PrefillRates.clone(), t.OutputRatios.clone()
	return t
}

// aged returns a copy whose observations have faded for a time.
func (t Tally) aged(elapsed time.Duration) Tally {
	t = t.clone()
	t.fade(fadeFactor(elapsed))
	t.halve(int(elapsed / HalfLife))
	return t
}

// halve halves the weight of the observations in distributions the given number of times.
func (t *Tally) halve(times int) {
	t.PrefillRates.halve(times)
	t.OutputRatios.halve(times)
}

// fadeFactor is the weight left of observations after a time.
func fadeFactor(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / HalfLife.Seconds())
}

// add adds the observations of another process.
func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Prompt += o.Prompt
	t.Output += o.Output
	t.SizeSquared += o.SizeSquared
	t.MostOutput += o.MostOutput
	t.Ended += o.Ended
	t.ExpectedOfEnded += o.ExpectedOfEnded
	t.TakenByEnded += o.TakenByEnded
	t.Paces += o.Paces
	t.Load += o.Load
	t.LoadSquared += o.LoadSquared
	t.Pace += o.Pace
	t.LoadPace += o.LoadPace
	t.PrefillRates.merge(o.PrefillRates)
	t.OutputRatios.merge(o.OutputRatios)
}

// valid reports whether all sums are finite and not negative and the distributions are
// bounded, as a peer of the same version sends them.
func (t *Tally) valid() bool {
	for _, v := range []float64{
		t.Requests, t.Prompt, t.Output, t.SizeSquared, t.MostOutput, t.Ended, t.ExpectedOfEnded, t.TakenByEnded,
		t.Paces, t.Load, t.LoadSquared, t.Pace, t.LoadPace,
	} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return t.PrefillRates.valid() && t.OutputRatios.valid()
}
