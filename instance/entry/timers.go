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

// Times of an entry's recurring work.
const (
	// TickEvery is the time between two looks at the queues and the rates while
	// there are requests.
	TickEvery = 25 * time.Millisecond
	// IdleTickEvery is the time between two looks at the rates and at the spread
	// of the configuration, also without requests.
	IdleTickEvery = rate.TickEvery
	// RefreshEvery is the time between two reads of the lagging list and of the
	// load of watched upstreams.
	RefreshEvery = time.Second
	// WatchAtOnce bounds the upstreams that are asked for their load at each
	// refresh; with more of them watched, they take turns. Those in use tell
	// theirs with every reply.
	WatchAtOnce = 16
)

// startTimers starts the recurring work.
func (e *Entry) startTimers() {
	e.pool.Resume(e.idleTick)
	if e.claimStore != nil {
		e.pool.After(e.claimSweep.Every, e.sweepClaims)
	}
	e.pool.Resume(e.refresh)
	e.pool.Resume(e.heartbeat)
	e.pool.Resume(e.greetSidecars)
	if e.layouts != nil {
		e.pool.Resume(e.layoutDue(time.Time{}))
	}
}

// idleTick looks at what time changes without requests.
func (e *Entry) idleTick(h *table.Held) []pool.Effect {
	e.pool.After(IdleTickEvery, e.idleTick)
	return append(e.spreadDue(h), e.tickRates(h)...)
}

// startTicking looks at the queues from now on, until there are no requests: an
// idle entry is not woken for them.
func (e *Entry) startTicking() {
	if e.ticking.CompareAndSwap(false, true) {
		e.pool.After(TickEvery, e.tick)
	}
}

// tick looks at what time changes for requests.
func (e *Entry) tick(h *table.Held) []pool.Effect {
	effects := append(e.sweepQueues(h), e.tickRates(h)...)
	if e.running.Load() > 0 {
		e.pool.After(TickEvery, e.tick)
		return effects
	}
	e.ticking.Store(false)
	if e.running.Load() > 0 {
		// One came in between and found the ticking going on.
		e.startTicking()
	}
	return effects
}

// tickRates lets the rates level between entries and decides who waited.
func (e *Entry) tickRates(h *table.Held) (effects []pool.Effect) {
	now := e.clock.Now()
	var result rate.Result
	e.rates.With(h, func(p *rate.Policy) { result = (*p).Tick(now) })
	return e.decided(h, result)
}

// decided goes on with requests that waited for their account's tokens.
func (e *Entry) decided(h *table.Held, result rate.Result) []pool.Effect {
	effects := e.sendRates(h, result.Out)
	for _, d := range result.Decided {
		effects = append(effects, e.decidedOne(h, d)...)
	}
	return effects
}

func (e *Entry) decidedOne(h *table.Held, d rate.Decided) []pool.Effect {
	if !d.Granted {
		refusal := contract.RefuseRepeat(contract.CodeRateLimited, d.After, "the client account is over its rate")
		return e.finish(h, d.Ticket, refusal)
	}
	return e.charged(h, d.Ticket, d.Account, d.Cost)
}

// refresh reads what others publish.
func (e *Entry) refresh(h *table.Held) []pool.Effect {
	e.pool.After(RefreshEvery, e.refresh)
	var effects []pool.Effect
	if e.instances != nil {
		effects = append(effects, e.readInstances())
	}
	return append(effects, e.watch(h)...)
}

// readInstances reads the lagging list of instances.
func (e *Entry) readInstances() pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		listed, err := e.instances.List(ctx)
		if err != nil {
			e.log.Warn("list of instances not read", "error", err)
			return nil
		}
		return func(h *table.Held) []pool.Effect { return e.listed(h, listed) }
	}}
}

// listed notes which upstreams are leaving.
func (e *Entry) listed(h *table.Held, listed []platform.Listed) []pool.Effect {
	now := e.clock.Now()
	var leaving []upstream.ID
	for _, l := range listed {
		if l.Kind == "sidecar" && l.Leaving {
			leaving = append(leaving, upstream.ID(l.Name))
		}
	}
	e.members.With(h, func(m **members) { (*m).list(now, listings(listed)) })
	e.board.With(h, func(b **placement.Board) { (*b).SetLeaving(now, leaving) })
	return nil
}

// watch asks the watched upstreams that have no call of this entry for their
// load; the others say it with their replies.
func (e *Entry) watch(h *table.Held) (effects []pool.Effect) {
	now := e.clock.Now()
	var watched []placement.Choice
	e.board.With(h, func(b **placement.Board) { watched = (*b).Watched(now) })
	header := e.header(h)
	for _, choice := range e.turnOf(watched) {
		if e.beginWatch(h, choice.Addr) {
			effects = append(effects, e.poll(choice.Addr, nil, header, 0))
		}
	}
	return effects
}

// turnOf gives the upstreams whose turn it is.
func (e *Entry) turnOf(watched []placement.Choice) []placement.Choice {
	if len(watched) <= WatchAtOnce {
		return watched
	}
	start := int(e.watchTurn.Add(WatchAtOnce)) % len(watched)
	turn := make([]placement.Choice, 0, WatchAtOnce)
	for i := range WatchAtOnce {
		turn = append(turn, watched[(start+i)%len(watched)])
	}
	return turn
}

// beginWatch claims the poll of a sidecar; it reports false if one runs.
func (e *Entry) beginWatch(h *table.Held, addr string) (begun bool) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if _, there := (*pollers)[addr]; there {
			return
		}
		(*pollers)[addr] = &poller{calls: make(map[contract.CallID]bool), active: true}
		begun = true
	})
	return begun
}
