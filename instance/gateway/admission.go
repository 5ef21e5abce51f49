package gateway

import (
	"context"
	"math"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
)

// Forward implements contract.Forwarder. It blocks until the request has ended or the
// gateway is closed.
func (g *Gateway) Forward(ctx context.Context, m *contract.Message, sink contract.MessageSink) *contract.Refusal {
	// Admission is short and an admitted request must be ended, so it ignores
	// ctx; a caller that leaves meanwhile is handled below.
	admitted, err := pool.Ask(context.WithoutCancel(ctx), g.pool, func(h *table.HeldLocks, answer func(admission)) []pool.Effect {
		return g.admit(h, m, sink, answer)
	})
	if err != nil {
		return g.refuse(m, 0, nil, contract.RefuseRetryable(contract.CodeOverCapacity, g.options.RetryAfter, "the process has too many requests"))
	}
	if admitted.refusal != nil {
		return admitted.refusal
	}
	r := admitted.request
	select {
	case refusal := <-r.done:
		return refusal
	case <-ctx.Done():
		g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect { return g.abort(h, r, true) })
	case <-r.ctx.Done():
		g.pool.Enqueue(func(h *table.HeldLocks) []pool.Effect { return g.abort(h, r, false) })
	}
	select {
	case refusal := <-r.done:
		return refusal
	case <-g.ctx.Done():
		return &contract.Refusal{Code: contract.CodeDraining, Ran: contract.RanUnknown, Reason: "the process ended"}
	}
}

// admission is the outcome of the admit step.
type admission struct {
	request *request
	refusal *contract.Refusal
}

// admit inserts the request's row and starts its first step, or answers with a
// refusal. answer is called before the first step runs.
func (g *Gateway) admit(h *table.HeldLocks, m *contract.Message, sink contract.MessageSink, answer func(admission)) []pool.Effect {
	r, refusal := g.newRequest(h, m, sink)
	if refusal != nil {
		answer(admission{refusal: refusal})
		return nil
	}
	g.insert(h, r)
	g.logAdmitted(r)
	g.recordTraffic(h, r.service)
	g.withRetryBudget(h, r.service, (*retry.Budget).RecordFirstAttempt)
	answer(admission{request: r})
	switch {
	case r.route.Kind != directory.Stream:
		return g.startPlain(h, r, g.callPlain)
	case g.engine(h, r.service) == nil:
		return g.startPlain(h, r, g.streamWithoutModel)
	default:
		g.recordDemand(h, r)
		return g.reserveOrWait(h, r)
	}
}

// newRequest checks a message against the configuration, quarantine and quota. On
// success the quota is charged and the request has its deadline, but no row yet.
func (g *Gateway) newRequest(h *table.HeldLocks, m *contract.Message, sink contract.MessageSink) (*request, *contract.Refusal) {
	snapshot := g.snapshot(h)
	if snapshot == nil {
		return nil, g.refuse(m, 0, nil, contract.RefuseRetryable(contract.CodeNoConfig, g.options.RetryAfter, "no configuration is known yet"))
	}
	route := snapshot.Route(m.Host, m.Path)
	refuse := func(refusal *contract.Refusal, inputs ...any) (*request, *contract.Refusal) {
		return nil, g.refuse(m, snapshot.Version, route, refusal, inputs...)
	}
	if g.admissionClosed.Load() {
		return refuse(contract.RefuseRetryable(contract.CodeDraining, minRetryDelay, "the process is shutting down"))
	}
	if g.running.Load() >= int64(g.options.MaxRequests) {
		return refuse(contract.RefuseRetryable(contract.CodeOverCapacity, g.options.RetryAfter, "the process has too many requests"))
	}
	if route == nil {
		return refuse(contract.Refuse(contract.CodeRouteUnknown, "no route for the host and path"))
	}
	var account *directory.Account
	if snapshot.Keyed() && !route.Open {
		account = snapshot.Account(m.Key)
		if account == nil {
			return refuse(contract.Refuse(contract.CodeKeyInvalid, "no account holds the key"))
		}
	}
	r := g.buildRequest(h, m, sink, route, account, snapshot.Version)
	if refusal := g.checkQuarantine(h, r); refusal != nil {
		return refuse(refusal)
	}
	if refusal, inputs := g.charge(h, r); refusal != nil {
		return refuse(refusal, inputs...)
	}
	r.ctx, r.cancel = context.WithDeadline(g.ctx, r.deadline)
	return r, nil
}

