package gateway

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// newNames is a configuration whose routes, accounts and services have names that no other
// one has, and the upstreams of its services.
func newNames(version uint64, n int) (*directory.Snapshot, registry.Upstreams) {
	s := testConfig(version)
	s.Accounts = make(map[contract.AccountID]*directory.Account)
	list := registry.Upstreams{Version: version, Whole: true}
	for i := range n {
		name := fmt.Sprintf("n-%d-%d", version, i)
		s.Hosts["h"] = append(s.Hosts["h"], &directory.Route{Name: contract.RouteName(name), Host: "h", Prefix: "/" + name})
		s.Accounts[contract.AccountID(name)] = &directory.Account{
			ID: contract.AccountID(name), Quota: directory.Quota{PerSecond: 1000, Burst: 1000, ByTokens: true},
		}
		s.Services[directory.ServiceName(name)] = &directory.Service{Name: directory.ServiceName(name)}
		list.Present = append(list.Present, registry.Record{
			ID: upstream.ID(name), Addr: name, Service: directory.ServiceName(name), Role: upstream.RoleService, Born: 1,
		})
	}
	return s, list
}

// useNames does what requests to each route do to the tables, also one that fails.
func useNames(g *Gateway, h *table.HeldLocks, s *directory.Snapshot, list registry.Upstreams) {
	now := g.clock.Now()
	for _, route := range s.Hosts["h"] {
		r := &request{route: route, message: &contract.Message{}, arrived: now, firstEventAt: now.Add(time.Millisecond), longestGap: time.Second}
		g.metrics.recordOutcome(r, nil, now.Add(time.Second))
	}
	for _, account := range s.Accounts {
		g.quotas.With(h, func(q **quota.Meter) { (*q).Admit(now, account, 500, quota.Ordinary) })
	}
	for _, u := range list.Present {
		g.metrics.recordFailedAttempt(AttemptKey{Upstream: u.ID, Call: "call", Reach: "broken"})
		g.withRetryBudget(h, u.Service, func(b *retry.Budget) { b.RecordFirstAttempt() })
		g.waitLists.With(h, func(lists *waitLists) { waitListOf(*lists, waitListKey{service: u.Service}) })
	}
}

// TestNamesComeAndGo guards against memory for routes, accounts, services and upstreams that
// no longer exist: 100 configurations of 1,400 new names each.
func TestNamesComeAndGo(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		const configurations, names = 100, 1400
		h := table.NewHeldLocks()
		var third uint64
		before := uint64(0)
		for i := range uint64(configurations) {
			s, list := newNames(10+i, names)
			g.applyUpstreams(h, list, "test")
			g.adoptConfig(h, s, "test", time.Now())
			useNames(g, h, s, list)
			// Buckets are full again with the next configuration; budgets are idle after five.
			time.Sleep(12 * time.Second)
			synctest.Wait()
			f.runners.forget()
			m := g.metrics.Snapshot(g.clock.Now())
			sum := uint64(0)
			for _, n := range m.Outcomes {
				sum += n
			}
			for _, n := range m.FailedAttempts {
				sum += n
			}
			if sum < before+names {
				t.Fatalf("the counters fell from %d to %d at configuration %d", before, sum, i)
			}
			before = sum
			if i == 2 {
				third = liveHeap()
			}
		}
		if last := liveHeap(); last > third+third/10 {
			t.Errorf("the heap grew from %d bytes after the third configuration to %d", third, last)
		}
		checkSizes(t, g, h, names)
	})
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// checkSizes checks that tables hold at most the names of one configuration, those of the
// test's own one and the common label.
func checkSizes(t *testing.T, g *Gateway, h *table.HeldLocks, names int) {
	t.Helper()
	const own = 20
	m := g.metrics.Snapshot(g.clock.Now())
	sizes := map[string]int{
		"outcomes": len(m.Outcomes), "first events": len(m.FirstEvent), "answers": len(m.Total),
		"failed attempts": len(m.FailedAttempts), "service levels": len(m.ServiceLevels.Series),
	}
	g.waitLists.With(h, func(lists *waitLists) { sizes["wait lists"] = len(*lists) })
	g.board.With(h, func(b **roster.Board) { sizes["upstreams"] = (*b).Len() })
	g.retryBudgets.With(h, func(all *map[directory.ServiceName]*retry.Budget) { sizes["retry budgets"] = len(*all) / 6 })
	for name, n := range sizes {
		if n > names+own {
			t.Errorf("%s: %d entries, want at most %d", name, n, names+own)
		}
	}
}

// TestRetainOrder guards against an older configuration, which a peer relays late, hiding
// the routes of the one in force.
func TestRetainOrder(t *testing.T) {
	m := NewMetrics(time.Unix(1, 0))
	m.Retain(2, map[contract.RouteName]bool{"new": true})
	m.Retain(1, map[contract.RouteName]bool{"old": true})
	for _, name := range []contract.RouteName{"new", "old"} {
		m.recordOutcome(&request{route: &directory.Route{Name: name}, message: &contract.Message{}}, nil, time.Unix(2, 0))
	}
	got := m.Snapshot(time.Unix(2, 0)).Outcomes
	want := map[OutcomeKey]uint64{{"new", "answered"}: 1, {burn.OtherRoutes, "answered"}: 1}
	if !maps.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
}
