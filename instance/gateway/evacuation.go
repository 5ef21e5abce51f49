package gateway

import (
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// ExclusionCounts counts changes of the evacuated zones, and requests that were refused since
// all upstreams of their service are excluded.
type ExclusionCounts struct {
	// Evacuated and Revoked count zones.
	Evacuated, Revoked uint64
	// RefusedEvacuated counts requests refused for evacuated zones, RefusedHomes those
	// refused for their home regions.
	RefusedEvacuated, RefusedHomes uint64
}

func (m *Metrics) recordEvacuations(evacuated, revoked int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exclusions.Evacuated += uint64(evacuated)
	m.exclusions.Revoked += uint64(revoked)
}

func (m *Metrics) recordExcluded(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason == roster.ReasonOutsideHomes {
		m.exclusions.RefusedHomes++
		return
	}
	m.exclusions.RefusedEvacuated++
}

// evacuations returns the evacuated zones known to this process.
func (g *Gateway) evacuations(h *table.HeldLocks) (e zone.Evacuations) {
	g.config.With(h, func(c **configuration) { e = (*c).evacuations })
	return e
}

// changeEvacuations changes the evacuated zones and hands them to the board. from names the
// source in the log: registry, or a peer.
func (g *Gateway) changeEvacuations(h *table.HeldLocks, from string, change func(zone.Evacuations) zone.Evacuations) {
	var before, after zone.Evacuations
	g.config.With(h, func(c **configuration) {
		before = (*c).evacuations
		after = change(before)
		(*c).evacuations = after
	})
	upstreams := 0
	g.board.With(h, func(b **roster.Board) {
		(*b).SetEvacuated(g.clock.Now(), after)
		upstreams = (*b).EvacuatedCount()
	})
	if evacuated, revoked := before.Changes(after); len(evacuated)+len(revoked) > 0 {
		g.metrics.recordEvacuations(len(evacuated), len(revoked))
		g.log.Info(string(eventEvacuations), "evacuated", evacuated, "revoked", revoked, "zones", after.Zones,
			"upstreams", upstreams, "row_version", after.Version, "from", from)
		if len(after.Zones) == zone.MaxEvacuated {
			g.log.Error("too many evacuated zones; those above the limit are ignored", "limit", zone.MaxEvacuated)
		}
	}
	if !before.Known() && after.Known() {
		g.becomeReady(h)
	}
}

// adoptEvacuations takes a peer's set, which is nil if the peer sent none.
func (g *Gateway) adoptEvacuations(h *table.HeldLocks, set *zone.Evacuations, from relay.Peer) {
	if set != nil {
		g.changeEvacuations(h, string(from.Name), func(e zone.Evacuations) zone.Evacuations { return e.Adopt(*set) })
	}
}

// confirmEvacuations takes the version of a peer that has the same set.
func (g *Gateway) confirmEvacuations(h *table.HeldLocks, m relay.Message) {
	own := g.evacuations(h).Stamp()
	if m.Evacuations.Version > own.Version && m.Evacuations.Digest == own.Digest {
		g.changeEvacuations(h, string(m.From.Name), func(e zone.Evacuations) zone.Evacuations { return e.Confirm(m.Evacuations) })
	}
}

// evacuationsFor returns the set for the sender of a message, nil if it has the same or a newer
// one.
func (g *Gateway) evacuationsFor(h *table.HeldLocks, m relay.Message) *zone.Evacuations {
	own := g.evacuations(h)
	if !m.Evacuations.Lacks(own.Stamp()) {
		return nil
	}
	return &own
}

// need describes the upstreams of a role for a request, without a preferred zone.
func (r *request) need(role upstream.Role) roster.Need {
	return roster.Need{Service: r.service, Role: role, Exclude: r.excluded, Homes: directory.Homes(r.route, r.account)}
}

// waitListKey identifies a wait list: one service and, if its requests have any, their home
// regions. Only the first waiter of a list asks for a place, so those with other regions,
// whose engines may have room, must not wait behind it.
type waitListKey struct {
	service directory.ServiceName
	// homes lists the regions between commas. It is a comma for an empty list, which allows no
	// region, and empty if all are allowed.
	homes string
}

// ofService is the name of the wait list among those of its service.
func (k waitListKey) ofService() shortage.WaitList {
	return shortage.WaitList(k.homes)
}

// waitListKey returns the key of the request's wait list.
func (r *request) waitListKey() waitListKey {
	k := waitListKey{service: r.service}
	homes := directory.Homes(r.route, r.account)
	if homes != nil {
		k.homes = ","
	}
	for _, region := range homes {
		k.homes += string(region) + ","
	}
	return k
}

// refuseExcluded returns a refusal if all upstreams for a request are excluded by their zones:
// waiting would not help within the time of a request.
func (g *Gateway) refuseExcluded(h *table.HeldLocks, r *request, role upstream.Role) *contract.Refusal {
	reason := ""
	g.board.With(h, func(b **roster.Board) { reason = (*b).AllExcluded(r.need(role)) })
	if reason == "" {
		return nil
	}
	if r.events == 0 {
		// A stream that has begun waits instead and asks again and again.
		g.metrics.recordExcluded(reason)
	}
	return contract.RefuseRetryable(contract.CodeNoUpstream, g.options.RetryAfter, "all upstreams of the service are "+reason)
}

// inEvacuatedZone reports whether an upstream is in an evacuated zone. Reservations and KV
// caches there are not freed by a call but expire: the engine gets no new work that would need
// their memory.
func (g *Gateway) inEvacuatedZone(h *table.HeldLocks, id upstream.ID) (evacuated bool) {
	g.board.With(h, func(b **roster.Board) { evacuated = (*b).Evacuated(id) })
	return evacuated
}

// withoutEvacuated leaves out role changes of engines whose zone was evacuated since they were
// planned.
func (g *Gateway) withoutEvacuated(h *table.HeldLocks, changes []split.Change) (kept []split.Change) {
	g.board.With(h, func(b **roster.Board) {
		kept = slices.DeleteFunc(slices.Clone(changes), func(c split.Change) bool { return (*b).Evacuated(c.ID) })
	})
	return kept
}
