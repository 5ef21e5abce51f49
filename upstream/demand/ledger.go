package demand

import (
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// Ledger holds the tallies of this process and the latest ones of its peers.
type Ledger struct {
	services map[directory.ServiceName]*service
}

// service is the state of one service.
type service struct {
	own   Tally
	ownAt time.Time
	// halvedAt is when the distributions of own were last halved.
	halvedAt time.Time
	// estimate is the last estimate, made at estimatedAt.
	estimate    Estimate
	estimatedAt time.Time
	peers       map[instance.Name]peerTally
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
		s = &service{ownAt: now, halvedAt: now, peers: make(map[instance.Name]peerTally)}
		l.services[name] = s
	}
	if now.After(s.ownAt) {
		s.own.fade(fadeFactor(now.Sub(s.ownAt)))
		s.ownAt = now
	}
	if times := now.Sub(s.halvedAt) / HalfLife; times > 0 {
		s.own.halve(int(times))
		s.halvedAt = s.halvedAt.Add(times * HalfLife)
	}
	return s
}

// RecordRequest records a request that arrived, whether or not it will be served. output
// is the expected one, most the largest possible.
func (l *Ledger) RecordRequest(now time.Time, name directory.ServiceName, prompt, output, most contract.Tokens) {
	t := &l.of(now, name).own
	t.Requests++
	t.Prompt += float64(prompt)
	t.Output += float64(output)
	t.MostOutput += float64(most)
	t.SizeSquared += math.Pow(float64(prompt+output), 2)
}

// minMeasuredPrompt is the shortest prompt, in tokens, used to measure the prefill rate:
// the time of a shorter one is mostly overhead.
const minMeasuredPrompt = 500

// RecordPrefill records a prefill and the time that it took, with its wait.
func (l *Ledger) RecordPrefill(now time.Time, name directory.ServiceName, prompt contract.Tokens, took time.Duration) {
	if prompt < minMeasuredPrompt || took <= 0 {
		return
	}
	l.of(now, name).own.PrefillRates.add(float64(prompt) / took.Seconds())
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
	if expected <= 0 || taken <= 0 {
		return
	}
	t := &l.of(now, name).own
	t.Ended++
	t.ExpectedOfEnded += float64(expected)
	t.TakenByEnded += float64(taken)
	t.OutputRatios.add(float64(taken) / float64(expected))
}

// Own returns this process's tallies for its peers, nil if there are none.
func (l *Ledger) Own(now time.Time) map[directory.ServiceName]Tally {
	var out map[directory.ServiceName]Tally
	for name := range l.services {
		s := l.of(now, name)
		if s.own.Requests == 0 {
			continue
		}
		if out == nil {
			out = make(map[directory.ServiceName]Tally)
		}
		out[name] = s.own.clone()
	}
	return out
}

// Apply replaces what is known of a peer's tally for a service. It reports false and
// ignores a tally that no process can have counted. Tallies of more than maxPeers are ignored
// too.
func (l *Ledger) Apply(now time.Time, from instance.Name, name directory.ServiceName, t Tally) bool {
	if !t.valid() {
		return false
	}
	peers := l.of(now, name).peers
	if _, ok := peers[from]; !ok && len(peers) >= maxPeers {
		return true
	}
	peers[from] = peerTally{t, now}
	return true
}

// maxPeers bounds the peers whose tallies of a service are kept; ten times the design size.
const maxPeers = 4096

// stored is the name under which the stored demand is kept among the peers.
const stored instance.Name = ""

// maxStoredRequests bounds the weight of the stored demand, in requests: it may be old.
const maxStoredRequests = 100

// Restore sets the demand that was stored by an earlier process. It fades like that of a
// peer. It reports false and ignores a tally that no process can have counted.
func (l *Ledger) Restore(now time.Time, name directory.ServiceName, t Tally) bool {
	if !t.valid() {
		return false
	}
	t = t.clone()
	if t.Requests > maxStoredRequests {
		t.fade(maxStoredRequests / t.Requests)
	}
	for t.PrefillRates.count() > maxStoredRequests || t.OutputRatios.count() > maxStoredRequests {
		t.halve(1)
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

// estimateMaxAge is how long an estimate is used: a new one takes time in proportion to the
// number of peers.
const estimateMaxAge = 250 * time.Millisecond

// Estimate returns the demand for a service as seen by this process and its peers.
func (l *Ledger) Estimate(now time.Time, name directory.ServiceName) Estimate {
	s := l.of(now, name)
	if s.estimatedAt.IsZero() || now.Sub(s.estimatedAt) >= estimateMaxAge {
		all := s.all(now)
		s.estimate, s.estimatedAt = all.estimate(), now
	}
	return s.estimate
}

// all sums the tallies of this process and its peers.
func (s *service) all(now time.Time) Tally {
	sum := s.own.clone()
	for _, p := range s.peers {
		sum.add(p.aged(now.Sub(p.at)))
	}
	return sum
}
