package gateway

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/pace"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
)

// ColdBounds bound the requests to one cold upstream in any second, in the whole fleet: Over
// times the rate that its service states, and Slack more.
type ColdBounds struct {
	Over, Slack float64
}

// Times after which this process takes the gateways that it knows for all that live.
const (
	// peersHeardWithin is the time for those that the registry lists to send a message;
	// one that does not is probably gone.
	peersHeardWithin = 3 * time.Second
	// peersFoundWithin is the time in which all gateways are found through others if the
	// registry's list cannot be read: each message lists MaxListedPeers.
	peersFoundWithin = time.Minute
)

// applyColdRules puts the limits of cold upstreams in force that a configuration states.
func (g *Gateway) applyColdRules(h *table.HeldLocks, snapshot *directory.Snapshot) {
	rules := make(map[directory.ServiceName]roster.ColdRule)
	for name, s := range snapshot.Services {
		if g.options.Cold.Over > 0 && s.WarmupPerSecond > 0 {
			rules[name] = roster.ColdRule{For: s.Warmup, Limit: pace.Limit{
				PerSecond: s.WarmupPerSecond, Over: g.options.Cold.Over, Slack: g.options.Cold.Slack,
			}}
		}
	}
	g.board.With(h, func(b **roster.Board) { (*b).SetColdRules(snapshot.Version, g.options.Self.Name, rules) })
	g.updateFleets(h, g.clock.Now())
}

// updateFleets tells the board which gateways share the limits of cold upstreams.
func (g *Gateway) updateFleets(h *table.HeldLocks, now time.Time) {
	var live []pace.Gateway
	complete := false
	g.members.With(h, func(m **members) {
		for _, p := range (*m).peers {
			if now.Sub(p.lastContact()) < PeerExpiry {
				live = append(live, pace.Gateway{Name: p.Name, Listed: p.lastHeard.IsZero()})
			}
		}
		complete = (*m).completeAt(now, g.startedAt)
	})
	var services []directory.ServiceName
	g.board.With(h, func(b **roster.Board) {
		(*b).UpdateGateways(now, g.options.Self.Name, complete, live)
		services = (*b).ColdServices()
	})
	for _, service := range services {
		own, stated := g.statedTraffic(h, now, service, live)
		g.board.With(h, func(b **roster.Board) { (*b).UpdateFleet(now, service, own, complete, stated) })
	}
}

// statedTraffic returns the requests per second that this process sends to a service, and the
// gateways with what they stated.
func (g *Gateway) statedTraffic(h *table.HeldLocks, now time.Time, service directory.ServiceName, live []pace.Gateway) (own float64, stated []pace.Gateway) {
	var rates map[instance.Name]float64
	g.traffic.With(h, func(l **traffic.Ledger) { rates = (*l).Rates(now, service, g.options.Self.Name) })
	stated = slices.Clone(live)
	for i, gateway := range stated {
		stated[i].Traffic, stated[i].Stated = rates[gateway.Name]
	}
	return rates[g.options.Self.Name], stated
}

// logPaces logs why the paces of upstreams changed.
func (g *Gateway) logPaces(h *table.HeldLocks) {
	var changes []roster.PaceChange
	g.board.With(h, func(b **roster.Board) { changes = (*b).TakePaceChanges() })
	for _, c := range changes {
		g.log.Info(string(eventPace), "upstream", c.ID, "reason", c.Reason, "limit", c.Limit)
	}
}

// recordEventTime records the time of an event of a stream.
func (g *Gateway) recordEventTime(choice roster.Choice, took time.Duration) {
	g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect {
		now := g.clock.Now()
		g.board.With(h, func(b **roster.Board) { (*b).RecordAnswer(now, choice, took) })
		return nil
	})
}

// answerTime is the time of an answer by which the pace of its upstream is found: 0 for a
// short stream, whose events are too few to be compared. ok is false if recordEventTime has
// recorded it.
func (r *request) answerTime(now time.Time) (took time.Duration, ok bool) {
	switch {
	case r.events == 0:
		return now.Sub(r.placedAt), true
	case r.attempts == 1 && r.events > paceEvents:
		return 0, false
	default:
		return 0, true
	}
}

// completeAt reports whether the known peers are probably all that live.
func (m *members) completeAt(now, startedAt time.Time) bool {
	heard := 0
	for _, p := range m.peers {
		if !p.lastHeard.IsZero() {
			heard++
		}
	}
	if m.enteredAt.IsZero() {
		return heard > 0 && now.Sub(startedAt) >= peersFoundWithin
	}
	return heard == len(m.peers) || now.Sub(m.enteredAt) >= peersHeardWithin
}

