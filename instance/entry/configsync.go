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
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times and bounds of the distribution of configurations.
const (
	// ConfigPollEvery is the interval of reads of the store's head row.
	ConfigPollEvery = 2 * time.Second
	// AnnounceFanout is the number of entries to which a new revision is
	// announced at once.
	AnnounceFanout = 4
	// SyncTimeout bounds one exchange of a configuration between processes until its first
	// bytes arrive or are sent, and pauses in it; longestSync bounds all of it.
	SyncTimeout = 2 * time.Second
	longestSync = 20 * time.Second
)

// FillHeader implements heard.Node. It keeps ZonesHeard, which only heartbeats set.
func (e *Entry) FillHeader(head *peer.Header) (sent time.Time) {
	zones := head.ZonesHeard
	*head = e.header(table.NewHeldLocks())
	head.ZonesHeard = zones
	return e.clock.Now()
}

// RecordHeader implements heard.Node: it is called with the header of each reply that this
// entry receives and the time at which the request was sent. A newer revision is
// recorded to be fetched from the peer; a peer with an older one is sent the
// configuration.
func (e *Entry) RecordHeader(from config.Peer, head *peer.Header, sent time.Time) {
	h := table.NewHeldLocks()
	now := e.clock.Now()
	e.recordPeer(h, from, head, now.Sub(sent))
	var update config.Update
	behind := false
	e.config.With(h, func(s **config.Replicator) {
		(*s).ObserveRevision(now, head.Revision, from)
		update, behind = (*s).StartOffer(from, head.Revision)
	})
	if behind {
		e.pool.StartEffects(e.offerConfig(update))
	}
}

// offerConfig returns the effect that sends the configuration to a peer with an
// older one.
func (e *Entry) offerConfig(o config.Update) pool.Effect {
	done := func(h *table.HeldLocks) []pool.Effect {
		e.config.With(h, func(s **config.Replicator) { (*s).EndOffer(o.Peer) })
		return nil
	}
	return pool.Effect{
		Lane: laneSync,
		Perform: func(ctx context.Context) pool.Step {
			q := &peer.SyncRequest{Offer: o.Snapshot, Changes: o.Changes}
			if _, err := e.sync(ctx, o.Peer, q); err != nil {
				e.log.Debug("sending configuration to peer failed", "peer", o.Peer.Addr, "error", err)
			}
			return done
		},
		OnPanic: func(any) pool.Step { return done },
	}
}

// sync exchanges headers and configurations with an entry or a sidecar.
func (e *Entry) sync(ctx context.Context, to config.Peer, q *peer.SyncRequest) (*peer.SyncReply, error) {
	ctx, call := progress.Start(ctx, progress.Limits{First: SyncTimeout, Quiet: SyncTimeout, Total: longestSync})
	defer call.End()
	if to.Kind == zone.KindSidecar {
		return e.peers.Sidecar(to.Addr).Sync(ctx, q)
	}
	return e.peers.Entry(to.Addr).Sync(ctx, q)
}

// startFetchesAndCheckTrust starts the configuration fetches that are due and ends
// requests if the configuration is no longer trusted (see checkTrust).
func (e *Entry) startFetchesAndCheckTrust(h *table.HeldLocks) (effects []pool.Effect) {
	now := e.clock.Now()
	var due []config.Fetch
	e.config.With(h, func(s **config.Replicator) { due = (*s).DueFetches(now) })
	for _, f := range due {
		effects = append(effects, e.startFetch(f))
	}
	return append(effects, e.checkTrust(h)...)
}

// startFetch returns the effect that fetches a configuration from a peer, or from
// the store if f has none.
func (e *Entry) startFetch(f config.Fetch) pool.Effect {
	lane := laneSync
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
			return func(h *table.HeldLocks) []pool.Effect { return e.handleFetch(h, f, loaded, asked, err) }
		},
		OnPanic: func(reason any) pool.Step {
			err := fmt.Errorf("entry: panic: %v", reason)
			return func(h *table.HeldLocks) []pool.Effect { return e.handleFetch(h, f, config.Loaded{}, time.Time{}, err) }
		},
	}
}

// load reads the configuration from the store or a peer.
func (e *Entry) load(ctx context.Context, f config.Fetch) (config.Loaded, error) {
	if f.Peer == (config.Peer{}) {
		ctx, call := progress.Start(ctx, platform.CallLimits)
		defer call.End()
		return e.source.Load(ctx, f.Have)
	}
	reply, err := e.sync(ctx, f.Peer, &peer.SyncRequest{})
	if err != nil {
		return config.Loaded{}, err
	}
	return config.Loaded{Snapshot: reply.Snapshot, Changes: reply.Changes}, nil
}

// handleFetch installs a fetched configuration. asked is when the fetch
// started: the store's data is only known to be that recent.
func (e *Entry) handleFetch(h *table.HeldLocks, f config.Fetch, loaded config.Loaded, asked time.Time, err error) []pool.Effect {
	now := e.clock.Now()
	var effects []pool.Effect
	if err == nil {
		effects = e.install(h, loaded)
	}
	if err == nil && f.Peer == (config.Peer{}) {
		e.members.With(h, func(m **members) { (*m).RecordStoreRead(asked) })
	}
	e.config.With(h, func(s **config.Replicator) { (*s).EndFetch(now, f) })
	return effects
}

// install replaces the configuration with a newer one, ends requests whose key
// was withdrawn, and announces the revision to other entries. The first
// configuration makes the entry serve.
func (e *Entry) install(h *table.HeldLocks, loaded config.Loaded) []pool.Effect {
	var next *config.Snapshot
	changed := false
	e.config.With(h, func(s **config.Replicator) {
		_, changed, _ = (*s).ApplyUpdate(loaded.Snapshot, loaded.Changes)
		next = (*s).Current()
	})
	if !changed {
		return nil
	}
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) { (*p).SetAccounts(now, next.Revision, next.Accounts) })
	e.board.With(h, func(b **placement.Board) { (*b).SetUpstreams(now, next.Upstreams) })
	e.log.Info("configuration in force", "revision", next.Revision)
	e.life.Advance(instance.Serving)
	effects := e.retainConfigured(h, next)
	effects = append(effects, e.terminateKeyed(h, func(r *request) *contract.Refusal {
		_, refusal := next.CheckKey(r.Key)
		return refusal
	})...)
	return append(effects, e.sendHeartbeats(h, AnnounceFanout, AnnounceFanout)...)
}

// terminateKeyed ends the requests on routes with keys for which check returns a
// refusal.
func (e *Entry) terminateKeyed(h *table.HeldLocks, check func(r *request) *contract.Refusal) (effects []pool.Effect) {
	refusals := make(map[contract.RequestID]*contract.Refusal)
	e.requests.Each(h, func(rows map[contract.RequestID]*request) {
		for id, r := range rows {
			if r.state == stateEnded || r.Route.Open {
				continue
			}
			if refusal := check(r); refusal != nil {
				refusals[id] = refusal
			}
		}
	})
	for id, refusal := range refusals {
		effects = append(effects, e.terminate(h, id, refusal)...)
	}
	return effects
}

// terminate ends a request in any state because of its caller, deadline or key. If
// it has a claim, the claim's machine determines whether it ran.
func (e *Entry) terminate(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	if known, ok := e.cancelClaim(h, id, refusal.Code, refusal.Reason); ok {
		return e.finish(h, id, known)
	}
	return e.terminateWithoutClaim(h, id, refusal)
}
