package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// ClaimStore stores the claims of non-repeatable requests.
type ClaimStore interface {
	// Read returns the row of a claim; version 0 if there is none.
	Read(ctx context.Context, key claim.Key) (claim.Row, error)
	// Write writes a claim if the row still has the version. The error is the
	// reason for a result other than claim.WriteDone.
	Write(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (claim.WriteResult, error)
	// Sweep removes up to limit claims written before a time, starting after the
	// row after. It returns where the next sweep starts.
	Sweep(ctx context.Context, after string, limit int, before time.Time) (next string, removed int, err error)
}

// outcomeGrace is how long a call may continue after its caller's deadline, so
// that a repeat of the request can get its outcome.
const outcomeGrace = 30 * time.Second

// laneClaims is the lane of calls to the claim table.
const laneClaims pool.Lane = "claims"

// claimRun is a row of the table Entry.claims: the state of a non-repeatable
// request. It is kept after the caller's wait has ended until the outcome is
// known.
type claimRun struct {
	machine claim.Machine
	key     claim.Key
	body    claim.BodyHash
	// message is the call to the sidecar; Call, Header and the times are set for
	// each attempt.
	message  peer.ServiceRequest
	deadline time.Time
	need     placement.Need
	// grantDeadline is until when the request waits for an upstream with
	// capacity; grantRounds counts how often it has asked again.
	grantDeadline time.Time
	grantRounds   int
	// answer is the answer to deliver on claim.DoDeliver.
	answer contract.ServiceAnswer
	// dropped is true if the answer was too large to be stored.
	dropped bool
	// lookup is set if the request is refused unless its claim has an outcome.
	lookup *lookup
}

// usesClaims reports whether requests of a route need claims. Such a request may
// repeat one that ran. newRequest therefore does not refuse it for its quarantine:
// the refusal would state that it did not run, although the claim, which is read
// first, if possible, may show that it did.
func (e *Entry) usesClaims(route contract.Route) bool {
	return e.claimStore != nil && route.Kind == contract.RouteService && !route.Repeatable
}

// requireIdempotencyKey refuses a non-repeatable request without an idempotency
// key.
func (e *Entry) requireIdempotencyKey(route contract.Route, in contract.Incoming) *contract.Refusal {
	if !e.usesClaims(route) || in.IdempotencyKey != "" {
		return nil
	}
	return contract.Refuse(contract.CodeIdempotencyMissing, "this route needs an Idempotency-Key header, since its requests may not be repeated")
}

// startClaim starts the claim machine of a non-repeatable request.
func (e *Entry) startClaim(h *table.HeldLocks, id contract.RequestID) []pool.Effect {
	run := e.newClaimRun(h, id)
	if run == nil {
		return nil
	}
	return e.startMachine(h, id, run, (*claim.Machine).Start)
}

// newClaimRun returns the claimRun of a request; nil if the request has ended.
func (e *Entry) newClaimRun(h *table.HeldLocks, id contract.RequestID) *claimRun {
	run := &claimRun{}
	now := e.clock.Now()
	found := e.update(h, id, func(r *request) {
		r.state = stateCalling
		r.attempt = 1
		run.body = claim.HashCall(r.Call)
		run.key = claim.Key{Account: r.Account, Route: r.Route.Name, Idempotency: r.IdempotencyKey}
		run.machine = claim.NewMachine(r.attemptID(), run.body)
		run.deadline = r.Deadline
		run.grantDeadline = now.Add(r.Deadline.Sub(now) / 2)
		run.need = placement.Need{Pool: r.Route.Service, Slack: r.slack(now)}
		run.message = peer.ServiceRequest{
			Pseudonym:   r.Pseudonym,
			Fingerprint: r.Fingerprint,
			Service:     *r.Call,
			Once:        true,
			Granted:     true,
		}
	})
	if !found {
		return nil
	}
	return run
}

// startMachine adds a claimRun and performs its machine's first action.
func (e *Entry) startMachine(h *table.HeldLocks, id contract.RequestID, run *claimRun, start func(m *claim.Machine) claim.Action) []pool.Effect {
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		rows[id] = run
		action = start(&run.machine)
	})
	return e.applyClaimAction(h, id, action)
}

// claimEvent passes an event to a request's machine and performs the resulting
// action. It does nothing if the request has no claim any more.
func (e *Entry) claimEvent(h *table.HeldLocks, id contract.RequestID, event func(run *claimRun) claim.Action) []pool.Effect {
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, exists := rows[id]; exists {
			action = event(run)
		}
	})
	return e.applyClaimAction(h, id, action)
}

// claimStep returns claimEvent as a step for the pool.
func (e *Entry) claimStep(id contract.RequestID, event func(run *claimRun) claim.Action) pool.Step {
	return func(h *table.HeldLocks) []pool.Effect { return e.claimEvent(h, id, event) }
}

