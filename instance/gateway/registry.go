package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/registry"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Times of the registry reads.
const (
	// ReadTimeout bounds one call to the registry that is not a watch until its answer
	// begins. Taking a lease is a read and a write and may last twice as long.
	ReadTimeout = time.Second
	// AnswerPause is the longest pause in an answer that is arriving. LongestAnswer bounds
	// all of it: 4 MB at a sixth of 10 Mbit/s.
	AnswerPause   = time.Second
	LongestAnswer = 20 * time.Second
	// ReadRetryDelay is the pause after a failed call. Refused calls are billed
	// too, but changes must be seen within two seconds of the registry's return.
	ReadRetryDelay = 400 * time.Millisecond
)

// startBackground starts the registry reads, the exchanges with peers and the role
// checks.
func (g *Gateway) startBackground() {
	for _, step := range []pool.Step{g.readConfig, g.readUpstreams, g.enterRegistry, g.runPeriodicWork, g.checkRoles, g.saveDemand, g.saveBansPeriodically} {
		g.pool.Enqueue(step)
	}
}

// registryCall makes an effect of a blocking call to the registry with a short answer.
func registryCall(timeout time.Duration, call func(ctx context.Context) pool.Step) []pool.Effect {
	return []pool.Effect{{Lane: laneRegistry, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return call(ctx)
	}}}
}

// registryRead makes an effect of a read whose answer may be long. It ends if the answer has
// not begun after the time first, or pauses. If observe is not nil, it gets the read.
func registryRead(first time.Duration, observe func(*progress.Call), read func(ctx context.Context) pool.Step) []pool.Effect {
	return []pool.Effect{{Lane: laneRegistry, Perform: func(ctx context.Context) pool.Step {
		ctx, call := progress.Start(ctx, progress.Limits{First: first, Quiet: AnswerPause, Total: LongestAnswer})
		defer call.End()
		if observe != nil {
			observe(call)
		}
		return read(ctx)
	}}}
}

// observeConfigRead records the read of the configuration that is going on.
func (g *Gateway) observeConfigRead(call *progress.Call) {
	g.members.With(table.NewHeldLocks(), func(m **members) { (*m).configRead = call })
}

// readConfig reads the newest configuration without a starting version.
func (g *Gateway) readConfig(*table.HeldLocks) []pool.Effect {
	return registryRead(ReadTimeout, g.observeConfigRead, func(ctx context.Context) pool.Step {
		update, err := g.registry.ReadConfig(ctx)
		err = wholeReadError(err)
		answered := g.clock.Now()
		return func(h *table.HeldLocks) []pool.Effect {
			return g.afterConfigRead(h, update, answered, err, g.readConfig)
		}
	})
}

// watchConfig waits for the next configuration; pollConfig returns without waiting.
func (g *Gateway) watchConfig(h *table.HeldLocks) []pool.Effect {
	var lastRead time.Duration
	g.config.With(h, func(c **configuration) { lastRead = (*c).readTook })
	return g.readConfigSince(h, g.options.Changes.configWatchTimeout(lastRead))
}
func (g *Gateway) pollConfig(h *table.HeldLocks) []pool.Effect { return g.readConfigSince(h, 0) }

func (g *Gateway) readConfigSince(h *table.HeldLocks, wait time.Duration) []pool.Effect {
	var seen uint64
	g.config.With(h, func(c **configuration) { seen = (*c).seen })
	return registryRead(wait+WatchSlack, g.observeConfigRead, func(ctx context.Context) pool.Step {
		asked := g.clock.Now()
		update, err := g.registry.WatchConfig(ctx, seen, wait)
		answered := g.clock.Now()
		if wait > 0 {
			err = watchError(ctx, answered.Sub(asked), err)
		}
		return func(h *table.HeldLocks) []pool.Effect {
			return g.afterConfigRead(h, update, answered, err, g.pollConfig)
		}
	})
}

