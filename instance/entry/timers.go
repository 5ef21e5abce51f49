package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// Intervals of an entry's periodic work.
const (
	// TickEvery is the interval of checks of the queues and the rates while there
	// are requests.
	TickEvery = 25 * time.Millisecond
	// IdleTickEvery is the interval of checks of the rates and of due
	// configuration fetches, whether the entry has requests or is idle.
	IdleTickEvery = rate.TickEvery
	// RefreshEvery is the interval between two reads of the platform's list of
	// instances and of the load of watched upstreams.
	RefreshEvery = time.Second
	// MaxWatchPolls bounds the upstreams that are polled for their load at each
	// refresh, in rotation. Upstreams in use send their load with every reply.
	MaxWatchPolls = 16
)

// startTimers starts the periodic work.
func (e *Entry) startTimers() {
	e.pool.Enqueue(e.backgroundTick)
	if e.claimStore != nil {
		e.pool.After(e.claimSweep.Every, e.sweepClaims)
	}
	e.pool.Enqueue(e.refreshFleetView)
	e.pool.Enqueue(e.heartbeat)
	e.pool.Enqueue(e.syncSidecars)
	if e.layouts != nil {
		e.pool.Enqueue(e.checkLayout(time.Time{}))
	}
}

// backgroundTick runs the periodic checks that do not depend on requests.
func (e *Entry) backgroundTick(h *table.HeldLocks) []pool.Effect {
	e.pool.After(IdleTickEvery, e.backgroundTick)
	return append(e.startFetchesAndCheckTrust(h), e.tickRates(h)...)
}

// startTicking schedules tick unless it is scheduled. It stops when there are no
// requests, so that an idle entry is not woken.
func (e *Entry) startTicking() {
	if e.ticking.CompareAndSwap(false, true) {
		e.pool.After(TickEvery, e.tick)
	}
}

// tick runs the periodic checks of queues and rates.
func (e *Entry) tick(h *table.HeldLocks) []pool.Effect {
	effects := append(e.sweepQueues(h), e.tickRates(h)...)
	if e.running.Load() > 0 {
		e.pool.After(TickEvery, e.tick)
		return effects
	}
	e.ticking.Store(false)
	if e.running.Load() > 0 {
		// A request arrived before ticking was reset and did not schedule a tick.
		e.startTicking()
	}
	return effects
}

// tickRates runs the rate policy's periodic work: balancing tokens between
// entries and deciding waiting requests.
func (e *Entry) tickRates(h *table.HeldLocks) (effects []pool.Effect) {
	now := e.clock.Now()
	var result rate.Result
	e.rates.With(h, func(p *rate.Policy) { result = (*p).Tick(now) })
	return e.handleRateResult(h, result)
}

// handleRateResult sends the messages of a result and continues or refuses the
// requests whose wait for tokens it decides.
func (e *Entry) handleRateResult(h *table.HeldLocks, result rate.Result) []pool.Effect {
	effects := e.sendRates(h, result.Messages)
	for _, d := range result.Decisions {
		effects = append(effects, e.handleRateDecision(h, d)...)
	}
	return effects
}

func (e *Entry) handleRateDecision(h *table.HeldLocks, d rate.Decision) []pool.Effect {
	if !d.Granted {
		refusal := contract.RefuseRetryable(contract.CodeRateLimited, d.RetryAfter, "the client account is over its rate")
		return e.refuseCharge(h, d.RequestID, refusal)
	}
	return e.startCharged(h, d.RequestID, d.Account, d.Cost)
}

// refreshFleetView reads the list of instances and polls watched upstreams.
func (e *Entry) refreshFleetView(h *table.HeldLocks) []pool.Effect {
	e.pool.After(RefreshEvery, e.refreshFleetView)
	var effects []pool.Effect
	if e.instances != nil {
		effects = append(effects, e.readInstances())
	}
	return append(effects, e.watch(h)...)
}

// readInstances returns the effect that reads the platform's list of instances.
func (e *Entry) readInstances() pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		listed, err := e.instances.List(ctx)
		if err != nil {
			e.log.Warn("list of instances not read", "error", err)
			return nil
		}
		return func(h *table.HeldLocks) []pool.Effect { return e.handleInstanceList(h, listed) }
	}}
}

// handleInstanceList updates the listed entries and the upstreams that are
// leaving.
func (e *Entry) handleInstanceList(h *table.HeldLocks, listed []platform.ListedInstance) []pool.Effect {
	now := e.clock.Now()
	var leaving []upstream.ID
	for _, l := range listed {
		if l.Kind == "sidecar" && l.Leaving {
			leaving = append(leaving, upstream.ID(l.Name))
		}
	}
	e.members.With(h, func(m **members) { (*m).setListed(now, listings(listed)) })
	e.board.With(h, func(b **placement.Board) { (*b).SetDraining(now, leaving) })
	return nil
}

// watch polls the watched upstreams that have no call of this entry for their
// load. The others send it with their replies.
func (e *Entry) watch(h *table.HeldLocks) (effects []pool.Effect) {
	now := e.clock.Now()
	var watched []placement.Choice
	e.board.With(h, func(b **placement.Board) { watched = (*b).Watched(now) })
	header := e.header(h)
	for _, choice := range e.nextWatched(watched) {
		if e.startWatch(h, choice.Addr) {
			effects = append(effects, e.poll(choice.Addr, nil, header, 0))
		}
	}
	return effects
}

// nextWatched returns the next MaxWatchPolls watched upstreams in the rotation.
func (e *Entry) nextWatched(watched []placement.Choice) []placement.Choice {
	if len(watched) <= MaxWatchPolls {
		return watched
	}
	start := int(e.watchOffset.Add(MaxWatchPolls)) % len(watched)
	turn := make([]placement.Choice, 0, MaxWatchPolls)
	for i := range MaxWatchPolls {
		turn = append(turn, watched[(start+i)%len(watched)])
	}
	return turn
}

// startWatch adds an active poller for a sidecar; it returns false if there is
// one.
func (e *Entry) startWatch(h *table.HeldLocks, addr string) (begun bool) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if _, exists := (*pollers)[addr]; exists {
			return
		}
		(*pollers)[addr] = &poller{calls: make(map[contract.CallID]bool), active: true}
		begun = true
	})
	return begun
}
