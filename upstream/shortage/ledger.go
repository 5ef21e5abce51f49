// Package shortage decides which requests may take the room of a service's engines while
// there is too little of it: urgent ones first, across all gateways, and none that cannot
// begin in time. It answers a load of more requests than the engines can hold, of kinds
// that differ in priority.
//
// Requests have ranks, 0 the most urgent. Each process counts how many requests of each rank
// found no room soon enough and states that to its peers. From all counts each process
// derives the same part of the engines on which less urgent requests must leave headroom.
//
// The types have no lock of their own: they are kept in shared tables.
package shortage

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
)

// HalfLife is the time in which an observation loses half of its weight: shortages of a
// second must be noticed and ended ones forgotten within a few seconds.
const HalfLife = time.Second

// StatementMaxAge is how long the statement of a peer counts, three rounds of exchange.
const StatementMaxAge = 1500 * time.Millisecond

// Tally counts the requests of one service at one process, by rank. The counts fade with
// HalfLife.
type Tally struct {
	// Asked counts the requests that were placed or refused for lack of room, Short those
	// of them that were refused or waited longer than PromptWait of their allowed wait.
	Asked, Short []float64
}

// PromptWait is the part of the allowed wait within which a request counts as placed soon
// enough.
const PromptWait = 0.25

func (t *Tally) fade(factor float64) {
	for i := range t.Asked {
		t.Asked[i] *= factor
		t.Short[i] *= factor
	}
}

// maxCount bounds one count, so that the sum over all peers is finite: a process gets far fewer
// requests in a second.
const maxCount = 1e9

// valid reports whether a process can have the counts: as many short as asked at most.
func (t Tally) valid() bool {
	if len(t.Asked) != len(t.Short) || len(t.Asked) > directory.MaxRanks {
		return false
	}
	for i, asked := range t.Asked {
		// NaN fails each comparison.
		if short := t.Short[i]; !(short >= 0 && short <= asked && asked <= maxCount) {
			return false
		}
	}
	return true
}

// peerTally is a peer's tally with the time of its arrival.
type peerTally struct {
	Tally
	at time.Time
}

// service is the state of one service.
type service struct {
	ranks int
	own   Tally
	ownAt time.Time
	peers map[instance.Name]peerTally
	// kept is, for each rank, the part of the engines on which its requests leave headroom.
	// It never decreases with the rank.
	kept   []float64
	keptAt time.Time
	// reported is, for each rank, whether KeptChanged last found that it leaves headroom.
	reported []bool
	// turnovers measure how fast waiters are placed, by wait list and rank.
	turnovers map[WaitList][]turnover
}

// Ledger holds the state of all services whose requests have more than one rank.
type Ledger struct {
	services map[directory.ServiceName]*service
	// version is that of the configuration in force.
	version uint64
}

// NewLedger returns a ledger that knows no service.
func NewLedger() *Ledger {
	return &Ledger{services: make(map[directory.ServiceName]*service)}
}

// Configure sets the services whose requests have more than one rank, and their ranks. A
// service whose number of ranks changes starts anew; others are removed. An older version
// than that in force is ignored: steps that learned of two versions may come in any order.
func (l *Ledger) Configure(now time.Time, version uint64, ranks map[directory.ServiceName]int) {
	if version < l.version {
		return
	}
	l.version = version
	for name := range l.services {
		if ranks[name] <= 1 {
			delete(l.services, name)
		}
	}
	for _, s := range l.services {
		// Configurations choose the wait lists.
		s.removeIdleLists()
	}
	for name, n := range ranks {
		if s, ok := l.services[name]; n > 1 && (!ok || s.ranks != n) {
			l.services[name] = newService(now, n)
		}
	}
}

