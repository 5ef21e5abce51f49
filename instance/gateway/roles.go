package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/split"
)

// Times of the duty to order roles.
const (
	// DutyEvery is the pause between two looks at the roles.
	DutyEvery = 500 * time.Millisecond
	// SettleTime is how long a need must last: upstreams that restart and lists
	// that are still coming in are no reason to order anything.
	SettleTime = 1500 * time.Millisecond
	// YieldTime is how much longer each process waits than the one before it
	// in the order of names, so that mostly one of them asks for the lease.
	YieldTime = 1500 * time.Millisecond
	// OrderTimeout bounds one order.
	OrderTimeout = 500 * time.Millisecond
	// OrderAgainAfter is the least time between two orders to one engine. An
	// order without an answer may still be carried out after many seconds.
	OrderAgainAfter = 13 * time.Second
)

// dutyRoles names the lease of ordering roles.
const rolesLease = "roles"

// duty is what the process knows of ordering roles, which one process of the
// fleet does for all.
type roleDuty struct {
	// needed is since when roles should change, zero if they need not.
	neededSince time.Time
	// busy says that the lease is being taken or orders are on their way.
	inProgress bool
	// ordered is when engines were last ordered by this process.
	lastOrdered map[string]time.Time
}

// considerDuty looks whether engines should change their roles.
func (g *Gateway) checkRoles(h *table.Held) []pool.Effect {
	g.pool.After(DutyEvery, g.checkRoles)
	if g.life.State() != instance.Serving {
		return nil
	}
	now := g.clock.Now()
	changes := g.planRoles(h)
	rank := g.rank(h, now)
	start := false
	g.roleDuty.With(h, func(d **roleDuty) {
		switch {
		case len(changes) == 0:
			(*d).neededSince = time.Time{}
		case (*d).neededSince.IsZero():
			(*d).neededSince = now
		case !(*d).inProgress && now.Sub((*d).neededSince) >= SettleTime+time.Duration(rank)*YieldTime:
			changes = (*d).dueChanges(now, changes)
			start = len(changes) > 0
			(*d).inProgress = start
		}
	})
	if !start {
		return nil
	}
	return g.takeLease(changes)
}

// due leaves out engines that were ordered lately.
func (d *roleDuty) dueChanges(now time.Time, changes []split.Change) []split.Change {
	var out []split.Change
	for _, c := range changes {
		if at, ok := d.lastOrdered[string(c.ID)]; !ok || now.Sub(at) >= OrderAgainAfter {
			out = append(out, c)
		}
	}
	return out
}

// planRoles gives the changes that engines need now.
func (g *Gateway) planRoles(h *table.Held) []split.Change {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return nil
	}
	var changes []split.Change
	for name, service := range snapshot.Services {
		if service.Engine == nil {
			continue
		}
		var engines []split.Engine
		g.board.With(h, func(b **roster.Board) { engines = (*b).Engines(name) })
		changes = append(changes, split.Plan(engines, split.DefaultDemand, service.Engine.KVTokens)...)
	}
	return changes
}

// rank is this process's place among those that were heard lately, by name.
func (g *Gateway) rank(h *table.Held, now time.Time) int {
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

// takeLease asks for the lease, unless another process has held it lately.
func (g *Gateway) takeLease(changes []split.Change) []pool.Effect {
	holder := string(g.options.Self.Name)
	return registryCall(2*ReadTimeout, func(ctx context.Context) pool.Step {
		lease, _, err := g.registry.ReadLease(ctx, rolesLease)
		if err != nil {
			return func(h *table.Held) []pool.Effect { return g.endDuty(h, "lease not read", err) }
		}
		if lease.Holder != holder && lease.Holder != "" && lease.Age < g.options.LeaseTerm+ReadTimeout {
			return func(h *table.Held) []pool.Effect { return g.endDuty(h, "held by "+lease.Holder, nil) }
		}
		requestedAt := g.clock.Now()
		fencing, err := g.registry.WriteLease(ctx, rolesLease, lease, holder)
		if err != nil {
			return func(h *table.Held) []pool.Effect { return g.endDuty(h, "lease not written", err) }
		}
		return func(h *table.Held) []pool.Effect { return g.sendOrders(h, changes, fencing, requestedAt) }
	})
}

// dutyOver ends a turn.
func (g *Gateway) endDuty(h *table.Held, why string, err error) []pool.Effect {
	g.roleDuty.With(h, func(d **roleDuty) {
		(*d).inProgress = false
		(*d).neededSince = g.clock.Now()
	})
	if err != nil && !errors.Is(err, registry.ErrConflict) {
		g.log.Warn(string(eventDutyLost), "duty", rolesLease, "why", why, "error", err)
	} else if err != nil || why != "" {
		g.log.Info(string(eventDutyLost), "duty", rolesLease, "why", why, "error", err)
	}
	return nil
}

// order sends the orders, as long as the lease surely stands.
func (g *Gateway) sendOrders(h *table.Held, changes []split.Change, fencing uint64, requestedAt time.Time) []pool.Effect {
	now := g.clock.Now()
	g.log.Info(string(eventDutyTaken), "duty", rolesLease, "fencing", fencing, "orders", len(changes))
	g.roleDuty.With(h, func(d **roleDuty) {
		if (*d).lastOrdered == nil {
			(*d).lastOrdered = make(map[string]time.Time)
		}
		for _, c := range changes {
			(*d).lastOrdered[string(c.ID)] = now
		}
	})
	turns := make([]relay.Turn, 0, len(changes))
	for _, c := range changes {
		turns = append(turns, relay.Turn{ID: c.ID, For: g.roleChangeTime(h)})
	}
	g.markRoleChanges(h, turns)
	until := requestedAt.Add(g.options.LeaseTerm / 2)
	return []pool.Effect{{Lane: laneRegistry, Perform: func(ctx context.Context) pool.Step {
		for _, c := range changes {
			if !g.clock.Now().Before(until) {
				return func(h *table.Held) []pool.Effect { return g.endDuty(h, "lease ran out", nil) }
			}
			if stale := g.sendOrder(ctx, c, fencing); stale {
				break
			}
		}
		return func(h *table.Held) []pool.Effect { return g.endDuty(h, "", nil) }
	}}}
}

// turnTime is how long a change of role takes.
func (g *Gateway) roleChangeTime(h *table.Held) (longest time.Duration) {
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

// turning keeps work from engines that change their role.
func (g *Gateway) markRoleChanges(h *table.Held, turns []relay.Turn) {
	now := g.clock.Now()
	g.board.With(h, func(b **roster.Board) {
		for _, t := range turns {
			(*b).Turning(t.ID, now.Add(t.For))
		}
	})
}

// orderOne sends one order and reports whether a higher fencing number is known
// at the engine. The engine's own count of orders keeps an order that is carried
// out late from undoing a newer one.
func (g *Gateway) sendOrder(ctx context.Context, c split.Change, fencing uint64) (stale bool) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	to := runner.Target{ID: c.ID, Addr: c.Addr}
	report, result := g.runners.Report(ctx, to)
	switch {
	case result.Reach != runner.Answered:
	case report.Busy || report.Role == c.To:
		return false
	default:
		result = g.runners.SetRole(ctx, to, runner.RoleOrder{
			Role: c.To, Holder: string(g.options.Self.Name), Fencing: fencing, Orders: report.Orders,
		})
	}
	g.log.Info(string(eventRoleOrdered), "upstream", c.ID, "from", c.Role.String(), "to", c.To.String(), "fencing", fencing,
		"orders", report.Orders, "reach", result.Reach.String(), "status", result.Status, "error", result.Err)
	return result.Stale
}
