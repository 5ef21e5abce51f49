package sidecar

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// callKey is a call's key in the table of calls. It includes the attempt, because an
// earlier attempt of a request may still be ending while a later one starts.
type callKey string

func keyOf(call contract.CallID) callKey {
	return callKey(call.String())
}

// runningCall is a row of the table of calls: a call accepted for the upstream, from
// before it is sent until it has ended. Its fields are guarded by the table's lock.
type runningCall struct {
	call  contract.CallID
	owner instance.Name
	// once marks a non-repeatable call, which is not canceled when its caller
	// disconnects.
	once bool
	// cancel ends the call to the upstream; nil until attachContext.
	cancel context.CancelFunc
	// canceled is set if the call was canceled, possibly before attachContext.
	canceled bool
	// pending is the call to the upstream while it waits for a free slot; nil
	// once it has started.
	pending *pool.Effect
}

// addCall adds a call to the table; ok is false if the table has it already.
func (s *Sidecar) addCall(h *table.HeldLocks, r *runningCall) (ok bool) {
	s.calls.With(h, keyOf(r.call), func(rows map[callKey]*runningCall) {
		if _, found := rows[keyOf(r.call)]; found {
			return
		}
		rows[keyOf(r.call)] = r
		ok = true
	})
	return ok
}

// attachContext derives the context of a call to the upstream. It is already canceled
// if the call was canceled before; removeCall releases it.
func (s *Sidecar) attachContext(ctx context.Context, r *runningCall) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.calls.With(table.NewHeldLocks(), keyOf(r.call), func(map[callKey]*runningCall) {
		r.cancel = cancel
		if r.canceled {
			cancel()
		}
	})
	return ctx
}

// removeCall removes a call from the table and cancels its context.
func (s *Sidecar) removeCall(h *table.HeldLocks, r *runningCall) {
	s.calls.With(h, keyOf(r.call), func(rows map[callKey]*runningCall) {
		if rows[keyOf(r.call)] == r {
			delete(rows, keyOf(r.call))
		}
		if r.cancel != nil {
			r.cancel()
		}
	})
}

// abort cancels calls and returns the effects that cancel them at the upstream. A
// grant is released only after the upstream has acknowledged the cancel, so that its
// memory is not granted again while still in use.
func (s *Sidecar) abort(h *table.HeldLocks, calls []contract.CallID) []pool.Effect {
	var effects []pool.Effect
	for _, call := range calls {
		if s.markCanceled(h, call) {
			effects = append(effects, s.cancelAtUpstream(call))
		}
	}
	return effects
}

// markCanceled cancels a call's context and reports whether the upstream must be
// notified. Non-repeatable calls run on, so that their outcome becomes known. An
// unknown call is notified too: the upstream may still hold memory for it.
func (s *Sidecar) markCanceled(h *table.HeldLocks, call contract.CallID) (notify bool) {
	notify = true
	s.calls.With(h, keyOf(call), func(rows map[callKey]*runningCall) {
		r, found := rows[keyOf(call)]
		if !found {
			return
		}
		if r.once {
			notify = false
			return
		}
		r.canceled = true
		if r.cancel != nil {
			r.cancel()
		}
	})
	return notify
}

// cancelAtUpstream returns the effect that cancels a call at the engine, retried until
// the engine acknowledges it, and then releases the grant.
func (s *Sidecar) cancelAtUpstream(call contract.CallID) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		if s.engine == nil {
			return s.releaseStep(call)
		}
		ctx, cancel := context.WithTimeout(ctx, CancelTimeout)
		defer cancel()
		if err := s.engine.Cancel(ctx, call); err != nil {
			s.log.Warn("cancel failed", "request", call.Request, "attempt", call.Attempt, "error", err)
			return s.retryCancel(call)
		}
		return s.releaseStep(call)
	}
	return pool.Effect{Lane: laneCancel, Perform: perform}
}

// retryCancel returns the step that schedules another cancel after CancelRetryDelay.
func (s *Sidecar) retryCancel(call contract.CallID) pool.Step {
	again := func(*table.HeldLocks) []pool.Effect {
		return []pool.Effect{s.cancelAtUpstream(call)}
	}
	return func(*table.HeldLocks) []pool.Effect {
		s.pool.After(CancelRetryDelay, again)
		return nil
	}
}

// releaseStep returns the step that releases a call's grant.
func (s *Sidecar) releaseStep(call contract.CallID) pool.Step {
	return func(h *table.HeldLocks) []pool.Effect {
		s.release(h, call)
		return nil
	}
}

// release releases a call's grant and starts the pending calls that now have room. It
// does nothing for a call without a grant.
func (s *Sidecar) release(h *table.HeldLocks, call contract.CallID) {
	var next []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) {
		(*l).Release(s.clock.Now(), call)
		next = (*l).AdmitWaiters()
	})
	s.dropPending(h, call)
	for _, c := range next {
		if effect, ok := s.takePending(h, c); ok {
			s.pool.StartEffects(effect)
		}
	}
}

// sweep cancels calls whose lease expired, drops old output and schedules the next
// sweep.
func (s *Sidecar) sweep(h *table.HeldLocks) []pool.Effect {
	var expired []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) { expired = (*l).TakeExpired(s.clock.Now()) })
	for _, call := range expired {
		s.log.Info("lease ran out", "request", call.Request, "attempt", call.Attempt)
		s.closeStream(h, s.ownerOf(h, call), call)
	}
	effects := s.abort(h, expired)
	s.dropOldOutput(h)
	s.pool.After(SweepEvery, s.sweep)
	return effects
}

// ownerOf returns the entry that owns a running call; empty if the call is not in the
// table.
func (s *Sidecar) ownerOf(h *table.HeldLocks, call contract.CallID) (owner instance.Name) {
	s.calls.With(h, keyOf(call), func(rows map[callKey]*runningCall) {
		if r, found := rows[keyOf(call)]; found {
			owner = r.owner
		}
	})
	return owner
}
