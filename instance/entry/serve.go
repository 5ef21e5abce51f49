package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// RetryWhenBusy is the retry delay in a refusal for lack of capacity.
const RetryWhenBusy = time.Second

// Serve implements contract.Server.
func (e *Entry) Serve(ctx context.Context, in contract.Incoming, sink contract.Sink) *contract.Refusal {
	// Admission is short and must not be interrupted, because an admitted
	// request has to be removed again. A caller that leaves is noticed after
	// it.
	admitted, err := pool.Ask(context.WithoutCancel(ctx), e.pool, func(h *table.HeldLocks, answer func(admission)) []pool.Effect {
		return e.admit(h, in, answer)
	})
	if err != nil {
		return e.refuseUnqueued(in, contract.RefuseRetryable(contract.CodeOverCapacity, RetryWhenBusy, "the entry's work queue is full or the entry is shutting down"))
	}
	if admitted.refusal != nil {
		return admitted.refusal
	}
	r := admitted.request
	defer e.removeRequest(table.NewHeldLocks(), r.ID)
	sink.WriteRequestID(r.ID)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return e.deliver(ctx, r, sink)
}

// admission is the outcome of the admit step.
type admission struct {
	request *request
	refusal *contract.Refusal
}

// admit finds the route, authenticates the caller, creates the row and charges
// the client account.
func (e *Entry) admit(h *table.HeldLocks, in contract.Incoming, answer func(admission)) []pool.Effect {
	r, refusal := e.newRequest(h, in)
	if refusal != nil {
		return e.refuseAdmission(h, in, refusal, answer)
	}
	e.insertRequest(h, r)
	e.creditRetryBudget(h)
	answer(admission{request: r})
	return e.charge(h, r)
}

// newRequest returns the row of an incoming request, or the refusal.
func (e *Entry) newRequest(h *table.HeldLocks, in contract.Incoming) (*request, *contract.Refusal) {
	if in.Refused != nil {
		return nil, in.Refused
	}
	if e.life.State() != instance.Serving {
		return nil, e.refuseNewWork()
	}
	if e.running.Load() >= e.maxRequests {
		return nil, contract.RefuseRetryable(contract.CodeOverCapacity, RetryWhenBusy, "the entry has too many requests")
	}
	snapshot := e.snapshot(h)
	route, refusal := findRoute(snapshot, in)
	if refusal != nil {
		return nil, refusal
	}
	var key contract.Key
	if !route.Open {
		key, refusal = e.authenticate(h, snapshot, in.Key)
		if refusal != nil {
			return nil, refusal
		}
	}
	if refusal := e.requireIdempotencyKey(route, in); refusal != nil {
		return nil, refusal
	}
	r := e.buildRequest(route, key, in)
	if refusal := e.quarantined(h, r.Fingerprint); refusal != nil && !e.usesClaims(r.Route) {
		return nil, refusal
	}
	return r, nil
}

// buildRequest returns the row of an incoming request.
func (e *Entry) buildRequest(route contract.Route, key contract.Key, in contract.Incoming) *request {
	now := e.clock.Now()
	r := &request{
		Request: contract.Request{
			ID:             e.newID(),
			Account:        key.Account,
			Key:            key.Hash,
			Route:          route,
			Pseudonym:      contract.Pseudonym(e.secret, key.Account),
			Arrived:        now,
			Deadline:       now.Add(route.Timeout),
			IdempotencyKey: in.IdempotencyKey,
			Generate:       in.Generate,
			Call:           stripPrefix(route, in.Call),
		},
		mayRepeat: e.mayRepeat(in) && e.usesClaims(route),
		wake:      make(chan struct{}, 1),
	}
	r.Fingerprint = fingerprint(r)
	return r
}

// refuseNewWork returns the refusal of a process that is not serving.
func (e *Entry) refuseNewWork() *contract.Refusal {
	if e.life.State() == instance.Starting {
		return contract.RefuseRetryable(contract.CodeNoConfig, RetryWhenBusy, "the entry has no configuration that it may trust")
	}
	return contract.RefuseRetryable(contract.CodeDraining, RetryWhenBusy, "the entry is shutting down")
}

// fingerprint hashes the account, the route and the content of a request.
func fingerprint(r *request) contract.Fingerprint {
	if r.Generate != nil {
		return contract.FingerprintOf(r.Account, r.Route.Name, r.Generate.Prompt)
	}
	return contract.FingerprintOf(r.Account, r.Route.Name, r.Call.Method, r.Call.Path, r.Call.Query, string(r.Call.Body))
}

