package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Prefill implements peer.Sidecar. It replies when the engine has run the prompt.
func (s *Sidecar) Prefill(ctx context.Context, q *peer.PrefillRequest) (*peer.PrefillReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.PrefillReply)) []pool.Effect {
		return s.prefill(h, q, answer)
	})
}

// prefill adds a prompt to the engine's prefill queue and starts it after StartIn.
func (s *Sidecar) prefill(h *table.HeldLocks, q *peer.PrefillRequest, answer func(*peer.PrefillReply)) []pool.Effect {
	refuse := func(h *table.HeldLocks, refusal *contract.Refusal) []pool.Effect {
		answer(&peer.PrefillReply{Header: s.header(), Load: s.load(h), Refusal: refusal})
		return nil
	}
	if s.engine == nil {
		return refuse(h, contract.Refuse(contract.CodeNoUpstream, "no engine beside this sidecar"))
	}
	s.learnQuarantine(h, q.Header)
	refusal := s.refuseNewWork(h, q.Fingerprint)
	if refusal == nil {
		s.ledger.With(h, func(l **engine.Ledger) {
			refusal = (*l).AcceptPrefill(s.clock.Now(), engine.Ask{
				Call:        q.Call,
				Owner:       q.From,
				Account:     q.Account,
				Fingerprint: q.Fingerprint,
				Tokens:      q.Tokens,
				Priority:    q.Priority,
			})
		})
	}
	if refusal != nil {
		return refuse(h, refusal)
	}
	r := &runningCall{call: q.Call, owner: q.From.Name}
	if !s.addCall(h, r) {
		s.release(h, q.Call)
		return refuse(h, contract.Refuse(contract.CodeStaleGrant, "the call already runs here"))
	}
	start := s.prefillAtEngine(q, r, answer)
	if q.StartIn <= 0 {
		return []pool.Effect{start}
	}
	s.pool.After(q.StartIn, func(*table.HeldLocks) []pool.Effect { return []pool.Effect{start} })
	return nil
}

// prefillAtEngine returns the effect that runs the prompt, releases the call's grant
// and answers.
func (s *Sidecar) prefillAtEngine(q *peer.PrefillRequest, r *runningCall, answer func(*peer.PrefillReply)) pool.Effect {
	finish := func(handle link.Handle, refusal *contract.Refusal) pool.Step {
		return func(h *table.HeldLocks) []pool.Effect {
			s.removeCall(h, r)
			s.release(h, q.Call)
			answer(&peer.PrefillReply{Header: s.header(), Load: s.load(h), Handle: handle, Refusal: refusal})
			return nil
		}
	}
	perform := func(ctx context.Context) pool.Step {
		ctx = s.attachContext(ctx, r)
		ctx, cancel := context.WithTimeout(ctx, q.Within)
		defer cancel()
		s.markSent(q.Call)
		handle, err := s.engine.Prefill(ctx, link.Prefill{
			Call:      q.Call,
			Model:     q.Model,
			Prompt:    q.Prompt,
			Priority:  q.Priority,
			Pseudonym: q.Pseudonym,
		})
		s.handleCallError(ctx, q.Fingerprint, err)
		return finish(handle, s.prefillRefusal(q.Call, err))
	}
	return pool.Effect{
		Lane:    lanePrefill,
		Perform: perform,
		OnPanic: func(any) pool.Step {
			return finish(link.Handle{}, &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"})
		},
	}
}

// prefillRefusal converts an engine's error to a refusal; nil for no error. A prefill
// has no side effect, so one that failed counts as not run and may be repeated.
func (s *Sidecar) prefillRefusal(call contract.CallID, err error) *contract.Refusal {
	if err == nil {
		return nil
	}
	s.log.Warn("prefill failed", "request", call.Request, "attempt", call.Attempt, "error", err)
	return engineRefusal(err)
}

// engineRefusal converts an error of the upstream link to a refusal. Repeat is set
// unless the engine rejected the call itself.
func engineRefusal(err error) *contract.Refusal {
	switch {
	case errors.Is(err, link.ErrNotSent), errors.Is(err, link.ErrFull):
		return contract.RefuseRetryable(contract.CodeOverCapacity, 0, err.Error())
	case errors.Is(err, link.ErrRejected):
		return &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanNo, Reason: err.Error()}
	case errors.Is(err, context.Canceled):
		// Either the entry canceled the call, and reads no refusal, or the
		// sidecar did because the upstream is unresponsive, which counts as
		// a failure of the upstream.
		return &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanUnknown, Repeat: true, Reason: "the call was canceled because the upstream does not respond"}
	case errors.Is(err, context.DeadlineExceeded):
		return &contract.Refusal{Code: contract.CodeDeadline, Ran: contract.RanUnknown, Repeat: true, Reason: "the upstream took too long"}
	default:
		return &contract.Refusal{Code: contract.CodeUpstreamFailed, Ran: contract.RanUnknown, Repeat: true, Reason: err.Error()}
	}
}