// applyClaimAction performs a machine's action, starts its follow-up and deletes
// the row of a machine that is over.
func (e *Entry) applyClaimAction(h *table.HeldLocks, id contract.RequestID, a claim.Action) []pool.Effect {
	run := e.claimCopy(h, id)
	if run == nil {
		return nil
	}
	effects := e.startFollowUp(run, a.FollowUp)
	effects = append(effects, e.performClaimAction(h, id, run, a)...)
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, exists := rows[id]; exists && run.machine.Finished() {
			delete(rows, id)
			if run.lookup != nil {
				e.endLookup()
			}
		}
	})
	return effects
}

// claimCopy returns a copy of a request's claimRun; nil if there is none.
func (e *Entry) claimCopy(h *table.HeldLocks, id contract.RequestID) (copied *claimRun) {
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, exists := rows[id]; exists {
			c := *run
			copied = &c
		}
	})
	return copied
}

func (e *Entry) performClaimAction(h *table.HeldLocks, id contract.RequestID, run *claimRun, a claim.Action) []pool.Effect {
	switch a.Kind {
	case claim.DoGrant:
		return e.claimGrant(h, id, run, a.Call)
	case claim.DoClaim:
		return []pool.Effect{e.claimWrite(id, run, a)}
	case claim.DoRead:
		return []pool.Effect{e.claimRead(id, run.key)}
	case claim.DoSend:
		effects := e.track(h, a.Witness, a.Call)
		return append(effects, e.claimSend(h, id, run, a))
	case claim.DoAsk:
		return []pool.Effect{e.claimAsk(h, id, a)}
	case claim.DoSurvey:
		return []pool.Effect{e.claimSurvey(h, id, run, a.Call)}
	case claim.DoPause:
		e.pool.After(claim.Backoff(a.Pauses), e.claimStep(id, func(run *claimRun) claim.Action { return run.machine.OnPauseOver() }))
		return nil
	case claim.DoDeliver:
		if run.lookup.withholds() {
			return e.endWithheld(h, id, run.lookup, contract.RanYes)
		}
		return e.deliverClaimAnswer(h, id, run)
	case claim.DoRefuse:
		if run.lookup.withholds() {
			return e.endWithheld(h, id, run.lookup, a.Refusal.Ran)
		}
		return e.finish(h, id, a.Refusal)
	default:
		return nil
	}
}

// deliverClaimAnswer ends the request with the answer in run, or with a refusal
// if the answer was too large to be stored or must not be delivered.
func (e *Entry) deliverClaimAnswer(h *table.HeldLocks, id contract.RequestID, run *claimRun) []pool.Effect {
	answer, refusal := claim.StoredResponse(claim.Record{Answer: run.answer, Dropped: run.dropped})
	if refusal != nil {
		return e.finish(h, id, refusal)
	}
	e.update(h, id, func(r *request) { refusal = r.takeAnswer(e.clock.Now(), answer) })
	return e.finish(h, id, refusal)
}

// cancelClaim ends the wait of a caller whose time is up, whose key was withdrawn
// or whose request panicked. It returns a refusal that states whether the request
// ran, as far as its machine knows; ok is false if the request has no claim or its
// machine has already ended it.
func (e *Entry) cancelClaim(h *table.HeldLocks, id contract.RequestID, code contract.Code, reason string) (refusal *contract.Refusal, ok bool) {
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, exists := rows[id]; exists {
			action = run.machine.Cancel(code, reason)
			ok = true
		}
	})
	if !ok || action.Refusal == nil {
		return nil, false
	}
	refusal = action.Refusal
	e.pool.StartEffects(e.applyClaimAction(h, id, action)...)
	return refusal, true
}

// claimGrant asks the sidecars that placement chooses for a grant, until one
// grants it.
func (e *Entry) claimGrant(h *table.HeldLocks, id contract.RequestID, run *claimRun, call contract.CallID) []pool.Effect {
	e.update(h, id, func(r *request) { r.attempt = call.Attempt })
	if refusal := e.quarantined(h, run.message.Fingerprint); refusal != nil {
		return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.machine.OnGrantRefused(refusal) })
	}
	now := e.clock.Now()
	var choices []placement.Choice
	e.board.With(h, func(b **placement.Board) { choices = (*b).ChooseService(now, run.need) })
	q := &peer.ReserveRequest{Header: e.header(h), Call: call, Fingerprint: run.message.Fingerprint, Once: true, ClaimKey: run.key.HashWithBody(run.body)}
	result := reservationResult{call: call}
	timeout := grantTimeout(run.grantRounds)
	perform := func(ctx context.Context) pool.Step {
		for i := range choices {
			if e.reserveAt(ctx, &choices[i], q, timeout, &result) {
				break
			}
		}
		return func(h *table.HeldLocks) []pool.Effect {
			e.recordLoadsAndFailures(h, result.loads, result.failed)
			if result.choice == nil && e.retryGrant(h, id, call) {
				return nil
			}
			return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.handleGrant(&result) })
		}
	}
	return []pool.Effect{{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}}
}