// takeFirst takes the first of the choices that its pace allows a send to, and adds the call
// to its running work. It returns nil if there is none.
func (g *Gateway) takeFirst(h *table.HeldLocks, now time.Time, choices []roster.Choice, tokens contract.Tokens) (taken *roster.Choice) {
	g.board.With(h, func(b **roster.Board) {
		for i := range choices {
			if (*b).TakeSend(now, choices[i]) {
				(*b).AddCall(choices[i], tokens)
				(*b).RecordProbe(now, choices[i])
				taken = &choices[i]
				return
			}
		}
	})
	return taken
}

// takeStream takes the send of a stream to an engine, for which a send was held with the
// reservation. Streams without a model were taken when they were placed.
func (g *Gateway) takeStream(h *table.HeldLocks, now time.Time, r *request, choice roster.Choice) (taken bool) {
	if g.engine(h, r.service) == nil {
		return true
	}
	held := r.reservation != ""
	g.board.With(h, func(b **roster.Board) {
		taken = (*b).TakeSend(now, choice)
		if taken && held {
			(*b).ReleaseSend(choice)
		}
	})
	return taken
}

// turnOf returns the time until a request may be placed at an upstream of a role behind so
// many others, and whether only the limits of cold upstreams keep it from being placed now;
// ok is false if it may not within the given time.
func (g *Gateway) turnOf(h *table.HeldLocks, now time.Time, r *request, role upstream.Role, ahead int, within time.Duration) (wait time.Duration, blocked, ok bool) {
	need := r.need(role)
	g.board.With(h, func(b **roster.Board) { wait, blocked, ok = (*b).PaceWait(now, need, ahead, within) })
	return wait, blocked, ok
}

// awaitsTurn reports whether only the limits of cold upstreams of a role keep a request from
// being placed now.
func (g *Gateway) awaitsTurn(h *table.HeldLocks, now time.Time, r *request, role upstream.Role) bool {
	_, blocked, _ := g.turnOf(h, now, r, role, 0, 0)
	return blocked
}

// waitForTurn queues a request for which all upstreams of a role are cold and have no turn,
// or refuses it if none comes in time.
func (g *Gateway) waitForTurn(h *table.HeldLocks, r *request, role upstream.Role) []pool.Effect {
	if r.errorAnswer != nil {
		return g.finishPlain(h, r, nil)
	}
	now := g.clock.Now()
	left := r.waitLeft(now)
	wait, blocked, ok := g.turnOf(h, now, r, role, g.waitersBefore(h, r), max(left, minRetryDelay))
	if !blocked || ok && wait <= left {
		return g.enqueue(h, r, waitCold)
	}
	r.waitReason = waitCold
	refusal := g.waitExpired(h, now, r)
	if refusal.Repeat && ok {
		refusal = contract.RefuseRetryable(refusal.Code, max(wait, minRetryDelay), refusal.Reason)
	}
	return g.finish(h, r, refusal)
}

// startPlain starts a request to a service that runs no model, unless earlier ones wait.
func (g *Gateway) startPlain(h *table.HeldLocks, r *request, start func(*table.HeldLocks, *request) []pool.Effect) []pool.Effect {
	if g.waitersBefore(h, r) > 0 {
		return g.waitForTurn(h, r, upstream.RoleService)
	}
	return start(h, r)
}

// waitersBefore returns how many waiters of its service are placed before a request.
func (g *Gateway) waitersBefore(h *table.HeldLocks, r *request) (n int) {
	g.waitLists.With(h, func(lists *waitLists) {
		if l, ok := (*lists)[r.waitListKey()]; ok {
			for _, other := range l.queue {
				if compareWaiters(other, r) < 0 {
					n++
				}
			}
		}
	})
	return n
}

// placeWaiter places a request from the wait list. One that needs no model is placed, queued
// again or ended within this step, so the next one is tried at once if it was placed.
func (g *Gateway) placeWaiter(h *table.HeldLocks, r *request) []pool.Effect {
	if g.engine(h, r.service) != nil && r.route.Kind == directory.Stream {
		return g.reserve(h, r)
	}
	effects := g.endPlacement(h, r, false)
	if r.route.Kind == directory.Stream {
		effects = append(effects, g.streamWithoutModel(h, r)...)
	} else {
		effects = append(effects, g.callPlain(h, r)...)
	}
	if r.assigned == nil {
		return effects
	}
	return append(effects, g.placeNextWaiter(h, r.waitListKey())...)
}
