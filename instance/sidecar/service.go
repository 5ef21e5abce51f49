package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Call implements peer.Sidecar. With AskOnly it sends nothing and returns the fate
// of earlier attempts.
func (s *Sidecar) Call(ctx context.Context, q *peer.ServiceRequest) (*peer.ServiceReply, error) {
	received := s.clock.Now()
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.ServiceReply)) []pool.Effect {
		return s.callService(h, q, received, answer)
	})
}

// callService reserves a slot and sends the call. SendWithin is checked right before
// the call is sent, since it may have waited in its lane.
func (s *Sidecar) callService(h *table.HeldLocks, q *peer.ServiceRequest, received time.Time, answer func(*peer.ServiceReply)) []pool.Effect {
	reply := func(h *table.HeldLocks, a contract.ServiceAnswer, refusal *contract.Refusal) {
		answer(&peer.ServiceReply{Header: s.header(), Load: s.load(h), Answer: a, Refusal: refusal})
	}
	if s.service == nil {
		reply(h, contract.ServiceAnswer{}, contract.Refuse(contract.CodeNoUpstream, "no service beside this sidecar"))
		return nil
	}
	s.learnQuarantine(h, q.Header)
	if q.AskOnly {
		answer(s.attemptOutcome(h, q))
		return nil
	}
	refusal := s.refuseNewWork(h, q.Fingerprint)
	if refusal == nil {
		s.ledger.With(h, func(l **engine.Ledger) {
			_, refusal = (*l).Reserve(s.clock.Now(), engine.Ask{Call: q.Call, Owner: q.From, Fingerprint: q.Fingerprint})
		})
	}
	if refusal != nil {
		reply(h, contract.ServiceAnswer{}, refusal)
		return nil
	}
	if q.Granted {
		refusal = s.useSendGrant(h, q.Call)
	}
	if refusal != nil {
		s.release(h, q.Call)
		reply(h, contract.ServiceAnswer{}, refusal)
		return nil
	}
	r := &runningCall{call: q.Call, owner: q.From.Name, once: q.Once}
	if !s.addCall(h, r) {
		reply(h, contract.ServiceAnswer{}, &contract.Refusal{Code: contract.CodeOutcomeUnknown, Ran: contract.RanUnknown, Reason: "the call already runs here"})
		return nil
	}
	finish := func(a contract.ServiceAnswer, refusal *contract.Refusal) pool.Step {
		return func(h *table.HeldLocks) []pool.Effect {
			s.removeCall(h, r)
			s.release(h, q.Call)
			if q.Granted {
				s.recordOutcome(h, q.Call, a, refusal)
			}
			reply(h, a, refusal)
			return nil
		}
	}
	perform := func(ctx context.Context) pool.Step {
		if s.clock.Now().Sub(received) > q.SendWithin {
			return finish(contract.ServiceAnswer{}, contract.RefuseRetryable(contract.CodeDeadline, 0, "too late to send the call"))
		}
		ctx = s.attachContext(ctx, r)
		ctx, cancel := context.WithTimeout(ctx, q.Within)
		defer cancel()
		s.markSent(q.Call)
		a, err := s.service.Call(ctx, q.Call, q.Pseudonym, q.Service)
		if err == nil {
			s.clearSuspect(q.Fingerprint)
		}
		s.handleCallError(ctx, q.Fingerprint, err)
		return finish(a, serviceRefusal(err))
	}
	return []pool.Effect{{
		Lane:    laneService,
		Perform: perform,
		OnPanic: func(any) pool.Step {
			return finish(contract.ServiceAnswer{}, &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"})
		},
	}}
}

// serviceRefusal converts a service's error to a refusal; nil for no error. Only a call
// that was not sent is known not to have run.
func serviceRefusal(err error) *contract.Refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, link.ErrNotSent):
		return contract.RefuseRetryable(contract.CodeUpstreamFailed, 0, err.Error())
	default:
		return &contract.Refusal{Code: contract.CodeOutcomeUnknown, Ran: contract.RanUnknown, Reason: err.Error()}
	}
}
