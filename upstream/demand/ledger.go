package demand

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Bounds of the windows.
const (
	// fastestPrefill is in prompt tokens per second.
	fastestPrefill = 100_000_000
	// largestRatio is in percent.
	largestRatio = 100_000
)

// rateQuantile is the percentile of the rates of single prefills that counts as the rate
// of an engine: most prefills wait behind others, and a few find their prompt cached.
const rateQuantile = 95

// ratioQuantile is the percentile of the ratio of real to expected outputs for which memory
// is reserved. A request that needs more competes for memory with the others.
const ratioQuantile = 80

// minMeasuredPrompt is the shortest prompt, in tokens, used to measure the prefill rate:
// the time of a shorter one is mostly overhead.
const minMeasuredPrompt = 500

// Ledger holds the tallies of this process and the latest ones of its peers.
type Ledger struct {
	services map[directory.ServiceName]*service
}

// service is the state of one service.
type service struct {
	own   Tally
	ownAt time.Time
	// rates holds the prefill rates in tokens per second, ratios the ratios of real to
	// expected outputs in percent.
	rates, ratios window
	peers         map[instance.Name]peerTally
}

// peerTally is a peer's tally with the time of its arrival.
type peerTally struct {
	Tally
	at time.Time
}

func NewLedger() *Ledger {
	return &Ledger{services: make(map[directory.ServiceName]*service)}
}

// of returns the state of a service, with this process's tally faded up to now.
func (l *Ledger) of(now time.Time, name directory.ServiceName) *service {
	s, ok := l.services[name]
	if !ok {
		s = &service{
			peers: make(map[instance.Name]peerTally), ownAt: now,
			rates: newWindow(1, fastestPrefill), ratios: newWindow(1, largestRatio),
		}
		l.services[name] = s
	}
	if now.After(s.ownAt) {
		s.own.fade(fadeFactor(now.Sub(s.ownAt)))
		s.ownAt = now
	}
	return s
}

// RecordRequest records a request that arrived, whether or not it will be served. output
// is the expected one.
func (l *Ledger) RecordRequest(now time.Time, name directory.ServiceName, prompt, output contract.Tokens) {
	t := &l.of(now, name).own
	t.Requests++
	t.Prompt += float64(prompt)
	t.Output += float64(output)
	t.SizeSquared += math.Pow(float64(prompt+output), 2)
}

// RecordPrefill records a prefill and the time that it took, with its wait.
func (l *Ledger) RecordPrefill(now time.Time, name directory.ServiceName, prompt contract.Tokens, took time.Duration) {
	if prompt < minMeasuredPrompt || took <= 0 {
		return
	}
	s := l.of(now, name)
	s.rates.record(now, float64(prompt)/took.Seconds())
	count, rate := s.rates.quantile(rateQuantile)
	s.own.PrefillRate = Quantile{count, rate}
}

// RecordPace records the time that a stream takes for each token while running requests
// run on its engine, itself included.
func (l *Ledger) RecordPace(now time.Time, name directory.ServiceName, running int, perToken time.Duration) {
	t := &l.of(now, name).own
	load, pace := float64(running), perToken.Seconds()
	t.Paces++
	t.Load += load
	t.LoadSquared += load * load
	t.Pace += pace
	t.LoadPace += load * pace
}

// RecordOutput records the expected and the real output of a stream that ended normally.
func (l *Ledger) RecordOutput(now time.Time, name directory.ServiceName, expected, taken contract.Tokens) {
	if expected <= 0 {
		return
	}
	s := l.of(now, name)
	s.own.Ended++
	s.own.ExpectedOfEnded += float64(expected)
	s.own.TakenByEnded += float64(taken)
	s.ratios.record(now, 100*float64(taken)/float64(expected))
	count, ratio := s.ratios.quantile(ratioQuantile)
	s.own.OutputRatio = Quantile{count, ratio / 100}
}

// Own returns this process's tallies for its peers, nil if there are none.
func (l *Ledger) Own(now time.Time) map[directory.ServiceName]Tally {
	var out map[directory.ServiceName]Tally
	for name := range l.services {
		s := l.of(now, name)
		if s.own == (Tally{}) {
			continue
		}
		if out == nil {
			out = make(map[directory.ServiceName]Tally)
		}
		out[name] = s.own
	}
	return out
}

// Apply replaces what is known of a peer's tally for a service. It reports false and
// ignores a tally that no process can have counted.
func (l *Ledger) Apply(now time.Time, from instance.Name, name directory.ServiceName, t Tally) bool {
	if !t.valid() {
		return false
	}
	l.of(now, name).peers[from] = peerTally{t, now}
	return true
}

// stored is the name under which the stored demand is kept among the peers.
const stored instance.Name = ""

// maxStoredRequests bounds the weight of the stored demand, in requests: it may be old.
const maxStoredRequests = 100

// Restore sets the demand that was stored by an earlier process, for as long as nothing
// newer is known. It reports false and ignores a tally that no process can have counted.
func (l *Ledger) Restore(now time.Time, name directory.ServiceName, t Tally) bool {
	if t.Requests > maxStoredRequests {
		t.fade(maxStoredRequests / t.Requests)
	}
	return l.Apply(now, stored, name, t)
}

// All returns the tallies of this process and its peers together.
func (l *Ledger) All(now time.Time) map[directory.ServiceName]Tally {
	out := make(map[directory.ServiceName]Tally, len(l.services))
	for name := range l.services {
		out[name] = l.of(now, name).all(now)
	}
	return out
}

// Forget removes the tallies of a peer that has left the fleet.
func (l *Ledger) Forget(from instance.Name) {
	for _, s := range l.services {
		delete(s.peers, from)
	}
}

// Retain removes the services for which keep returns false.
func (l *Ledger) Retain(keep func(directory.ServiceName) bool) {
	for name := range l.services {
		if !keep(name) {
			delete(l.services, name)
		}
	}
}

// Estimate returns the demand for a service as seen by this process and its peers.
func (l *Ledger) Estimate(now time.Time, name directory.ServiceName) Estimate {
	all := l.of(now, name).all(now)
	return all.estimate()
}

// all sums the tallies of this process and its peers.
func (s *service) all(now time.Time) Tally {
	sum := s.own
	for _, p := range s.peers {
		faded := p.Tally
		faded.fade(fadeFactor(now.Sub(p.at)))
		sum.add(faded)
	}
	return sum
}
