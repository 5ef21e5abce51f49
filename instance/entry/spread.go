package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times and bounds of the spread of configurations.
const (
	// ConfigPollEvery is the time between two reads of the store's head row.
	ConfigPollEvery = 2 * time.Second
	// AnnounceFanout is how many entries hear of a new revision at once.
	AnnounceFanout = 4
	// SyncTimeout bounds one exchange of a configuration between processes.
	SyncTimeout = 2 * time.Second
)

// Stamp implements heard.Node. Only heartbeats carry news of zones.
func (e *Entry) Stamp(head *peer.Header) (sent time.Time) {
	zones := head.ZonesHeard
	*head = e.header(table.NewHeld())
	head.ZonesHeard = zones
	return e.clock.Now()
}

// Heard implements heard.Node: a peer that is ahead is asked, one that is behind
// is told.
func (e *Entry) Heard(from config.Peer, head *peer.Header, sent time.Time) {
	h := table.NewHeld()
	now := e.clock.Now()
	e.memberHeard(h, from, head, now.Sub(sent))
	var offering config.Offering
	behind := false
	e.config.With(h, func(s **config.Spread) {
		(*s).Hear(now, head.Revision, from)
		offering, behind = (*s).Help(from, head.Revision)
	})
	if behind {
		e.pool.Start(e.help(offering))
	}
}

// help sends a configuration to a peer that is behind.
func (e *Entry) help(o config.Offering) pool.Effect {
	done := func(h *table.Held) []pool.Effect {
		e.config.With(h, func(s **config.Spread) { (*s).Helped(o.Peer) })
		return nil
	}
	return pool.Effect{
		Lane: laneSpread,
		Perform: func(ctx context.Context) pool.Step {
			q := &peer.SyncRequest{Offer: o.Snapshot, Changes: o.Changes}
			if _, err := e.sync(ctx, o.Peer, q); err != nil {
				e.log.Debug("configuration not handed over", "peer", o.Peer.Addr, "error", err)
			}
			return done
		},
		OnPanic: func(any) pool.Step { return done },
	}
}

// sync makes one exchange with an entry or a sidecar.
func (e *Entry) sync(ctx context.Context, to config.Peer, q *peer.SyncRequest) (*peer.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, SyncTimeout)
	defer cancel()
	if to.Kind == zone.KindSidecar {
		return e.peers.Sidecar(to.Addr).Sync(ctx, q)
	}
	return e.peers.Entry(to.Addr).Sync(ctx, q)
}

// spreadDue starts the fetches that are due and looks whether the configuration
// may still be trusted.
func (e *Entry) spreadDue(h *table.Held) (effects []pool.Effect) {
	now := e.clock.Now()
	var due []config.Fetch
	e.config.With(h, func(s **config.Spread) { due = (*s).Due(now) })
	for _, f := range due {
		effects = append(effects, e.fetch(f))
	}
	return append(effects, e.checkTrust(h)...)
}

// fetch gets a configuration from where the decision says.
func (e *Entry) fetch(f config.Fetch) pool.Effect {
	lane := laneSpread
	if f.Peer == (config.Peer{}) {
		lane = lanePlatform
	}
	return pool.Effect{
		Lane: lane,
		Perform: func(ctx context.Context) pool.Step {
			asked := e.clock.Now()
			loaded, err := e.load(ctx, f)
			if err != nil {
				e.log.Warn("configuration not read", "peer", f.Peer.Addr, "error", err)
			}
			return func(h *table.Held) []pool.Effect { return e.fetched(h, f, loaded, asked, err) }
		},
		OnPanic: func(reason any) pool.Step {
			err := fmt.Errorf("entry: panic: %v", reason)
			return func(h *table.Held) []pool.Effect { return e.fetched(h, f, config.Loaded{}, time.Time{}, err) }
		},
	}
}

// load asks the store or a peer.
func (e *Entry) load(ctx context.Context, f config.Fetch) (config.Loaded, error) {
	if f.Peer == (config.Peer{}) {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		return e.source.Load(ctx, f.Have)
	}
	reply, err := e.sync(ctx, f.Peer, &peer.SyncRequest{})
	if err != nil {
		return config.Loaded{}, err
	}
	return config.Loaded{Snapshot: reply.Snapshot, Changes: reply.Changes}, nil
}

// fetched puts what a fetch brought in force. It is as old as the question.
func (e *Entry) fetched(h *table.Held, f config.Fetch, loaded config.Loaded, asked time.Time, err error) []pool.Effect {
	now := e.clock.Now()
	var effects []pool.Effect
	if err == nil {
		effects = e.install(h, loaded)
	}
	if err == nil && f.Peer == (config.Peer{}) {
		e.members.With(h, func(m **members) { (*m).ReadStore(asked) })
	}
	e.config.With(h, func(s **config.Spread) { (*s).Fetched(now, f) })
	return effects
}

// install puts a configuration in force if it is newer, ends requests whose key
// was withdrawn, and tells others.
func (e *Entry) install(h *table.Held, loaded config.Loaded) []pool.Effect {
	var next *config.Snapshot
	changed := false
	e.config.With(h, func(s **config.Spread) {
		_, changed, _ = (*s).Take(loaded.Snapshot, loaded.Changes)
		next = (*s).Current()
	})
	if !changed {
		return nil
	}
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) { (*p).SetContracts(now, next.Revision, next.Accounts) })
	e.board.With(h, func(b **placement.Board) { (*b).SetUpstreams(now, next.Upstreams) })
	e.log.Info("configuration in force", "revision", next.Revision)
	e.life.Advance(instance.Serving)
	effects := e.cutKeyed(h, func(r *request) *contract.Refusal {
		_, refusal := next.CheckKey(r.Key)
		return refusal
	})
	return append(effects, e.sendHeartbeats(h, AnnounceFanout, AnnounceFanout)...)
}

// cutKeyed ends the requests on keyed routes that check refuses.
func (e *Entry) cutKeyed(h *table.Held, check func(r *request) *contract.Refusal) (effects []pool.Effect) {
	cut := make(map[contract.RequestID]*contract.Refusal)
	e.requests.Each(h, func(rows map[contract.RequestID]*request) {
		for id, r := range rows {
			if r.state == stateEnded || r.Route.Open {
				continue
			}
			if refusal := check(r); refusal != nil {
				cut[id] = refusal
			}
		}
	})
	for id, refusal := range cut {
		effects = append(effects, e.cutOne(h, id, refusal)...)
	}
	return effects
}

// cutOne ends a request from outside; the claim of one that holds one knows best
// whether it ran.
func (e *Entry) cutOne(h *table.Held, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	if truth, ok := e.claimTimeUp(h, id, refusal.Code, refusal.Reason); ok {
		return e.finish(h, id, truth)
	}
	return e.cut(h, id, refusal)
}
