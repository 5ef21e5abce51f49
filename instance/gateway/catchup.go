package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/catchup"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// ownState returns what this process knows. version is that of the configuration in force.
func (m *members) ownState(version uint64) catchup.Own {
	return catchup.Own{
		State:    catchup.State{Config: version, List: m.listVersion},
		Away:     m.anyFeedDown(),
		Arriving: m.configRead.Begun(),
	}
}

// sources returns the live peers as sources of state, in random order.
func (m *members) sources(now time.Time) []catchup.Source {
	var out []catchup.Source
	for name, p := range m.peers {
		if !p.lastHeard.IsZero() && !p.lost && now.Sub(p.lastHeard) < PeerExpiry {
			out = append(out, catchup.Source{Name: name, State: p.stated, AskedAt: p.fetchedAt})
		}
	}
	return out
}

// catchUp fetches state that this process lacks from a peer, if it is time to.
func (g *Gateway) catchUp(h *table.HeldLocks) []pool.Effect {
	now := g.clock.Now()
	want := relay.Want{ConfigAfter: g.configVersion(h)}
	var from relay.Peer
	var call *progress.Call
	var ctx context.Context
	g.members.With(h, func(m **members) {
		own := (*m).ownState(want.ConfigAfter)
		name, what, ok := (*m).catchUp.Next(now, own, (*m).sources(now))
		if !ok {
			return
		}
		from = (*m).peers[name].Peer
		want.Config, want.List, want.ListAfter = what.Config, what.List, own.List
		ctx, call = progress.Start(g.ctx, progress.Limits{First: ReadTimeout, Quiet: AnswerPause, Total: LongestAnswer})
		(*m).fetch = call
	})
	if call == nil {
		return nil
	}
	return []pool.Effect{{
		Lane: laneCatchUp,
		Perform: func(context.Context) pool.Step {
			defer call.End()
			state, err := g.options.Peers.Fetch(ctx, from.Addr, want)
			received := g.clock.Now()
			return func(h *table.HeldLocks) []pool.Effect {
				return g.afterFetch(h, from.Name, state, received, call.Took(), err)
			}
		},
		OnPanic: func(reason any) pool.Step {
			return func(h *table.HeldLocks) []pool.Effect {
				return g.afterFetch(h, from.Name, relay.State{}, g.clock.Now(), 0, fmt.Errorf("gateway: panic: %v", reason))
			}
		},
	}}
}

// afterFetch applies what a peer gave. received is when its answer had arrived, took the time
// that the answer took to arrive.
func (g *Gateway) afterFetch(h *table.HeldLocks, from instance.Name, state relay.State, received time.Time, took time.Duration, err error) []pool.Effect {
	g.members.With(h, func(m **members) {
		(*m).catchUp.Done(g.clock.Now())
		(*m).fetch = nil
		if p, ok := (*m).peers[from]; ok {
			p.fetchedAt = g.clock.Now()
		}
	})
	if errors.Is(err, context.Canceled) {
		return g.catchUp(h) // it had become needless
	}
	if err != nil {
		g.log.Info(string(eventFetchFailed), "peer", from, "error", err)
		return g.catchUp(h)
	}
	g.log.Info(string(eventFetched), "peer", from, "config", state.Config != nil, "list", state.Upstreams != nil, "transfer_ms", took.Milliseconds())
	if state.Config != nil {
		g.adoptConfig(h, state.Config, string(from), received)
	}
	if state.Upstreams != nil {
		g.applyRelayedList(h, *state.Upstreams, state)
	}
	return g.catchUp(h)
}

// dropNeedlessFetch ends the fetch that goes on if what it brings has come from elsewhere.
func (g *Gateway) dropNeedlessFetch(h *table.HeldLocks) {
	version := g.configVersion(h)
	g.members.With(h, func(m **members) {
		if (*m).catchUp.Needless((*m).ownState(version)) {
			(*m).fetch.End()
		}
	})
}

// configVersion returns the version of the configuration in force, 0 if none is known.
func (g *Gateway) configVersion(h *table.HeldLocks) uint64 {
	if snapshot := g.snapshot(h); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// applyRelayedList applies a peer's list of upstreams while the registry does not
// answer here. Otherwise this process reads the list itself.
func (g *Gateway) applyRelayedList(h *table.HeldLocks, list registry.Upstreams, from relay.State) {
	if !g.registryDown(h) {
		return
	}
	if from.Steady {
		g.board.With(h, func(b **roster.Board) { (*b).RecordSteadyPeer(g.clock.Now()) })
	}
	g.applyUpstreams(h, list, string(from.From.Name))
}

// Fetch implements relay.Server.
func (g *Gateway) Fetch(ctx context.Context, w relay.Want) (relay.State, error) {
	return pool.Ask(ctx, g.pool, func(h *table.HeldLocks, answer func(relay.State)) []pool.Effect {
		now := g.clock.Now()
		var state relay.State
		var listVersion uint64
		g.members.With(h, func(m **members) {
			state.From, state.Steady, listVersion = (*m).self, (*m).steady(now), (*m).listVersion
		})
		g.board.With(h, func(b **roster.Board) {
			state.Steady = state.Steady && (*b).Settled(now)
			if w.List && listVersion > w.ListAfter {
				list := (*b).List(listVersion)
				state.Upstreams = &list
			}
		})
		if snapshot := g.snapshot(h); w.Config && snapshot != nil && snapshot.Version > w.ConfigAfter {
			state.Config = snapshot
			g.metrics.recordConfigSent()
		}
		answer(state)
		return nil
	})
}
