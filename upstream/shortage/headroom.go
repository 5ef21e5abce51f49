package shortage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// Control of the part of the engines that keep headroom, by additive increase while urgent
// requests find no room and a slower decrease once they do.
const (
	// targetShort is the part of the urgent requests that may find no room soon enough:
	// the target is that 95 in 100 are served in time.
	targetShort = 0.05
	// controlInterval is the time between two changes of the part.
	controlInterval = 250 * time.Millisecond
	// raiseStep is added for each targetShort of urgent requests without room, up to
	// maxRaise.
	raiseStep = 0.02
	maxRaise  = 0.1
	// maxKept bounds the part: headroom for one request on each second engine carries an
	// urgent load of half of the room, and more of it would stand empty.
	maxKept = 0.5
	// lowerStep is subtracted while they find room: three seconds after a burst nothing is
	// kept any more.
	lowerStep = 0.05
	// minAsked is the number of urgent requests below which nothing is concluded.
	minAsked = 2
	// maxControlSteps bounds the changes after a time without requests.
	maxControlSteps = 40
)

// control updates the parts up to now.
func (s *service) control(now time.Time) {
	for steps := 0; now.Sub(s.keptAt) >= controlInterval; steps++ {
		if steps == maxControlSteps {
			s.keptAt = now
			return
		}
		s.keptAt = s.keptAt.Add(controlInterval)
		for rank := 1; rank < len(s.kept); rank++ {
			share, asked := s.shortShare(now, rank)
			if asked >= minAsked && share > targetShort {
				s.kept[rank] += min(maxRaise, raiseStep*share/targetShort)
			} else {
				s.kept[rank] -= lowerStep
			}
			s.kept[rank] = max(s.kept[rank-1], min(maxKept, max(0, s.kept[rank])))
		}
	}
}

// Kept returns the part of the engines, from 0 to 1, on which requests of a rank leave
// headroom for more urgent ones.
func (l *Ledger) Kept(now time.Time, name directory.ServiceName, rank int) float64 {
	s, rank := l.of(now, name, rank)
	if s == nil {
		return 0
	}
	s.control(now)
	return s.kept[rank]
}

// KeptChanged reports whether requests of a rank began or ceased to leave headroom since the
// last call.
func (l *Ledger) KeptChanged(name directory.ServiceName, rank int) bool {
	s, ok := l.services[name]
	if !ok || rank >= s.ranks {
		return false
	}
	keeps := s.kept[rank] > 0
	changed := keeps != s.reported[rank]
	s.reported[rank] = keeps
	return changed
}

// ShortShare returns the part of the requests of a rank and of more urgent ones that found no
// room soon enough, at all processes.
func (l *Ledger) ShortShare(now time.Time, name directory.ServiceName, rank int) float64 {
	s, rank := l.of(now, name, rank)
	if s == nil {
		return 0
	}
	share, _ := s.shortShare(now, rank+1)
	return share
}

// Short reports whether too many requests of a rank and of more urgent ones find no room soon
// enough.
func (l *Ledger) Short(now time.Time, name directory.ServiceName, rank int) bool {
	s, rank := l.of(now, name, rank)
	if s == nil {
		return false
	}
	share, asked := s.shortShare(now, rank+1)
	return asked >= minAsked && share > targetShort
}

// Ask is one engine to ask for a reservation and the memory to ask for: more than the
// request needs where it must leave headroom.
type Ask struct {
	roster.Choice
	Tokens contract.Tokens
}

// Headroom is what a request must leave free at engines.
type Headroom struct {
	// Kept is the part of the engines where the request leaves headroom, Most that where
	// the least urgent requests leave it.
	Kept, Most float64
	// Tokens is the headroom of one engine: room for one urgent request.
	Tokens contract.Tokens
	// Capacity is the memory of one engine, 0 if unknown.
	Capacity contract.Tokens
}

// Arrange returns the engines to ask for a reservation of the given size, best first. A
// request first asks engines where less urgent ones leave headroom and it does not, then
// those without headroom, then those where it must leave headroom itself. Engines of a higher
// class, such as ejected ones, come after all others. All processes choose the same engines,
// by a hash of their identifiers.
func (h Headroom) Arrange(choices []roster.Choice, tokens contract.Tokens) []Ask {
	asks := make([]Ask, 0, len(choices))
	order := make(map[upstream.ID]int, len(choices))
	for _, c := range choices {
		size := tokens
		switch point := hashPoint(c.ID); {
		case point < h.Kept:
			order[c.ID] = 2
			size = h.larger(tokens)
		case point >= h.Most:
			order[c.ID] = 1
		}
		asks = append(asks, Ask{c, size})
	}
	slices.SortStableFunc(asks, func(a, b Ask) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(order[a.ID], order[b.ID]))
	})
	return asks
}

// larger is what a request of the given size asks for where it leaves headroom: never more
// than an engine has. If that is unknown, an engine is taken to hold two mean requests, and a
// request above the mean leaves no headroom.
func (h Headroom) larger(tokens contract.Tokens) contract.Tokens {
	switch {
	case h.Capacity > 0:
		return max(tokens, min(tokens+h.Tokens, h.Capacity))
	case tokens > h.Tokens:
		return tokens
	}
	return tokens + h.Tokens
}

// hashPoint maps an upstream to a number in [0, 1).
func hashPoint(id upstream.ID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / math.Exp2(53)
}