// grantTimeout returns the timeout of one call for a grant after the given number of
// rounds without a grant. A fixed one would never succeed while all answers take longer.
func grantTimeout(rounds int) time.Duration {
	return min(ReserveTimeout<<min(rounds, 8), MaxReserveTimeout)
}

// retryGrant schedules another round of asking for a grant, because upstreams
// that are full now may have capacity soon. It returns false after
// grantDeadline.
func (e *Entry) retryGrant(h *table.HeldLocks, id contract.RequestID, call contract.CallID) bool {
	retries, grantRounds := false, 0
	now := e.clock.Now()
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, exists := rows[id]; exists && now.Before(run.grantDeadline) {
			retries = true
			run.grantRounds++
			grantRounds = run.grantRounds
		}
	})
	if retries {
		e.pool.After(claim.Backoff(grantRounds), func(h *table.HeldLocks) []pool.Effect {
			run := e.claimCopy(h, id)
			if run == nil {
				return nil
			}
			return e.claimGrant(h, id, run, call)
		})
	}
	return retries
}

// handleGrant passes the result of asking for a grant to the machine. Upstreams
// that failed or granted are excluded from later attempts.
func (run *claimRun) handleGrant(result *reservationResult) claim.Action {
	run.need.Exclude = append(run.need.Exclude, result.failed...)
	if result.choice == nil {
		return run.machine.OnGrantRefused(contract.RefuseRetryable(contract.CodeNoUpstream, RetryWhenBusy, "no upstream takes the call now"))
	}
	run.need.Exclude = append(run.need.Exclude, result.choice.ID)
	return run.machine.OnGrant(result.choice.Addr)
}

// claimPanic returns the OnPanic function of a request's effects; it ends the
// request.
func (e *Entry) claimPanic(id contract.RequestID) func(reason any) pool.Step {
	return func(any) pool.Step {
		return func(h *table.HeldLocks) []pool.Effect {
			refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"}
			if known, ok := e.cancelClaim(h, id, contract.CodeInternal, "internal error"); ok {
				refusal = known
			}
			return e.finish(h, id, refusal)
		}
	}
}

// claimSend returns the effect that sends an attempt to the sidecar that granted
// it.
func (e *Entry) claimSend(h *table.HeldLocks, id contract.RequestID, run *claimRun, a claim.Action) pool.Effect {
	left := max(run.deadline.Sub(e.clock.Now()), 0)
	within := left + outcomeGrace
	q := run.message
	q.Header = e.header(h)
	q.Call = a.Call
	q.SendWithin = min(SendMargin, left)
	q.Within = within
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		reply, err := e.peers.Sidecar(a.Witness).Call(ctx, &q)
		return func(h *table.HeldLocks) []pool.Effect {
			e.untrack(h, a.Witness, a.Call)
			if err == nil {
				e.recordLoadsAndFailures(h, []upstream.Load{reply.Load}, nil)
			}
			return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.handleReply(reply, err) })
		}
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}

// handleReply passes the outcome of sending an attempt to the machine.
func (run *claimRun) handleReply(reply *peer.ServiceReply, err error) claim.Action {
	refusal := callRefusal(err)
	if err == nil {
		refusal = reply.Refusal
	}
	switch {
	case refusal == nil:
		run.answer = reply.Answer
		run.dropped = false
		return run.machine.OnCallResult(claim.CallAnswered, nil)
	case refusal.Ran == contract.RanNo:
		return run.machine.OnCallResult(claim.CallNotRun, refusal)
	case err != nil:
		return run.machine.OnCallResult(claim.CallNoReply, refusal)
	default:
		return run.machine.OnCallResult(claim.CallUnclear, refusal)
	}
}

// claimAsk returns the effect that asks the witness, the sidecar that granted an
// attempt, for its outcome.
func (e *Entry) claimAsk(h *table.HeldLocks, id contract.RequestID, a claim.Action) pool.Effect {
	q := &peer.ServiceRequest{Header: e.header(h), Call: a.Call, AskOnly: true}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		reply, err := e.peers.Sidecar(a.Witness).Call(ctx, q)
		if err != nil {
			return e.claimStep(id, func(run *claimRun) claim.Action { return run.machine.OnFateUnavailable() })
		}
		return e.claimStep(id, func(run *claimRun) claim.Action {
			run.answer = reply.Answer
			run.dropped = reply.Dropped
			return run.machine.OnFate(reply.Fate)
		})
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}
