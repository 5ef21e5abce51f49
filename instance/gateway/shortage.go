package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
)

// recordWaiters records how many waiters of each rank a wait list has. It is called after
// every change of the list: a count that is too high makes later requests seem to wait in vain.
func (g *Gateway) recordWaiters(h *table.HeldLocks, list waitListKey) {
	ordered := false
	g.shortages.With(h, func(l **shortage.Ledger) { ordered = (*l).Orders(list.service) })
	if !ordered {
		return
	}
	var waiters [directory.MaxRanks]int
	g.waitLists.With(h, func(lists *waitLists) {
		l, ok := (*lists)[list]
		if !ok {
			return
		}
		for _, r := range l.queue {
			waiters[r.waitRank()]++
		}
		if l.placing != nil {
			waiters[l.placing.waitRank()]++
		}
	})
	now := g.clock.Now()
	g.shortages.With(h, func(l **shortage.Ledger) {
		(*l).RecordWaiters(now, list.service, list.ofService(), waiters[:])
	})
}

// countsForRoom reports whether the outcome of the request's search for room is to be
// counted, and that it was. Only the first one counts: a later one follows a failure or the
// loss of a place. Repeats do not count: they are late whatever room there is.
func (r *request) countsForRoom() bool {
	first := r.attempts == 0 && !r.roomCounted && !r.isRepeat()
	r.roomCounted = true
	return first
}

// recordPlacement records that the request found room.
func (g *Gateway) recordPlacement(h *table.HeldLocks, now time.Time, r *request) {
	if !r.ordered() {
		return
	}
	counts := r.countsForRoom()
	g.shortages.With(h, func(l **shortage.Ledger) {
		if counts {
			(*l).RecordPlaced(now, r.service, r.rank, now.Sub(r.arrived), r.allowedWait())
		}
		if r.dequeued {
			(*l).RecordWaiterPlaced(now, r.service, r.waitListKey().ofService(), r.waitRank())
		}
	})
}

// recordNoRoom records that the request cannot begin in time for lack of room.
func (g *Gateway) recordNoRoom(h *table.HeldLocks, now time.Time, r *request) {
	if !r.ordered() || !r.countsForRoom() {
		return
	}
	g.shortages.With(h, func(l **shortage.Ledger) { (*l).RecordRefused(now, r.service, r.rank) })
}

// applyShortage takes a peer's counts of requests that found no room.
func (g *Gateway) applyShortage(h *table.HeldLocks, m relay.Message) {
	now := g.clock.Now()
	for name, tally := range m.Shortage {
		applied := false
		g.shortages.With(h, func(l **shortage.Ledger) { applied = (*l).Apply(now, m.From.Name, name, tally) })
		if !applied {
			g.log.Warn(string(eventShortageInvalid), "from", m.From.Name, "service", name)
		}
	}
}

// ShortageStatus describes the shortage of a service's engines for one rank of its requests.
type ShortageStatus struct {
	Service directory.ServiceName
	Rank    int
	// Short is the part of the requests of this rank and of more urgent ones that found no
	// room soon enough, at all gateways. Kept is the part of the engines on which requests of
	// this rank leave headroom.
	Short, Kept float64
}

// shortageStatus returns the status of all services whose requests differ in urgency.
func (g *Gateway) shortageStatus(h *table.HeldLocks, now time.Time) (out []ShortageStatus) {
	var services map[directory.ServiceName]int
	g.config.With(h, func(c **configuration) {
		if (*c).urgency != nil {
			services = (*c).urgency.Services()
		}
	})
	for _, name := range slices.Sorted(maps.Keys(services)) {
		for rank := range services[name] {
			s := ShortageStatus{Service: name, Rank: rank}
			g.shortages.With(h, func(l **shortage.Ledger) {
				s.Short, s.Kept = (*l).ShortShare(now, name, rank), (*l).Kept(now, name, rank)
			})
			out = append(out, s)
		}
	}
	return out
}

// logHeadroom logs when requests of a service begin or cease to leave headroom.
func (g *Gateway) logHeadroom(h *table.HeldLocks, now time.Time) {
	for _, s := range g.shortageStatus(h, now) {
		changed := false
		g.shortages.With(h, func(l **shortage.Ledger) { changed = (*l).KeptChanged(s.Service, s.Rank) })
		if changed {
			g.log.Info(string(eventHeadroom), "service", s.Service, "rank", s.Rank, "engines_part", s.Kept, "short_part", s.Short)
		}
	}
}
