package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// LayoutStore keeps the layout of rates in the platform's table.
type LayoutStore interface {
	// Load reads the layout, or nil if there is none, and its row's version.
	Load(ctx context.Context) (layout *rate.Layout, version uint64, err error)
	// Save writes the next layout over the version. An error may also mean that
	// it was written; Load tells.
	Save(ctx context.Context, next *rate.Layout, version uint64) error
}

const (
	// layoutCheckEvery is the time between two looks whether a layout is needed.
	layoutCheckEvery = 100 * time.Millisecond
	// LayoutReadEvery is the time between two reads when none is needed: an
	// entry hears of a new layout from the entry that wrote it.
	LayoutReadEvery = 5 * time.Second
)

// layoutDue reads the layout when one is needed or the last read is long ago.
func (e *Entry) layoutDue(read time.Time) pool.Step {
	return func(h *table.Held) []pool.Effect {
		now := e.clock.Now()
		if now.Sub(read) < LayoutReadEvery && !e.wantsLayout(h, now) {
			e.pool.After(layoutCheckEvery, e.layoutDue(read))
			return nil
		}
		return []pool.Effect{e.loadLayout()}
	}
}

// withPlanner calls f if the policy needs a layout.
func (e *Entry) withPlanner(h *table.Held, f func(p rate.Planner)) {
	e.rates.With(h, func(p *rate.Policy) {
		if planner, ok := (*p).(rate.Planner); ok {
			f(planner)
		}
	})
}

func (e *Entry) wantsLayout(h *table.Held, now time.Time) (wants bool) {
	e.withPlanner(h, func(p rate.Planner) {
		_, proposes := p.Propose(now)
		wants = proposes || p.Layout().Epoch == 0
	})
	return wants
}

// loadLayout reads the layout; the next look comes after its outcome.
func (e *Entry) loadLayout() pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		layout, version, err := e.layouts.Load(ctx)
		if err != nil {
			e.log.Debug("layout of rates not read", "error", err)
			return e.layoutLater
		}
		return func(h *table.Held) []pool.Effect { return e.layoutLoaded(h, layout, version) }
	}}
}

// layoutLater looks again after a pause, as after a failed call.
func (e *Entry) layoutLater(*table.Held) []pool.Effect {
	e.pool.After(layoutCheckEvery, e.layoutDue(e.clock.Now()))
	return nil
}

// layoutLoaded takes a layout and writes the next one if that is needed.
func (e *Entry) layoutLoaded(h *table.Held, layout *rate.Layout, version uint64) []pool.Effect {
	now := e.clock.Now()
	var next *rate.Layout
	e.withPlanner(h, func(p rate.Planner) {
		p.SetLayout(now, layout)
		proposed, ok := p.Propose(now)
		inForce := p.Layout().Epoch
		current := layout == nil && inForce == 0 || layout != nil && layout.Epoch == inForce
		if ok && current {
			next = proposed
		}
	})
	if next == nil {
		return e.layoutLater(h)
	}
	return []pool.Effect{e.saveLayout(next, version)}
}

func (e *Entry) saveLayout(next *rate.Layout, version uint64) pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		if err := e.layouts.Save(ctx, next, version); err != nil {
			e.log.Debug("layout of rates not written", "epoch", next.Epoch, "error", err)
			return e.layoutLater
		}
		return func(h *table.Held) []pool.Effect {
			now := e.clock.Now()
			e.withPlanner(h, func(p rate.Planner) { p.SetLayout(now, next) })
			e.log.Info("layout of rates written", "epoch", next.Epoch, "members", len(next.Members))
			return e.layoutLater(h)
		}
	}}
}