// Decode implements peer.Sidecar. It replies when the call is accepted; Poll returns
// its output and its failure.
func (s *Sidecar) Decode(ctx context.Context, q *peer.DecodeRequest) (*peer.DecodeReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.DecodeReply)) []pool.Effect {
		refusal, effects := s.decode(h, q)
		answer(&peer.DecodeReply{Header: s.header(), Load: s.load(h), Refusal: refusal})
		return effects
	})
}

// decode starts a call whose grant has not expired.
func (s *Sidecar) decode(h *table.HeldLocks, q *peer.DecodeRequest) (*contract.Refusal, []pool.Effect) {
	if s.engine == nil {
		return contract.Refuse(contract.CodeNoUpstream, "no engine beside this sidecar"), nil
	}
	held := false
	var granted engine.Ask
	s.ledger.With(h, func(l **engine.Ledger) {
		held = (*l).Holds(s.clock.Now(), q.Call)
		granted, _ = (*l).AskOf(q.Call)
	})
	if !held {
		return contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the grant has run out"), nil
	}
	r := &runningCall{call: q.Call, owner: q.From.Name}
	if !s.addCall(h, r) {
		return contract.Refuse(contract.CodeStaleGrant, "the call already runs here"), nil
	}
	s.openStream(h, q.From, q.Call, q.Offset)
	return nil, s.startDecode(h, r, s.decodeAtEngine(q, granted, r))
}

// decodeAtEngine returns the effect that streams a call's output into its entry's
// outbox and releases the call's grant.
func (s *Sidecar) decodeAtEngine(q *peer.DecodeRequest, granted engine.Ask, r *runningCall) pool.Effect {
	finish := func(refusal *contract.Refusal) pool.Step {
		return func(h *table.HeldLocks) []pool.Effect {
			s.removeCall(h, r)
			s.release(h, q.Call)
			if refusal != nil {
				s.appendOutput(h, q.From, contract.Chunk{Call: q.Call, Done: true, Failure: refusal})
			}
			return nil
		}
	}
	perform := func(ctx context.Context) pool.Step {
		ctx = s.attachContext(ctx, r)
		err := s.runDecode(ctx, q, granted.Priority, granted.Fingerprint)
		if err == nil {
			s.clearSuspect(granted.Fingerprint)
			return finish(nil)
		}
		s.handleCallError(ctx, granted.Fingerprint, err)
		if errors.Is(err, errStalled) {
			s.cancelStalled(ctx, q.Call)
		}
		s.log.Warn("decode failed", "request", q.Call.Request, "attempt", q.Call.Attempt, "error", err)
		return finish(decodeRefusal(err))
	}
	return pool.Effect{
		Lane:    laneDecode,
		Perform: perform,
		OnPanic: func(any) pool.Step {
			return finish(&contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"})
		},
	}
}

// orderRefusal is engineRefusal, except that a stale fencing number has its own code.
func orderRefusal(err error) *contract.Refusal {
	if errors.Is(err, link.ErrStaleFence) {
		return contract.Refuse(contract.CodeStaleOrder, err.Error())
	}
	return engineRefusal(err)
}

// cancelStalled frees the engine's memory of a call whose KV cache did not arrive.
// It is not retried.
func (s *Sidecar) cancelStalled(ctx context.Context, call contract.CallID) {
	ctx, cancel := context.WithTimeout(ctx, CancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, call); err != nil {
		s.log.Warn("cancel failed", "request", call.Request, "attempt", call.Attempt, "error", err)
	}
}

// decodeRefusal is engineRefusal, except that a KV cache that stalled or was evicted is
// refused with CodeStaleGrant, like a call with an expired grant: the entry then
// transfers it to another engine or repeats the prefill.
func decodeRefusal(err error) *contract.Refusal {
	if errors.Is(err, errStalled) {
		return contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the KV cache was not transferred in time")
	}
	if errors.Is(err, link.ErrEvicted) {
		return contract.RefuseRetryable(contract.CodeStaleGrant, 0, "the KV cache was evicted before it was imported")
	}
	return engineRefusal(err)
}

// Drain refuses new work and waits until the running calls have ended and their
// entries have acknowledged the output. It returns the cause if ctx ends first.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.life.Advance(instance.Draining)
	s.ledger.With(table.NewHeldLocks(), func(l **engine.Ledger) { (*l).SetDraining(true) })
	ticker := time.NewTicker(SweepEvery)
	defer ticker.Stop()
	for !s.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// idle reports whether no call is running and no output is unacknowledged.
func (s *Sidecar) idle() bool {
	h := table.NewHeldLocks()
	if s.calls.Len(h) > 0 {
		return false
	}
	waiting := 0
	s.output.Each(h, func(rows map[instance.Name]*outbox) {
		for _, box := range rows {
			waiting += len(box.streams)
		}
	})
	return waiting == 0
}
