package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// LayoutStore stores the layout of rate shares, which names the entries that hold the
// shares of the accounts' tokens.
type LayoutStore interface {
	// Load returns the layout and the version of its row; nil if there is none.
	Load(ctx context.Context) (layout *rate.Layout, version uint64, err error)
	// Save writes the next layout if the row still has the version. After an
	// error the layout may have been written or not; only Load can find out.
	Save(ctx context.Context, next *rate.Layout, version uint64) error
}

const (
	// layoutCheckEvery is the interval of checks whether a layout is needed.
	layoutCheckEvery = 100 * time.Millisecond
	// LayoutReadEvery is the interval of reads when no layout is needed. It may
	// be long because an entry also receives a new layout from the entry that
	// wrote it.
	LayoutReadEvery = 5 * time.Second
)

// checkLayout returns a step that reads the layout if one is needed or the last
// read, at the given time, is at least LayoutReadEvery ago.
func (e *Entry) checkLayout(read time.Time) pool.Step {
	return func(h *table.HeldLocks) []pool.Effect {
		now := e.clock.Now()
		if now.Sub(read) < LayoutReadEvery && !e.needsLayout(h, now) {
			e.pool.After(layoutCheckEvery, e.checkLayout(read))
			return nil
		}
		return []pool.Effect{e.loadLayout()}
	}
}

// withLayoutPolicy calls f, under the lock of the rates, if the policy needs a layout.
func (e *Entry) withLayoutPolicy(h *table.HeldLocks, f func(p rate.LayoutPolicy)) {
	e.rates.With(h, func(p *rate.Policy) {
		if layoutPolicy, ok := (*p).(rate.LayoutPolicy); ok {
			f(layoutPolicy)
		}
	})
}

func (e *Entry) needsLayout(h *table.HeldLocks, now time.Time) (wants bool) {
	e.withLayoutPolicy(h, func(p rate.LayoutPolicy) {
		_, proposes := p.ProposeLayout(now)
		wants = proposes || p.Layout().Epoch == 0
	})
	return wants
}

// loadLayout returns the effect that reads the layout. The next check is scheduled
// after its outcome.
func (e *Entry) loadLayout() pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		layout, version, err := e.layouts.Load(ctx)
		if err != nil {
			e.log.Debug("layout of rate shares not read", "error", err)
			return e.checkLayoutLater
		}
		return func(h *table.HeldLocks) []pool.Effect { return e.handleLayout(h, layout, version) }
	}}
}

// checkLayoutLater schedules the next check; a call that failed counts as a read.
func (e *Entry) checkLayoutLater(*table.HeldLocks) []pool.Effect {
	e.pool.After(layoutCheckEvery, e.checkLayout(e.clock.Now()))
	return nil
}

// handleLayout passes the layout to the policy. It writes the next one if the
// policy proposes one and uses the layout that was read.
func (e *Entry) handleLayout(h *table.HeldLocks, layout *rate.Layout, version uint64) []pool.Effect {
	now := e.clock.Now()
	var next *rate.Layout
	e.withLayoutPolicy(h, func(p rate.LayoutPolicy) {
		p.SetLayout(now, layout)
		proposed, ok := p.ProposeLayout(now)
		inForce := p.Layout().Epoch
		current := layout == nil && inForce == 0 || layout != nil && layout.Epoch == inForce
		if ok && current {
			next = proposed
		}
	})
	if next == nil {
		return e.checkLayoutLater(h)
	}
	return []pool.Effect{e.saveLayout(next, version)}
}

func (e *Entry) saveLayout(next *rate.Layout, version uint64) pool.Effect {
	return pool.Effect{Lane: lanePlatform, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		if err := e.layouts.Save(ctx, next, version); err != nil {
			e.log.Debug("layout of rate shares not written", "epoch", next.Epoch, "error", err)
			return e.checkLayoutLater
		}
		return func(h *table.HeldLocks) []pool.Effect {
			now := e.clock.Now()
			e.withLayoutPolicy(h, func(p rate.LayoutPolicy) { p.SetLayout(now, next) })
			e.log.Info("layout of rate shares written", "epoch", next.Epoch, "members", len(next.Members))
			return e.checkLayoutLater(h)
		}
	}}
}