func (g *Gateway) refuse(m *contract.Message, version uint64, route *directory.Route, refusal *contract.Refusal, inputs ...any) *contract.Refusal {
	g.logRefused(m, version, route, refusal, inputs...)
	return refusal
}

// buildRequest sets the fields that follow from the message, route and account. The
// deadline is the earliest of MaxRequestTime, the route's timeout and the caller's.
func (g *Gateway) buildRequest(h *table.HeldLocks, m *contract.Message, sink contract.MessageSink, route *directory.Route, account *directory.Account, version uint64) *request {
	now := g.clock.Now()
	timeout := MaxRequestTime
	for _, limit := range []time.Duration{route.Timeout, m.CallerTimeout} {
		if limit > 0 {
			timeout = min(timeout, limit)
		}
	}
	r := &request{
		tableKey:      g.newRowID(),
		message:       m,
		sink:          sink,
		route:         route,
		service:       route.Service(m.ID),
		account:       account,
		configVersion: version,
		arrived:       now,
		deadline:      now.Add(timeout),
		sharedParts:   m.SharedParts(),
		done:          make(chan *contract.Refusal, 1),
	}
	r.rank, r.ranks = g.rankOf(h, r)
	r.fingerprint = contract.FingerprintOf(r.accountID(), route.Name, m.Method, m.Target, string(m.Body))
	return r
}

// charge takes the request's cost from its account's quota. With a refusal it returns
// the figures of the decision as log keys and values: level is that of the account's token
// bucket, in tokens, before the request.
func (g *Gateway) charge(h *table.HeldLocks, r *request) (refusal *contract.Refusal, inputs []any) {
	if r.account == nil || !r.account.Quota.Limited() {
		return nil, nil
	}
	now := g.clock.Now()
	cost := r.account.Quota.Cost(r.message)
	var d quota.Decision
	g.quotas.With(h, func(m **quota.Meter) { d = (*m).Admit(now, r.account, cost, r.quotaClass()) })
	if d.Granted {
		r.cost = cost
		return nil, nil
	}
	inputs = []any{"account", r.account.ID, "cost", d.Cost, "level", math.Round(d.Level),
		"silent_peers", d.Silent, "per_second", r.account.Quota.PerSecond, "burst", r.account.Quota.Burst}
	return contract.RefuseRetryable(contract.CodeRateLimited, max(d.After, minRetryDelay), "the account is over its quota"), inputs
}

// MaxRequestTime bounds every request, also where route and caller set no timeout.
const MaxRequestTime = 5 * time.Minute

// minRetryDelay is the shortest retry delay that a refusal asks for.
const minRetryDelay = 500 * time.Millisecond

// refund returns the cost of a request that no upstream ran to its account.
func (g *Gateway) refund(h *table.HeldLocks, r *request) {
	g.quotas.With(h, func(m **quota.Meter) { (*m).Refund(g.clock.Now(), r.account.ID, r.cost) })
}

// abort cancels a request whose caller left or whose deadline passed. A waiter is
// ended here; otherwise the step after the canceled call in flight ends the request.
func (g *Gateway) abort(h *table.HeldLocks, r *request, callerLeft bool) []pool.Effect {
	if !g.ifLive(h, r, func() { r.callerGone = r.callerGone || callerLeft }) {
		return nil
	}
	r.cancel()
	if g.removeWaiter(h, r) {
		return g.finish(h, r, g.checkCanceled(h, r))
	}
	return nil
}

// cancelRefusal is the refusal of a request whose caller left or whose deadline
// passed. The row's lock must be held.
func (r *request) cancelRefusal() *contract.Refusal {
	if r.callerGone {
		return &contract.Refusal{Code: contract.CodeCanceled, Reason: "the caller left"}
	}
	return &contract.Refusal{Code: contract.CodeDeadline, Reason: "the request took too long"}
}

// checkCanceled returns a refusal if the caller left or the deadline passed, else nil.
func (g *Gateway) checkCanceled(h *table.HeldLocks, r *request) (refusal *contract.Refusal) {
	g.ifLive(h, r, func() {
		if r.callerGone || r.ctx.Err() != nil {
			refusal = r.cancelRefusal()
		}
	})
	return refusal
}