func newService(now time.Time, ranks int) *service {
	return &service{
		ranks: ranks, ownAt: now, keptAt: now,
		own:       Tally{Asked: make([]float64, ranks), Short: make([]float64, ranks)},
		peers:     make(map[instance.Name]peerTally),
		kept:      make([]float64, ranks),
		reported:  make([]bool, ranks),
		turnovers: make(map[WaitList][]turnover),
	}
}

// of returns the state of a service, with its own counts faded up to now, and the rank
// within its ranks: a request may have been ranked by an earlier configuration. It returns
// nil for a service whose requests are equally urgent.
func (l *Ledger) of(now time.Time, name directory.ServiceName, rank int) (*service, int) {
	s, ok := l.services[name]
	if !ok {
		return nil, 0
	}
	if now.After(s.ownAt) {
		s.own.fade(fadeFactor(now.Sub(s.ownAt), HalfLife))
		s.ownAt = now
	}
	return s, min(rank, s.ranks-1)
}

func fadeFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// RecordPlaced records that a request found room after a wait; allowed is the longest wait
// after which it could still begin in time.
func (l *Ledger) RecordPlaced(now time.Time, name directory.ServiceName, rank int, waited, allowed time.Duration) {
	s, rank := l.of(now, name, rank)
	if s == nil {
		return
	}
	s.own.Asked[rank]++
	if waited.Seconds() > PromptWait*allowed.Seconds() {
		s.own.Short[rank]++
	}
}

// RecordRefused records that a request was refused for lack of room.
func (l *Ledger) RecordRefused(now time.Time, name directory.ServiceName, rank int) {
	if s, rank := l.of(now, name, rank); s != nil {
		s.own.Asked[rank]++
		s.own.Short[rank]++
	}
}

// Own returns this process's counts for its peers, nil if there are none.
func (l *Ledger) Own(now time.Time) map[directory.ServiceName]Tally {
	var out map[directory.ServiceName]Tally
	for name := range l.services {
		s, _ := l.of(now, name, 0)
		if slices.Max(s.own.Asked) < minStated {
			continue
		}
		if out == nil {
			out = make(map[directory.ServiceName]Tally)
		}
		out[name] = Tally{Asked: slices.Clone(s.own.Asked), Short: slices.Clone(s.own.Short)}
	}
	return out
}

// minStated is the count below which nothing is stated, so that idle processes add nothing
// to the messages.
const minStated = 0.05

// Apply replaces what is known of a peer's counts for a service. It reports false and
// ignores counts that no process can have. Those of another number of ranks are ignored,
// too: the peer has another configuration in force.
func (l *Ledger) Apply(now time.Time, from instance.Name, name directory.ServiceName, t Tally) bool {
	if !t.valid() {
		return false
	}
	s, ok := l.services[name]
	if !ok || s.ranks != len(t.Asked) {
		return true
	}
	if _, known := s.peers[from]; known || len(s.peers) < maxPeers {
		s.peers[from] = peerTally{t, now}
	}
	return true
}

// maxPeers bounds the peers whose counts are kept; ten times the design size.
const maxPeers = 4096

// Forget removes the counts of a peer that has left the fleet.
func (l *Ledger) Forget(from instance.Name) {
	for _, s := range l.services {
		delete(s.peers, from)
	}
}

// shortShare returns the part of the requests more urgent than a rank that found no room
// soon enough, at all processes, and how many such requests were counted.
func (s *service) shortShare(now time.Time, rank int) (share, asked float64) {
	var short float64
	add := func(t Tally, weight float64) {
		for r := range min(rank, s.ranks) {
			asked += weight * t.Asked[r]
			short += weight * t.Short[r]
		}
	}
	add(s.own, 1)
	for name, p := range s.peers {
		age := now.Sub(p.at)
		if age > StatementMaxAge {
			// Forget is not called for peers that the fleet does not list.
			delete(s.peers, name)
			continue
		}
		add(p.Tally, fadeFactor(age, HalfLife))
	}
	if asked == 0 {
		return 0, 0
	}
	return short / asked, asked
}