// afterConfigRead applies the configuration that was read and continues to watch. answered is
// when the read ended. After a failure it schedules onError.
func (g *Gateway) afterConfigRead(h *table.HeldLocks, update registry.ConfigUpdate, answered time.Time, err error, onError pool.Step) []pool.Effect {
	// Only after the answer was applied: until then no peer is to be read from.
	defer g.members.With(h, func(m **members) { (*m).configRead = nil })
	if errors.Is(err, registry.ErrHistoryGone) {
		g.log.Info(string(eventHistoryGone), "what", feedConfig.String())
		return g.readConfig(h)
	}
	if lost := (*unansweredError)(nil); errors.As(err, &lost) {
		g.log.Info(string(eventWatchUnanswered), "what", feedConfig.String(), "error", err)
		return g.pollAfter(h, lost, g.pollConfig)
	}
	g.recordFeedResult(h, feedConfig, err)
	if err != nil {
		g.pool.After(ReadRetryDelay, onError)
		return nil
	}
	now := g.clock.Now()
	g.config.With(h, func(c **configuration) {
		(*c).seen = max((*c).seen, update.Version)
		if update.Newest != nil {
			(*c).readTook = update.Transfer.Took + update.Transfer.Decode
		}
		(*c).confirmedAt = now
	})
	// Evacuated zones come first: a request that the new configuration lets in must not go
	// there.
	g.changeEvacuations(h, "registry", func(e zone.Evacuations) zone.Evacuations { return e.Apply(update.Evacuations) })
	if update.Newest != nil {
		g.log.Info(string(eventConfigRead), "version", update.Newest.Version, "bytes", update.Transfer.Bytes,
			"transfer_ms", update.Transfer.Took.Milliseconds(), "decode_ms", update.Transfer.Decode.Milliseconds())
		g.adoptConfig(h, update.Newest, "registry", answered)
	}
	return g.watchConfig(h)
}

// adoptConfig puts a configuration in force unless the current one is as new or newer.
// from names its source in the log, received is when it arrived.
func (g *Gateway) adoptConfig(h *table.HeldLocks, snapshot *directory.Snapshot, from string, received time.Time) {
	adopted := false
	var inForce time.Time
	urgency := snapshot.Urgency()
	g.config.With(h, func(c **configuration) {
		if (*c).current == nil || snapshot.Version > (*c).current.Version {
			(*c).current, (*c).urgency = snapshot, urgency
			inForce = g.clock.Now()
			(*c).confirmedAt = inForce
			adopted = true
		}
	})
	if !adopted {
		return
	}
	g.dropNeedlessFetch(h)
	g.retainConfigured(h, snapshot)
	g.shortages.With(h, func(l **shortage.Ledger) { (*l).Configure(g.clock.Now(), snapshot.Version, urgency.Services()) })
	g.traffic.With(h, func(l **traffic.Ledger) {
		(*l).Retain(func(name directory.ServiceName) bool { return snapshot.Services[name] != nil })
	})
	g.applyColdRules(h, snapshot)
	g.log.Info(string(eventConfig), "version", snapshot.Version, "from", from, "apply_ms", inForce.Sub(received).Milliseconds(), "hosts", len(snapshot.Hosts),
		"accounts", len(snapshot.Accounts), "services", len(snapshot.Services))
	g.becomeReady(h)
}

// becomeReady makes the process ready once it knows a configuration, the evacuated zones and
// upstreams, and has tried to list the other gateways, whose number divides quotas and backlogs.
func (g *Gateway) becomeReady(h *table.HeldLocks) {
	upstreams := 0
	g.board.With(h, func(b **roster.Board) { upstreams = (*b).Len() })
	enterTried := false
	g.members.With(h, func(m **members) { enterTried = (*m).enterTried })
	if g.snapshot(h) == nil || upstreams == 0 || !enterTried || !g.evacuations(h).Known() {
		return
	}
	if g.life.Advance(instance.Serving) {
		g.log.Info(string(eventServing), "upstreams", upstreams)
	}
}

// readUpstreams reads the complete list of upstreams.
func (g *Gateway) readUpstreams(*table.HeldLocks) []pool.Effect {
	return registryRead(ReadTimeout, nil, func(ctx context.Context) pool.Step {
		list, err := g.registry.ReadUpstreams(ctx)
		err = wholeReadError(err)
		return func(h *table.HeldLocks) []pool.Effect { return g.afterUpstreamsRead(h, list, err, g.readUpstreams) }
	})
}

// watchUpstreams waits for the next change of the list; pollUpstreams returns without
// waiting. It is used after a failure, since only an immediate answer shows that the
// registry is back.
func (g *Gateway) watchUpstreams(h *table.HeldLocks) []pool.Effect {
	return g.readUpstreamsSince(h, g.options.Changes.upstreamsWatchTimeout())
}
func (g *Gateway) pollUpstreams(h *table.HeldLocks) []pool.Effect { return g.readUpstreamsSince(h, 0) }

func (g *Gateway) readUpstreamsSince(h *table.HeldLocks, wait time.Duration) []pool.Effect {
	var seen uint64
	g.members.With(h, func(m **members) { seen = (*m).listVersion })
	return registryRead(wait+WatchSlack, nil, func(ctx context.Context) pool.Step {
		asked := g.clock.Now()
		list, err := g.registry.WatchUpstreams(ctx, seen, wait)
		if wait > 0 {
			err = watchError(ctx, g.clock.Now().Sub(asked), err)
		}
		return func(h *table.HeldLocks) []pool.Effect { return g.afterUpstreamsRead(h, list, err, g.pollUpstreams) }
	})
}

