package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
)

// Times of the role orders to engines.
const (
	// RoleCheckEvery is the pause between two checks of the roles.
	RoleCheckEvery = 500 * time.Millisecond
	// RoleChangeHoldoff is how long a role change must be needed before it is ordered:
	// restarting upstreams and incomplete lists must not cause orders.
	RoleChangeHoldoff = 1500 * time.Millisecond
	// LeaseStagger is how much longer each gateway waits than the one before it by
	// name, so that usually only one asks for the lease.
	LeaseStagger = 1500 * time.Millisecond
	// OrderTimeout bounds one order: reading the engine's report and the order.
	OrderTimeout = 500 * time.Millisecond
	// MinOrderInterval is the minimum time between two orders to one engine. An
	// order without an answer may still be executed many seconds later.
	MinOrderInterval = 13 * time.Second
)

// rolesLease names the registry lease whose holder orders the roles of engines.
const rolesLease = "roles"

// roleOrders is the state of this process for the role orders, which one gateway sends
// for the whole fleet.
type roleOrders struct {
	// neededSince is when a role change became necessary, zero if none is.
	neededSince time.Time
	// inProgress is set while the lease is being taken or orders are being sent.
	inProgress bool
	// lastOrdered is the time of this process's last order by engine.
	lastOrdered map[string]time.Time
}

// checkRoles plans the role changes and takes the lease if they have been needed for
// long enough. It schedules itself again.
func (g *Gateway) checkRoles(h *table.HeldLocks) []pool.Effect {
	g.pool.After(RoleCheckEvery, g.checkRoles)
	if g.life.State() != instance.Serving {
		return nil
	}
	now := g.clock.Now()
	pending := false
	g.roleOrders.With(h, func(d **roleOrders) { pending = !(*d).neededSince.IsZero() })
	changes := g.planRoles(h, pending)
	rank := g.nameRank(h, now)
	start := false
	g.roleOrders.With(h, func(d **roleOrders) {
		switch {
		case len(changes) == 0:
			(*d).neededSince = time.Time{}
		case (*d).neededSince.IsZero():
			(*d).neededSince = now
		case !(*d).inProgress && now.Sub((*d).neededSince) >= RoleChangeHoldoff+time.Duration(rank)*LeaseStagger:
			changes = (*d).dueChanges(now, changes)
			start = len(changes) > 0
			(*d).inProgress = start
		}
	})
	if !start {
		return nil
	}
	return g.takeLease(h, changes)
}

// dueChanges leaves out engines with an order within MinOrderInterval.
func (d *roleOrders) dueChanges(now time.Time, changes []split.Change) []split.Change {
	var out []split.Change
	for _, c := range changes {
		if at, ok := d.lastOrdered[string(c.ID)]; !ok || now.Sub(at) >= MinOrderInterval {
			out = append(out, c)
		}
	}
	return out
}

// planRoles returns the role changes that the engines of all services need. pending is set
// while changes wait to be ordered.
func (g *Gateway) planRoles(h *table.HeldLocks, pending bool) []split.Change {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return nil
	}
	now := g.clock.Now()
	var changes []split.Change
	for name, service := range snapshot.Services {
		if service.Engine == nil {
			continue
		}
		engines, model := g.rolesModel(h, now, service)
		model.Pending = pending
		planned := split.Plan(engines, model)
		changes = append(changes, planned...)
		if len(planned) > 0 && !pending {
			g.log.Info(string(eventRolesPlanned), append([]any{"service", name, "changes", len(planned)}, model.Inputs(engines)...)...)
		}
	}
	return changes
}

// rolesModel returns the engines of a service, and what the plan of their roles follows from.
func (g *Gateway) rolesModel(h *table.HeldLocks, now time.Time, service *directory.Service) (engines []split.Engine, m split.Model) {
	g.board.With(h, func(b **roster.Board) { engines = (*b).Engines(now, service.Name) })
	return engines, split.Model{
		Demand: g.estimateDemand(h, service.Name),
		Memory: service.Engine.KVTokens,
		Slots:  service.Engine.Slots,
		Switch: service.Engine.RoleSwitch,

		MissingPrefill: split.Missing(engines, upstream.RolePrefill),
		MissingDecode:  split.Missing(engines, upstream.RoleDecode),
	}
}

// nameRank is the number of live gateways with a lower name.
func (g *Gateway) nameRank(h *table.HeldLocks, now time.Time) int {
	rank := 0
	g.members.With(h, func(m **members) {
		for _, p := range (*m).livePeers(now) {
			if p.Name < (*m).self.Name {
				rank++
			}
		}
	})
	return rank
}

