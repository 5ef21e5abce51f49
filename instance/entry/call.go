package entry

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// SendMargin is the part of a service call's time in which it may still be sent;
// a sidecar that is paused for longer does not send it any more.
const SendMargin = 2 * time.Second

// startCall sends a service call to an upstream of its pool.
func (e *Entry) startCall(h *table.Held, id contract.RequestID) []pool.Effect {
	now := e.clock.Now()
	var need placement.Need
	var q peer.ServiceRequest
	var once bool
	found := e.update(h, id, func(r *request) {
		r.state = stateCalling
		r.attempt++
		need = placement.Need{Pool: r.Route.Service, Exclude: r.excluded, Slack: r.slack(now)}
		once = !r.Route.Repeatable
		q = peer.ServiceRequest{
			Call:        r.call(),
			Pseudonym:   r.Pseudonym,
			Fingerprint: r.Fingerprint,
			Service:     *r.Call,
			SendWithin:  min(SendMargin, r.Deadline.Sub(now)),
			Within:      r.Deadline.Sub(now),
			Once:        once,
		}
	})
	if !found {
		return nil
	}
	var choices []placement.Choice
	e.board.With(h, func(b **placement.Board) { choices = (*b).Service(now, need) })
	if len(choices) == 0 {
		refusal := contract.RefuseRepeat(contract.CodeNoUpstream, RetryWhenBusy, "no upstream serves this route now")
		return e.finish(h, id, refusal)
	}
	choice := choices[0]
	e.updateCall(h, q.Call, func(r *request) {
		r.calling = &choice
		r.silent = ""
		r.sent = now
	})
	q.Header = e.header(h)
	effects := e.track(h, choice.Addr, q.Call)
	return append(effects, e.callAt(choice, q))
}

// callAt makes the call at one upstream.
func (e *Entry) callAt(choice placement.Choice, q peer.ServiceRequest) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, q.Within)
		defer cancel()
		if !q.Once {
			// A call that may not be repeated waits for its outcome as long
			// as it may.
			e.waits(q.Call, choice.Addr, cancel)
		}
		reply, err := e.peers.Sidecar(choice.Addr).Call(ctx, &q)
		return func(h *table.Held) []pool.Effect {
			return e.called(h, choice, &q, reply, err)
		}
	}
	return pool.Effect{
		Lane:    laneService,
		Perform: perform,
		OnPanic: func(any) pool.Step {
			return func(h *table.Held) []pool.Effect {
				return e.finish(h, q.Call.Request, &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"})
			}
		},
	}
}

// called hands the answer on, or tries another upstream while that is allowed.
func (e *Entry) called(h *table.Held, choice placement.Choice, q *peer.ServiceRequest, reply *peer.ServiceReply, err error) []pool.Effect {
	refusal := callRefusal(err)
	e.untrack(h, choice.Addr, q.Call)
	if err != nil {
		e.observe(h, nil, []upstream.ID{choice.ID})
	} else {
		e.observe(h, []upstream.Load{reply.Load}, nil)
		refusal = reply.Refusal
	}
	if refusal == nil {
		return e.answered(h, choice, q.Call, reply.Answer)
	}
	if refusal.Ran == contract.RanUnknown && err == nil {
		e.observe(h, nil, []upstream.ID{choice.ID})
	}
	if e.mayRepeat(h, q, choice, refusal) {
		return e.startCall(h, q.Call.Request)
	}
	return e.finish(h, q.Call.Request, refusal)
}

// answered leaves the answer in the request's row and ends it.
func (e *Entry) answered(h *table.Held, choice placement.Choice, call contract.CallID, answer contract.ServiceAnswer) []pool.Effect {
	e.updateCall(h, call, func(r *request) {
		e.succeeded(h, choice.ID, e.clock.Now().Sub(r.sent))
		r.calling = nil
		r.answer = &answer
		r.lastDelivery = e.clock.Now()
		r.firstToken = r.lastDelivery.Sub(r.Arrived)
	})
	return e.finish(h, call.Request, nil)
}

// mayRepeat says whether a refused call may go to another upstream: one that did
// not run always, one that may have run only on routes that may be repeated.
func (e *Entry) mayRepeat(h *table.Held, q *peer.ServiceRequest, choice placement.Choice, refusal *contract.Refusal) (again bool) {
	if refusal.Ran != contract.RanNo && q.Once {
		return false
	}
	if e.stopRetry(h, q.Fingerprint, refusal, !q.Once) != nil {
		return false
	}
	e.updateCall(h, q.Call, func(r *request) {
		r.calling = nil
		r.excluded = append(r.excluded, choice.ID)
		r.failures++
		again = r.failures <= maxFailures
	})
	return again
}

// callRefusal says what is known of a call whose sidecar gave no answer.
func callRefusal(err error) *contract.Refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent):
		return contract.RefuseRepeat(contract.CodeUpstreamFailed, RetryWhenBusy, err.Error())
	default:
		return &contract.Refusal{Code: contract.CodeOutcomeUnknown, Ran: contract.RanUnknown, Reason: "the upstream's answer was lost"}
	}
}