func (g *Gateway) afterUpstreamsRead(h *table.HeldLocks, list registry.Upstreams, err error, onError pool.Step) []pool.Effect {
	if errors.Is(err, registry.ErrHistoryGone) {
		g.log.Info(string(eventHistoryGone), "what", feedUpstreams.String())
		return g.readUpstreams(h)
	}
	if lost := (*unansweredError)(nil); errors.As(err, &lost) {
		g.log.Info(string(eventWatchUnanswered), "what", feedUpstreams.String(), "error", err)
		return g.pollAfter(h, lost, g.pollUpstreams)
	}
	g.recordFeedResult(h, feedUpstreams, err)
	if err != nil {
		g.pool.After(ReadRetryDelay, onError)
		return nil
	}
	g.applyUpstreams(h, list, "registry")
	if len(list.Present)+len(list.Gone) > 0 {
		g.pool.After(WatchPause, g.watchUpstreams)
		return nil
	}
	return g.watchUpstreams(h)
}

// applyUpstreams applies a change of the list of upstreams unless a later version is
// known. from names its source in the log.
func (g *Gateway) applyUpstreams(h *table.HeldLocks, list registry.Upstreams, from string) {
	newer, restored := false, false
	var changes []roster.Change
	g.members.With(h, func(m **members) {
		if list.Version < (*m).listVersion {
			return
		}
		newer = true
		restored = (*m).listVersion > 0 && registry.EraOf(list.Version) > registry.EraOf((*m).listVersion)
		(*m).listVersion = list.Version
		// Under the same lock: a peer that is told this version gets this list, and lists are
		// applied in the order of their versions.
		g.board.With(h, func(b **roster.Board) {
			if restored {
				(*b).RecordRestore(g.clock.Now())
			}
			changes = (*b).Apply(g.clock.Now(), list)
		})
	})
	if !newer {
		return
	}
	g.dropNeedlessFetch(h)
	if restored {
		g.log.Info(string(eventRegistryRestored), "list_version", list.Version, "from", from)
		// The copy may be older than this process's entry.
		g.pool.Enqueue(g.enterAgain)
	}
	g.logChanges(changes, from, list.Version)
	g.forgetUpstreams(h, changes)
	g.becomeReady(h)
}

// logChanges logs changes of the list of upstreams. from is their source: registry, the
// name of a peer or, for registrations that expired, lapse.
func (g *Gateway) logChanges(changes []roster.Change, from string, version uint64) {
	for _, c := range changes {
		g.log.Info(string(eventUpstream), "upstream", c.ID, "change", c.Kind, "address", c.Addr, "role", c.Role.String(),
			"from", from, "list_version", version)
	}
}

// feed is one of the things that are read from the registry.
type feed int

const (
	feedConfig feed = iota
	feedUpstreams
	feedCount
)

// String returns the name of a feed in logs.
func (f feed) String() string {
	return [feedCount]string{feedConfig: "configuration", feedUpstreams: "upstreams"}[f]
}

// recordFeedResult records whether a read of a feed succeeded. The registry counts as
// down while any feed fails; the board then keeps upstreams whose registration expires.
func (g *Gateway) recordFeedResult(h *table.HeldLocks, f feed, err error) {
	now := g.clock.Now()
	var before, after bool
	g.members.With(h, func(m **members) {
		before = (*m).anyFeedDown()
		(*m).feedDown[f] = err != nil
		after = (*m).anyFeedDown()
	})
	switch {
	case after && !before:
		g.log.Warn(string(eventRegistryLost), "error", err)
		g.board.With(h, func(b **roster.Board) { (*b).MarkRegistryDown() })
	case before && !after:
		g.log.Info(string(eventRegistryBack))
		g.board.With(h, func(b **roster.Board) { (*b).MarkRegistryUp(now) })
	}
}

// SweepEvery is the interval of runPeriodicWork.
const SweepEvery = 500 * time.Millisecond

// runPeriodicWork removes upstreams whose registration has expired, starts a new round
// of the quota meter, decides on the parts of prompts that crash engines and exchanges
// messages with peers. It schedules itself again.
func (g *Gateway) runPeriodicWork(h *table.HeldLocks) []pool.Effect {
	now := g.clock.Now()
	var changes []roster.Change
	g.board.With(h, func(b **roster.Board) { changes = (*b).Expire(now) })
	g.logChanges(changes, "lapse", 0)
	g.logHeadroom(h, now)
	g.forgetUpstreams(h, changes)
	g.sweepNames(h, now)
	g.updateFleets(h, now)
	g.logPaces(h)
	processes := g.countGateways(h, now)
	g.quotas.With(h, func(q **quota.Meter) { (*q).BeginRound(processes) })
	g.pool.After(SweepEvery, g.runPeriodicWork)
	effects := append(g.decideBans(h), g.catchUp(h)...)
	return append(effects, g.exchangeWithPeers(h)...)
}
