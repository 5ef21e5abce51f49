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

// RetryWhenBusy is the wait that a refusal for want of room asks for.
const RetryWhenBusy = time.Second

// Serve implements contract.Server.
func (e *Entry) Serve(ctx context.Context, in contract.Incoming, sink contract.Sink) *contract.Refusal {
	// Admission is short, and what was admitted has to be removed again, so a
	// caller that leaves meanwhile is noticed after it.
	admitted, err := pool.Ask(context.WithoutCancel(ctx), e.pool, func(h *table.Held, answer func(admission)) []pool.Effect {
		return e.admit(h, in, answer)
	})
	if err != nil {
		return contract.RefuseRepeat(contract.CodeOverCapacity, RetryWhenBusy, "the entry is full")
	}
	if admitted.refusal != nil {
		return admitted.refusal
	}
	r := admitted.request
	defer e.remove(table.NewHeld(), r.ID)
	sink.Accepted(r.ID)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return e.deliver(ctx, r, sink)
}

// admission is the outcome of the admit step.
type admission struct {
	request *request
	refusal *contract.Refusal
}

// admit authenticates, finds the route, charges the client account and sends the
// request on its way.
func (e *Entry) admit(h *table.Held, in contract.Incoming, answer func(admission)) []pool.Effect {
	r, refusal := e.newRequest(h, in)
	if refusal != nil {
		answer(admission{refusal: refusal})
		return nil
	}
	e.insert(h, r)
	e.firstAttempt(h)
	answer(admission{request: r})
	return e.charge(h, r)
}

// newRequest turns what came in into a request, or says why not.
func (e *Entry) newRequest(h *table.Held, in contract.Incoming) (*request, *contract.Refusal) {
	if e.life.State() != instance.Serving {
		return nil, e.refuseNewWork()
	}
	if e.running.Load() >= e.maxRequests {
		return nil, contract.RefuseRepeat(contract.CodeOverCapacity, RetryWhenBusy, "the entry has too many requests")
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
	if refusal := e.needsKey(route, in); refusal != nil {
		return nil, refusal
	}
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
			Call:           below(route, in.Call),
		},
		wake: make(chan struct{}, 1),
	}
	r.Fingerprint = fingerprint(r)
	if refusal := e.quarantined(h, r.Fingerprint); refusal != nil && !e.keepsClaims(r.Route) {
		return nil, refusal
	}
	return r, nil
}

// refuseNewWork says why the process takes no requests.
func (e *Entry) refuseNewWork() *contract.Refusal {
	if e.life.State() == instance.Starting {
		return contract.RefuseRepeat(contract.CodeNoConfig, RetryWhenBusy, "the entry has no configuration that it may trust")
	}
	return contract.RefuseRepeat(contract.CodeDraining, RetryWhenBusy, "the entry is shutting down")
}

// fingerprint hashes what makes two requests the same.
func fingerprint(r *request) contract.Fingerprint {
	if r.Generate != nil {
		return contract.FingerprintOf(r.Account, r.Route.Name, r.Generate.Prompt)
	}
	return contract.FingerprintOf(r.Account, r.Route.Name, r.Call.Method, r.Call.Path, r.Call.Query, string(r.Call.Body))
}

// charge takes the cost from the account's tokens. Open routes cost nothing.
func (e *Entry) charge(h *table.Held, r *request) []pool.Effect {
	cost := r.Cost()
	if r.Route.Open || cost == 0 {
		return e.charged(h, r.ID, r.Account, 0)
	}
	now := e.clock.Now()
	var verdict rate.Verdict
	e.rates.With(h, func(p *rate.Policy) {
		verdict = (*p).Admit(now, r.ID, r.Account, cost, r.slack(now))
	})
	effects := e.sendRates(h, verdict.Out)
	switch verdict.State {
	case rate.Granted:
		return append(effects, e.charged(h, r.ID, r.Account, cost)...)
	case rate.Refused:
		refusal := contract.RefuseRepeat(contract.CodeRateLimited, verdict.After, "the client account is over its rate")
		return append(effects, e.finish(h, r.ID, refusal)...)
	default:
		return effects
	}
}

// charged goes on with a request whose cost was taken. If it ended meanwhile, the
// cost is given back.
func (e *Entry) charged(h *table.Held, id contract.RequestID, account contract.AccountID, cost contract.Tokens) []pool.Effect {
	service, once := false, false
	found := e.update(h, id, func(r *request) {
		r.charged = cost
		service = r.Call != nil
		once = e.keepsClaims(r.Route)
	})
	switch {
	case !found:
		now := e.clock.Now()
		e.rates.With(h, func(p *rate.Policy) { (*p).Settle(now, account, cost, 0) })
		return nil
	case service && once:
		return e.startClaim(h, id)
	case service:
		return e.startCall(h, id)
	default:
		return e.enqueue(h, id)
	}
}

// settle gives back what was charged and not used, or ends the wait for tokens.
func (e *Entry) settle(h *table.Held, id contract.RequestID, account contract.AccountID, charged, used contract.Tokens) {
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) {
		if charged == 0 {
			(*p).Abandon(now, id)
			return
		}
		(*p).Settle(now, account, charged, used)
	})
}

// deliver writes to the caller what the steps leave in the request's row.
func (e *Entry) deliver(ctx context.Context, r *request, sink contract.Sink) *contract.Refusal {
	h := table.NewHeld()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return e.abandon(ctx, h, r, sink)
		}
		out := e.takeOutput(h, r)
		if err := write(out, sink); err != nil {
			return e.undelivered(ctx, h, r, sink)
		}
		if out.ended {
			return out.refusal
		}
	}
}

// output is what waits for the caller.
type output struct {
	chunks  []contract.Chunk
	answer  *contract.ServiceAnswer
	ended   bool
	refusal *contract.Refusal
}

// takeOutput empties the request's row.
func (e *Entry) takeOutput(h *table.Held, r *request) (out output) {
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

// write gives output to the front end.
func write(out output, sink contract.Sink) error {
	for _, chunk := range out.chunks {
		if err := sink.Generated(chunk); err != nil {
			return err
		}
	}
	if out.answer != nil {
		return sink.Answered(*out.answer)
	}
	return nil
}

// abandon ends a request whose caller left or whose time is over. What the
// steps have ended before stands: its answer is not held back.
func (e *Entry) abandon(ctx context.Context, h *table.Held, r *request, sink contract.Sink) *contract.Refusal {
	e.pool.Start(e.cutOne(h, r.ID, leftOrLate(context.Cause(ctx)))...)
	out := e.takeOutput(h, r)
	if err := write(out, sink); err != nil {
		return &contract.Refusal{Code: contract.CodeCanceled, Ran: contract.RanYes, Reason: "the caller left"}
	}
	return out.refusal
}

// undelivered ends a request whose caller took no more output.
func (e *Entry) undelivered(ctx context.Context, h *table.Held, r *request, sink contract.Sink) *contract.Refusal {
	if refusal := e.abandon(ctx, h, r, sink); refusal != nil {
		return refusal
	}
	return &contract.Refusal{Code: contract.CodeCanceled, Ran: contract.RanYes, Reason: "the caller left"}
}

// leftOrLate is the refusal of a request whose caller left or whose time is over.
func leftOrLate(cause error) *contract.Refusal {
	if cause == context.DeadlineExceeded {
		return &contract.Refusal{Code: contract.CodeDeadline, Reason: "the request took too long"}
	}
	return &contract.Refusal{Code: contract.CodeCanceled, Reason: "the caller left"}
}
