package shortage

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
)

// turnoverHalfLife is the time in which an observation of the turnover loses half of its
// weight: some placements of a small gateway in a shortage.
const turnoverHalfLife = 2 * time.Second

// Weight of the assumption that a waiter is placed within firstTurnover, made as long as
// little was seen.
const (
	assumedPlacements = 1
	firstTurnover     = 100 * time.Millisecond
)

// turnover measures at which rate waiters are placed while there are any.
type turnover struct {
	placements float64
	// waiting is the time, in seconds, in which there were waiters.
	waiting float64
	at      time.Time
	// waiters is set while there are some.
	waiters bool
}

// update fades the observations up to now and counts the time with waiters.
func (t *turnover) update(now time.Time) {
	if t.at.IsZero() {
		t.at = now
	}
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	factor := fadeFactor(elapsed, turnoverHalfLife)
	t.placements *= factor
	t.waiting *= factor
	if t.waiters {
		// Time counts less the longer ago it was: the integral of the fading weight.
		t.waiting += (1 - factor) * turnoverHalfLife.Seconds() / math.Ln2
	}
	t.at = now
}

// expect is the expected time until a waiter with others ahead of it is placed.
func (t *turnover) expect(now time.Time, ahead int) time.Duration {
	t.update(now)
	perPlacement := (t.waiting + assumedPlacements*firstTurnover.Seconds()) / (t.placements + assumedPlacements)
	return time.Duration(float64(ahead+1) * perPlacement * float64(time.Second))
}

// Orders reports whether the requests of a service differ in urgency.
func (l *Ledger) Orders(name directory.ServiceName) bool {
	return l.services[name] != nil
}

// WaitList names the waiters of a service that wait for the same engines. Those of other lists
// say nothing about when they are placed.
type WaitList string

// turnoverOf returns the turnover of a wait list by rank, updated to now.
func (s *service) turnoverOf(now time.Time, list WaitList) []turnover {
	t, ok := s.turnovers[list]
	if !ok {
		t = make([]turnover, s.ranks)
		s.turnovers[list] = t
	}
	for r := range t {
		t[r].update(now)
	}
	return t
}

// removeIdleLists removes the turnover of wait lists without waiters.
func (s *service) removeIdleLists() {
	maps.DeleteFunc(s.turnovers, func(_ WaitList, t []turnover) bool {
		return !slices.ContainsFunc(t, func(t turnover) bool { return t.waiters })
	})
}

// RecordWaiters records how many waiters of each rank a wait list has. Ranks of an earlier
// configuration beyond those of the service count for the last.
func (l *Ledger) RecordWaiters(now time.Time, name directory.ServiceName, list WaitList, waiters []int) {
	s, _ := l.of(now, name, 0)
	if s == nil {
		return
	}
	t := s.turnoverOf(now, list)
	for r := range t {
		t[r].waiters = false
	}
	for r, n := range waiters {
		if n > 0 {
			t[min(r, s.ranks-1)].waiters = true
		}
	}
}

// RecordWaiterPlaced records that a waiter of a rank found room.
func (l *Ledger) RecordWaiterPlaced(now time.Time, name directory.ServiceName, list WaitList, rank int) {
	if s, rank := l.of(now, name, rank); s != nil {
		s.turnoverOf(now, list)[rank].placements++
	}
}

// ExpectedWait returns the expected wait of a request of a rank with waiters of the same
// rank ahead of it in its list. More urgent ones count by how they slow its rank down.
func (l *Ledger) ExpectedWait(now time.Time, name directory.ServiceName, list WaitList, rank, ahead int) time.Duration {
	s, rank := l.of(now, name, rank)
	if s == nil {
		return 0
	}
	return s.turnoverOf(now, list)[rank].expect(now, ahead)
}

// Waiter is a request that found no room at once.
type Waiter struct {
	Service directory.ServiceName
	List    WaitList
	Rank    int
	// Ahead counts the waiters of its rank that come before it in its list.
	Ahead int
	// Left is how long it may wait to begin within its objective.
	Left time.Duration
	// Repeat is set if its caller was refused before, so that it is late already.
	Repeat bool
}

// InVain decides whether a request would wait in vain: those ahead of it are expected to use
// up its time, or it is late and requests that can still be in time find no room either.
func (l *Ledger) InVain(now time.Time, w Waiter) bool {
	if w.Repeat && l.Short(now, w.Service, w.Rank) {
		return true
	}
	return l.ExpectedWait(now, w.Service, w.List, w.Rank, w.Ahead) > w.Left
}

// returnSpread is how much longer than the usual delay callers are told to stay away if all
// requests of their rank found no room.
const returnSpread = 2

// ReturnDelay returns when a refused caller should come back: between half and one and a
// half times the base, which random in [0, 1) selects, and up to 1+returnSpread times as
// long in a full shortage, so that callers do not return into it together. limit bounds it.
func (l *Ledger) ReturnDelay(now time.Time, name directory.ServiceName, rank int, base, limit time.Duration, random float64) time.Duration {
	share := l.ShortShare(now, name, rank)
	return min(limit, time.Duration(float64(base)*(0.5+random)*(1+returnSpread*share)))
}
