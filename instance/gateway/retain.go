package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// otherUpstreams is the label for upstreams that left, and for those beyond maxAttemptKeys.
const otherUpstreams upstream.ID = "other"

// NameCounts counts the names whose state was removed: routes and upstreams whose metrics
// were merged, accounts whose quota bucket and services whose wait list was removed.
type NameCounts struct {
	Routes, Accounts, Services, Upstreams uint64
}

func (m *Metrics) recordNames(n NameCounts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names.Routes += n.Routes
	m.names.Accounts += n.Accounts
	m.names.Services += n.Services
	m.names.Upstreams += n.Upstreams
}

// Retain puts the metrics of a configuration in force: those of routes that it does not have
// are merged under burn.OtherRoutes, also of requests that end later, so that sums do not
// decrease. An older version than that in force is ignored. It takes time in proportion to
// the routes with metrics, during which requests wait. It returns how many were merged.
func (m *Metrics) Retain(version uint64, routes map[contract.RouteName]bool) (merged int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version < m.configVersion {
		return 0
	}
	former := make(map[contract.RouteName]bool)
	m.configVersion, m.routes = version, routes
	for key, n := range m.outcomes {
		if into := m.routeLabel(key.Route); into != key.Route {
			delete(m.outcomes, key)
			m.outcomes[OutcomeKey{into, key.Outcome}] += n
			former[key.Route] = true
		}
	}
	m.mergeHistograms(m.firstEvent)
	m.mergeHistograms(m.total)
	m.serviceLevels.Retain(func(name contract.RouteName) bool { return routes[name] }, nil)
	return len(former)
}

// routeLabel returns the name under which a route's metrics are kept. The lock must be held.
func (m *Metrics) routeLabel(name contract.RouteName) contract.RouteName {
	if m.routes == nil || m.routes[name] {
		return name
	}
	return burn.OtherRoutes
}

func (m *Metrics) mergeHistograms(of map[contract.RouteName]*Histogram) {
	for name, h := range of {
		if into := m.routeLabel(name); into != name {
			delete(of, name)
			histogramFor(of, into).merge(h)
		}
	}
}

// merge adds the counts of another histogram.
func (h *Histogram) merge(o *Histogram) {
	if o.Counts == nil {
		return
	}
	if h.Counts == nil {
		h.Counts = make([]uint64, len(o.Counts))
	}
	for i, n := range o.Counts {
		h.Counts[i] += n
	}
	h.Sum += o.Sum
}

// attemptUpstreams returns the upstreams with metrics of failed attempts.
func (m *Metrics) attemptUpstreams() map[upstream.ID]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[upstream.ID]bool)
	for key := range m.failedAttempts {
		out[key.Upstream] = true
	}
	return out
}

// retainUpstreams merges the metrics of upstreams that are not to be kept under
// otherUpstreams, and returns how many upstreams were merged.
func (m *Metrics) retainUpstreams(keep map[upstream.ID]bool) (merged int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := make(map[upstream.ID]bool)
	for key, n := range m.failedAttempts {
		if key.Upstream != otherUpstreams && !keep[key.Upstream] {
			delete(m.failedAttempts, key)
			m.failedAttempts[AttemptKey{otherUpstreams, key.Call, key.Reach}] += n
			former[key.Upstream] = true
		}
	}
	return len(former)
}

// retainConfigured removes the state of names that a configuration does not have. Each
// table is locked once, and only for the time to look its entries through.
func (g *Gateway) retainConfigured(h *table.HeldLocks, s *directory.Snapshot) {
	now := g.clock.Now()
	routes := make(map[contract.RouteName]bool)
	for _, ofHost := range s.Hosts {
		for _, route := range ofHost {
			routes[route.Name] = true
		}
	}
	n := NameCounts{Routes: uint64(g.metrics.Retain(s.Version, routes))}
	g.quotas.With(h, func(q **quota.Meter) { n.Accounts = uint64((*q).Retain(now, s.Accounts)) })
	g.waitLists.With(h, func(lists *waitLists) {
		for key, l := range *lists {
			if len(l.queue) > 0 || l.placing != nil || l.timerSet {
				continue
			}
			// Those of services that go on are made again when needed: configurations
			// choose the home regions, which are part of the key.
			delete(*lists, key)
			if s.Services[key.service] == nil {
				n.Services++
			}
		}
	})
	g.retryBudgets.With(h, func(all *map[directory.ServiceName]*retry.Budget) {
		for name, b := range *all {
			if s.Services[name] == nil && b.Idle(now) {
				delete(*all, name)
			}
		}
	})
	g.demand.With(h, func(l **demand.Ledger) { (*l).Retain(s.RunsEngines) })
	if n != (NameCounts{}) {
		g.metrics.recordNames(n)
		g.log.Info(string(eventNamesRemoved), "version", s.Version, "routes", n.Routes, "accounts", n.Accounts, "services", n.Services)
	}
}

// retainUpstreams removes the metrics of upstreams that left the board.
func (g *Gateway) retainUpstreams(h *table.HeldLocks, changes []roster.Change) {
	left := false
	for _, c := range changes {
		left = left || c.Kind == "gone"
	}
	if !left {
		return
	}
	keep := g.metrics.attemptUpstreams()
	g.board.With(h, func(b **roster.Board) {
		for id := range keep {
			keep[id] = (*b).Has(id)
		}
	})
	g.metrics.recordNames(NameCounts{Upstreams: uint64(g.metrics.retainUpstreams(keep))})
}

// sweepNames removes the state of names that were not used for some time.
func (g *Gateway) sweepNames(h *table.HeldLocks, now time.Time) {
	accounts := 0
	g.quotas.With(h, func(q **quota.Meter) { accounts = (*q).Sweep(now) })
	if accounts > 0 {
		g.metrics.recordNames(NameCounts{Accounts: uint64(accounts)})
	}
}
