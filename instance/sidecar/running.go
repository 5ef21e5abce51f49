package sidecar

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// callKey is a call's key in the table of calls. An earlier attempt of a request
// may still be on its way out while a later one starts.
type callKey string

func keyOf(call contract.CallID) callKey {
	return callKey(call.String())
}

// running is a call that the upstream works on: the row of the table of calls.
type running struct {
	call  contract.CallID
	owner instance.Name
	// once calls go on when their caller is gone.
	once bool
	// cancel ends the call to the upstream; nil until it was started.
	cancel   context.CancelFunc
	canceled bool
	// waiting is the call to the upstream while it has no place for it yet.
	waiting *pool.Effect
}

// begin enters a call; ok is false if it is there already.
func (s *Sidecar) begin(h *table.Held, r *running) (ok bool) {
	s.calls.With(h, keyOf(r.call), func(rows map[callKey]*running) {
		if _, there := rows[keyOf(r.call)]; there {
			return
		}
		rows[keyOf(r.call)] = r
		ok = true
	})
	return ok
}

// attach gives a running call its context. A call that was canceled before gets
// one that has ended.
func (s *Sidecar) attach(ctx context.Context, r *running) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.calls.With(table.NewHeld(), keyOf(r.call), func(map[callKey]*running) {
		r.cancel = cancel
		if r.canceled {
			cancel()
		}
	})
	return ctx
}

// end removes a call and frees its context.
func (s *Sidecar) end(h *table.Held, r *running) {
	s.calls.With(h, keyOf(r.call), func(rows map[callKey]*running) {
		if rows[keyOf(r.call)] == r {
			delete(rows, keyOf(r.call))
		}
		if r.cancel != nil {
			r.cancel()
		}
	})
}

// abort ends the work on calls at the upstream. Grants are given back when the
// upstream has said that it freed the memory, so no new grant is made before.
func (s *Sidecar) abort(h *table.Held, calls []contract.CallID) []pool.Effect {
	var effects []pool.Effect
	for _, call := range calls {
		if s.stop(h, call) {
			effects = append(effects, s.cancelAtUpstream(call))
		}
	}
	return effects
}

// stop marks a call as canceled and reports whether the upstream has to be told.
// Calls that may not be repeated run on, so that their outcome is known.
func (s *Sidecar) stop(h *table.Held, call contract.CallID) (tell bool) {
	tell = true
	s.calls.With(h, keyOf(call), func(rows map[callKey]*running) {
		r, there := rows[keyOf(call)]
		if !there {
			return
		}
		if r.once {
			tell = false
			return
		}
		r.canceled = true
		if r.cancel != nil {
			r.cancel()
		}
	})
	return tell
}

// cancelAtUpstream tells the engine to free a call, again until it hears.
func (s *Sidecar) cancelAtUpstream(call contract.CallID) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		if s.engine == nil {
			return s.released(call)
		}
		ctx, cancel := context.WithTimeout(ctx, CancelTimeout)
		defer cancel()
		if err := s.engine.Cancel(ctx, call); err != nil {
			s.log.Warn("cancel failed", "request", call.Request, "attempt", call.Attempt, "error", err)
			return s.cancelLater(call)
		}
		return s.released(call)
	}
	return pool.Effect{Lane: laneCancel, Perform: perform}
}

// cancelLater sends a failed cancel again after CancelRetry.
func (s *Sidecar) cancelLater(call contract.CallID) pool.Step {
	again := func(*table.Held) []pool.Effect {
		return []pool.Effect{s.cancelAtUpstream(call)}
	}
	return func(*table.Held) []pool.Effect {
		s.pool.After(CancelRetry, again)
		return nil
	}
}

// released gives a call's grant back.
func (s *Sidecar) released(call contract.CallID) pool.Step {
	return func(h *table.Held) []pool.Effect {
		s.release(h, call)
		return nil
	}
}

// release gives a call's grant back and sends the calls that waited for it.
func (s *Sidecar) release(h *table.Held, call contract.CallID) {
	var next []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) {
		(*l).Release(s.clock.Now(), call)
		next = (*l).Next()
	})
	s.dropWaiting(h, call)
	for _, c := range next {
		if effect, ok := s.takeWaiting(h, c); ok {
			s.pool.Start(effect)
		}
	}
}

// sweep ends calls whose grants were not renewed and drops old output.
func (s *Sidecar) sweep(h *table.Held) []pool.Effect {
	var expired []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) { expired = (*l).Lapsed(s.clock.Now()) })
	for _, call := range expired {
		s.log.Info("lease ran out", "request", call.Request, "attempt", call.Attempt)
		s.closeStream(h, s.ownerOf(h, call), call)
	}
	effects := s.abort(h, expired)
	s.dropOldOutput(h)
	s.pool.After(SweepEvery, s.sweep)
	return effects
}

// ownerOf finds the entry whose call runs; empty if it does not run.
func (s *Sidecar) ownerOf(h *table.Held, call contract.CallID) (owner instance.Name) {
	s.calls.With(h, keyOf(call), func(rows map[callKey]*running) {
		if r, there := rows[keyOf(call)]; there {
			owner = r.owner
		}
	})
	return owner
}