// takeLease takes the lease, unless another gateway may still hold it, and then sends
// the orders. The last holder keeps the duty while it can do it, also when its lease has run
// out: gateways see different loads, and two of them would undo each other's orders.
func (g *Gateway) takeLease(h *table.HeldLocks, changes []split.Change) []pool.Effect {
	holder := string(g.options.Self.Name)
	var able map[instance.Name]bool
	g.members.With(h, func(m **members) { able = (*m).readingPeers(g.clock.Now()) })
	return registryCall(2*ReadTimeout, func(ctx context.Context) pool.Step {
		lease, _, err := g.registry.ReadLease(ctx, rolesLease)
		if err != nil {
			return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "lease not read", err) }
		}
		mayHold := lease.Age < g.options.LeaseTerm+ReadTimeout || able[instance.Name(lease.Holder)]
		if lease.Holder != holder && lease.Holder != "" && mayHold {
			return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "held by "+lease.Holder, nil) }
		}
		if !lease.RestoredAt.IsZero() && g.clock.Now().Sub(lease.RestoredAt) < g.options.LeaseTerm+ReadTimeout {
			return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "may be held by another", nil) }
		}
		requestedAt := g.clock.Now()
		fencing, err := g.registry.WriteLease(ctx, rolesLease, lease, holder)
		if err != nil {
			return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "lease not written", err) }
		}
		return func(h *table.HeldLocks) []pool.Effect { return g.sendOrders(h, changes, fencing, requestedAt) }
	})
}

// endRoleOrders ends a round of orders and restarts the holdoff. Losing the lease to
// another gateway is no error and logged at the info level.
func (g *Gateway) endRoleOrders(h *table.HeldLocks, why string, err error) []pool.Effect {
	g.roleOrders.With(h, func(d **roleOrders) {
		(*d).inProgress = false
		(*d).neededSince = time.Time{}
	})
	if err != nil && !errors.Is(err, registry.ErrConflict) {
		g.log.Warn(string(eventLeaseLost), "duty", rolesLease, "why", why, "error", err)
	} else if err != nil || why != "" {
		g.log.Info(string(eventLeaseLost), "duty", rolesLease, "why", why, "error", err)
	}
	return nil
}

// sendOrders sends the orders during half of the lease term after the lease was
// requested, when no other gateway can hold it yet.
func (g *Gateway) sendOrders(h *table.HeldLocks, changes []split.Change, fencing uint64, requestedAt time.Time) []pool.Effect {
	changes = g.withoutEvacuated(h, changes)
	now := g.clock.Now()
	g.log.Info(string(eventLeaseTaken), "duty", rolesLease, "fencing", fencing, "orders", len(changes))
	g.roleOrders.With(h, func(d **roleOrders) {
		if (*d).lastOrdered == nil {
			(*d).lastOrdered = make(map[string]time.Time)
		}
		maps.DeleteFunc((*d).lastOrdered, func(_ string, at time.Time) bool { return now.Sub(at) >= MinOrderInterval })
		for _, c := range changes {
			(*d).lastOrdered[string(c.ID)] = now
		}
	})
	until := requestedAt.Add(g.options.LeaseTerm / 2)
	return []pool.Effect{{Lane: laneRegistry, Perform: func(ctx context.Context) pool.Step {
		for _, c := range changes {
			if !g.clock.Now().Before(until) {
				return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "lease ran out", nil) }
			}
			result, mayTakeEffect := g.sendOrder(ctx, c, fencing)
			if mayTakeEffect {
				// Recorded at once, because the next order may take as long as its timeout.
				g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
					order := roster.RoleOrder{ID: c.ID, To: c.To, Busy: g.roleChangeTime(h), Pending: MinOrderInterval}
					g.recordRoleOrders(h, []roster.RoleOrder{order})
					return nil
				})
			}
			if result.Stale {
				break
			}
		}
		return func(h *table.HeldLocks) []pool.Effect { return g.endRoleOrders(h, "", nil) }
	}}}
}

// roleChangeTime is the longest time that a change of role takes in any service.
func (g *Gateway) roleChangeTime(h *table.HeldLocks) (longest time.Duration) {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return 0
	}
	for _, service := range snapshot.Services {
		if service.Engine != nil {
			longest = max(longest, service.Engine.RoleSwitch)
		}
	}
	return longest
}

// recordRoleOrders records orders of this process or of a peer on the board.
func (g *Gateway) recordRoleOrders(h *table.HeldLocks, orders []roster.RoleOrder) {
	now := g.clock.Now()
	g.board.With(h, func(b **roster.Board) {
		for _, o := range orders {
			(*b).RecordRoleOrder(now, o)
		}
	})
}

// sendOrder sends one order and reports whether it may take effect, or has already. The
// order names the engine's own count of orders, so that an order executed late does not
// undo a newer one. The result is stale if the engine has seen a higher fencing number.
func (g *Gateway) sendOrder(ctx context.Context, c split.Change, fencing uint64) (result runner.Result, mayTakeEffect bool) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	to := runner.Target{ID: c.ID, Addr: c.Addr}
	report, result := g.runners.Report(ctx, to)
	switch {
	case result.Reach != runner.Answered:
	case report.Role == c.To:
		mayTakeEffect = true
	case report.Busy:
	default:
		result = g.runners.SetRole(ctx, to, runner.RoleOrder{
			Role: c.To, Holder: string(g.options.Self.Name), Fencing: fencing, Orders: report.Orders,
		})
		mayTakeEffect = result.Reach == runner.Answered || result.Reach == runner.Broken
	}
	g.log.Info(string(eventRoleOrdered), "upstream", c.ID, "from", c.Role.String(), "to", c.To.String(), "fencing", fencing,
		"reported_role", report.Role.String(), "reported_busy", report.Busy, "orders", report.Orders,
		"reach", result.Reach.String(), "status", result.Status, "error", result.Err)
	return result, mayTakeEffect
}