// charge takes the cost from the account's tokens; the request may have to wait
// for them. Open routes cost nothing.
func (e *Entry) charge(h *table.HeldLocks, r *request) []pool.Effect {
	cost := r.Cost()
	if r.Route.Open || cost == 0 {
		return e.startCharged(h, r.ID, r.Account, 0)
	}
	now := e.clock.Now()
	var verdict rate.Verdict
	e.rates.With(h, func(p *rate.Policy) {
		verdict = (*p).Admit(now, r.ID, r.Account, cost, r.slack(now))
	})
	effects := e.sendRates(h, verdict.Messages)
	switch verdict.State {
	case rate.Granted:
		return append(effects, e.startCharged(h, r.ID, r.Account, cost)...)
	case rate.Refused:
		refusal := contract.RefuseRetryable(contract.CodeRateLimited, verdict.RetryAfter, "the client account is over its rate")
		return append(effects, e.refuseCharge(h, r.ID, refusal)...)
	default:
		return effects
	}
}

// startCharged starts a request whose cost was charged. If the request has
// ended in the meantime, the cost is refunded.
func (e *Entry) startCharged(h *table.HeldLocks, id contract.RequestID, account contract.AccountID, cost contract.Tokens) []pool.Effect {
	service, needsClaim := false, false
	found := e.update(h, id, func(r *request) {
		r.charged = cost
		service = r.Call != nil
		needsClaim = e.usesClaims(r.Route)
	})
	switch {
	case !found:
		now := e.clock.Now()
		e.rates.With(h, func(p *rate.Policy) { (*p).Settle(now, account, cost, 0) })
		return nil
	case service && needsClaim:
		return e.startClaim(h, id)
	case service:
		return e.startCall(h, id)
	default:
		return e.enqueue(h, id)
	}
}

// settle refunds the charged tokens that were not used, or ends the wait for
// tokens.
func (e *Entry) settle(h *table.HeldLocks, id contract.RequestID, account contract.AccountID, charged, used contract.Tokens) {
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) {
		if charged == 0 {
			(*p).CancelWait(now, id)
			return
		}
		(*p).Settle(now, account, charged, used)
	})
}

// deliver writes output from the request's row to the caller until the request
// ends or ctx is done.
func (e *Entry) deliver(ctx context.Context, r *request, sink contract.Sink) *contract.Refusal {
	h := table.NewHeldLocks()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return e.abandon(ctx, h, r, sink)
		}
		out := e.takeOutput(h, r)
		if err := write(out, sink); err != nil {
			return e.handleWriteError(ctx, h, r, sink)
		}
		if out.ended {
			return out.refusal
		}
	}
}

// output is the part of a request's row that is delivered to the caller.
type output struct {
	chunks  []contract.Chunk
	answer  *contract.ServiceAnswer
	ended   bool
	refusal *contract.Refusal
}

// takeOutput returns the output in the request's row and clears it.
func (e *Entry) takeOutput(h *table.HeldLocks, r *request) (out output) {
	e.requests.With(h, r.ID, func(map[contract.RequestID]*request) {
		out = output{
			chunks:  r.pending,
			answer:  r.answer,
			ended:   r.state == stateEnded,
			refusal: r.refusal,
		}
		r.pending = nil
		r.answer = nil
	})
	return out
}

// write passes output to the front end.
func write(out output, sink contract.Sink) error {
	for _, chunk := range out.chunks {
		if err := sink.WriteChunk(chunk); err != nil {
			return err
		}
	}
	if out.answer != nil {
		return sink.WriteAnswer(*out.answer)
	}
	return nil
}

// abandon ends a request whose caller left or whose deadline passed. If a step
// has ended the request before, its answer or refusal is still delivered.
func (e *Entry) abandon(ctx context.Context, h *table.HeldLocks, r *request, sink contract.Sink) *contract.Refusal {
	e.pool.StartEffects(e.terminate(h, r.ID, terminationRefusal(context.Cause(ctx)))...)
	out := e.takeOutput(h, r)
	if err := write(out, sink); err != nil {
		return &contract.Refusal{Code: contract.CodeCanceled, Ran: contract.RanYes, Reason: "the caller left"}
	}
	return out.refusal
}

// handleWriteError ends a request whose output could not be written to the
// caller.
func (e *Entry) handleWriteError(ctx context.Context, h *table.HeldLocks, r *request, sink contract.Sink) *contract.Refusal {
	if refusal := e.abandon(ctx, h, r, sink); refusal != nil {
		return refusal
	}
	return &contract.Refusal{Code: contract.CodeCanceled, Ran: contract.RanYes, Reason: "the caller left"}
}

// terminationRefusal returns the refusal of a request whose caller left or whose
// deadline passed.
func terminationRefusal(cause error) *contract.Refusal {
	if cause == context.DeadlineExceeded {
		return &contract.Refusal{Code: contract.CodeDeadline, Reason: "the request took too long"}
	}
	return &contract.Refusal{Code: contract.CodeCanceled, Reason: "the caller left"}
}
