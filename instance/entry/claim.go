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

// ClaimStore keeps the claims of requests that may not be repeated.
type ClaimStore interface {
	// Read reads a claim; an absent one has version 0.
	Read(ctx context.Context, key claim.Key) (claim.Row, error)
	// Write writes a claim if the row has the version. The error says why the
	// result is not claim.WriteDone.
	Write(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (claim.WriteResult, error)
	// Sweep removes claims written before a time; see claimstore.
	Sweep(ctx context.Context, after string, limit int, before time.Time) (next string, removed int, err error)
}

// outcomeGrace is how long a call may run on after its caller's deadline, so
// that its outcome is known to a repeat.
const outcomeGrace = 30 * time.Second

// laneClaims bounds the calls to the table for claims.
const laneClaims pool.Lane = "claims"

// claimRun is a row of the table of claims: a request that may not be repeated.
// It outlives the caller's wait while the outcome is not known.
type claimRun struct {
	machine claim.Machine
	key     claim.Key
	body    claim.BodyHash
	// message is what is sent; Call and Header are set for each attempt.
	message  peer.ServiceRequest
	deadline time.Time
	need     placement.Need
	// placeBy is until when the request waits for an upstream with room; rounds
	// counts how often it asked.
	placeBy time.Time
	rounds  int
	// answer is the answer at hand when the machine says to deliver one.
	answer contract.ServiceAnswer
	// dropped says that the answer was too large to be kept.
	dropped bool
}

// keepsClaims reports whether requests of a route hold claims. Such a request is
// refused as not run only after its claim was looked at, where that is possible,
// because it may be the repeat of one that ran.
func (e *Entry) keepsClaims(route contract.Route) bool {
	return e.claimStore != nil && route.Kind == contract.RouteService && !route.Repeatable
}

// needsKey refuses a request that may not be repeated and has no key.
func (e *Entry) needsKey(route contract.Route, in contract.Incoming) *contract.Refusal {
	if !e.keepsClaims(route) || in.IdempotencyKey != "" {
		return nil
	}
	return contract.Refuse(contract.CodeIdempotencyMissing, "this route needs an Idempotency-Key header, since its requests may not be repeated")
}

// startClaim begins a request that may not be repeated.
func (e *Entry) startClaim(h *table.Held, id contract.RequestID) []pool.Effect {
	run := &claimRun{}
	now := e.clock.Now()
	found := e.update(h, id, func(r *request) {
		r.state = stateCalling
		r.attempt = 1
		run.body = claim.HashCall(r.Call)
		run.key = claim.Key{Account: r.Account, Route: r.Route.Name, Idempotency: r.IdempotencyKey}
		run.machine = claim.NewMachine(r.call(), run.body)
		run.deadline = r.Deadline
		run.placeBy = now.Add(r.Deadline.Sub(now) / 2)
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
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		rows[id] = run
		action = run.machine.Start()
	})
	return e.doClaim(h, id, action)
}

// claimEvent tells a request's machine what happened and does what it says.
func (e *Entry) claimEvent(h *table.Held, id contract.RequestID, event func(run *claimRun) claim.Action) []pool.Effect {
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, there := rows[id]; there {
			action = event(run)
		}
	})
	return e.doClaim(h, id, action)
}

// claimStep is claimEvent as a step of its own.
func (e *Entry) claimStep(id contract.RequestID, event func(run *claimRun) claim.Action) pool.Step {
	return func(h *table.Held) []pool.Effect { return e.claimEvent(h, id, event) }
}

// doClaim does what a machine says.
func (e *Entry) doClaim(h *table.Held, id contract.RequestID, a claim.Action) []pool.Effect {
	run := e.claimOf(h, id)
	if run == nil {
		return nil
	}
	effects := e.startDuty(run, a.Duty)
	effects = append(effects, e.doAction(h, id, run, a)...)
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, there := rows[id]; there && run.machine.Over() {
			delete(rows, id)
		}
	})
	return effects
}

// claimOf copies a request's run.
func (e *Entry) claimOf(h *table.Held, id contract.RequestID) (copied *claimRun) {
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, there := rows[id]; there {
			c := *run
			copied = &c
		}
	})
	return copied
}

func (e *Entry) doAction(h *table.Held, id contract.RequestID, run *claimRun, a claim.Action) []pool.Effect {
	switch a.Do {
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
		e.pool.After(claim.Pause(a.Looks), e.claimStep(id, func(run *claimRun) claim.Action { return run.machine.Paused() }))
		return nil
	case claim.DoDeliver:
		return e.claimAnswered(h, id, run)
	case claim.DoRefuse:
		return e.finish(h, id, a.Refusal)
	default:
		return nil
	}
}

// claimAnswered gives the caller the answer at hand.
func (e *Entry) claimAnswered(h *table.Held, id contract.RequestID, run *claimRun) []pool.Effect {
	answer, refusal := claim.Recorded(claim.Record{Answer: run.answer, Dropped: run.dropped})
	if refusal != nil {
		return e.finish(h, id, refusal)
	}
	e.update(h, id, func(r *request) {
		r.answer = &answer
		r.lastDelivery = e.clock.Now()
		r.firstToken = r.lastDelivery.Sub(r.Arrived)
	})
	return e.finish(h, id, nil)
}

// claimTimeUp ends the wait of a caller and says what may be said truthfully; ok
// is false if the request holds no claim.
func (e *Entry) claimTimeUp(h *table.Held, id contract.RequestID, code contract.Code, reason string) (refusal *contract.Refusal, ok bool) {
	var action claim.Action
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, there := rows[id]; there {
			action = run.machine.TimeUp(code, reason)
			ok = true
		}
	})
	if !ok || action.Refusal == nil {
		return nil, false
	}
	refusal = action.Refusal
	e.pool.Start(e.doClaim(h, id, action)...)
	return refusal, true
}

// claimGrant asks likely sidecars for a grant.
func (e *Entry) claimGrant(h *table.Held, id contract.RequestID, run *claimRun, call contract.CallID) []pool.Effect {
	e.update(h, id, func(r *request) { r.attempt = call.Attempt })
	if refusal := e.quarantined(h, run.message.Fingerprint); refusal != nil {
		return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.machine.NotGranted(refusal) })
	}
	now := e.clock.Now()
	var choices []placement.Choice
	e.board.With(h, func(b **placement.Board) { choices = (*b).Service(now, run.need) })
	q := &peer.ReserveRequest{Header: e.header(h), Call: call, Fingerprint: run.message.Fingerprint, Once: true, ClaimKey: run.key.With(run.body)}
	result := asked{call: call}
	perform := func(ctx context.Context) pool.Step {
		for i := range choices {
			if e.askOne(ctx, &choices[i], q, &result) {
				break
			}
		}
		return func(h *table.Held) []pool.Effect {
			e.observe(h, result.loads, result.failed)
			if result.choice == nil && e.grantLater(h, id, call) {
				return nil
			}
			return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.granted(&result) })
		}
	}
	return []pool.Effect{{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}}
}

// grantLater asks again after a while, if there is time: upstreams that are full
// now have room soon. It reports false if the request has to do without.
func (e *Entry) grantLater(h *table.Held, id contract.RequestID, call contract.CallID) bool {
	waits, rounds := false, 0
	now := e.clock.Now()
	e.claims.With(h, id, func(rows map[contract.RequestID]*claimRun) {
		if run, there := rows[id]; there && now.Before(run.placeBy) {
			waits = true
			run.rounds++
			rounds = run.rounds
		}
	})
	if waits {
		e.pool.After(claim.Pause(rounds), func(h *table.Held) []pool.Effect {
			run := e.claimOf(h, id)
			if run == nil {
				return nil
			}
			return e.claimGrant(h, id, run, call)
		})
	}
	return waits
}

// granted goes on with what asking for a grant led to. An upstream that was
// tried is not tried again.
func (run *claimRun) granted(result *asked) claim.Action {
	run.need.Exclude = append(run.need.Exclude, result.failed...)
	if result.choice == nil {
		return run.machine.NotGranted(contract.RefuseRepeat(contract.CodeNoUpstream, RetryWhenBusy, "no upstream takes the call now"))
	}
	run.need.Exclude = append(run.need.Exclude, result.choice.ID)
	return run.machine.Granted(result.choice.Addr)
}

// claimPanic ends a request whose call panicked.
func (e *Entry) claimPanic(id contract.RequestID) func(reason any) pool.Step {
	return func(any) pool.Step {
		return func(h *table.Held) []pool.Effect {
			refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "internal error"}
			if truth, ok := e.claimTimeUp(h, id, contract.CodeInternal, "internal error"); ok {
				refusal = truth
			}
			return e.finish(h, id, refusal)
		}
	}
}

// claimSend sends an attempt under its grant.
func (e *Entry) claimSend(h *table.Held, id contract.RequestID, run *claimRun, a claim.Action) pool.Effect {
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
		return func(h *table.Held) []pool.Effect {
			e.untrack(h, a.Witness, a.Call)
			if err == nil {
				e.observe(h, []upstream.Load{reply.Load}, nil)
			}
			return e.claimEvent(h, id, func(run *claimRun) claim.Action { return run.called(reply, err) })
		}
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}

// called goes on with what sending an attempt led to.
func (run *claimRun) called(reply *peer.ServiceReply, err error) claim.Action {
	refusal := callRefusal(err)
	if err == nil {
		refusal = reply.Refusal
	}
	switch {
	case refusal == nil:
		run.answer = reply.Answer
		run.dropped = false
		return run.machine.Called(claim.CallAnswered, nil)
	case refusal.Ran == contract.RanNo:
		return run.machine.Called(claim.CallNotRun, refusal)
	case err != nil:
		return run.machine.Called(claim.CallNoReply, refusal)
	default:
		return run.machine.Called(claim.CallUnclear, refusal)
	}
}

// claimAsk asks a witness what became of an attempt.
func (e *Entry) claimAsk(h *table.Held, id contract.RequestID, a claim.Action) pool.Effect {
	q := &peer.ServiceRequest{Header: e.header(h), Call: a.Call, AskOnly: true}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, AskTimeout)
		defer cancel()
		reply, err := e.peers.Sidecar(a.Witness).Call(ctx, q)
		if err != nil {
			return e.claimStep(id, func(run *claimRun) claim.Action { return run.machine.NotAsked() })
		}
		return e.claimStep(id, func(run *claimRun) claim.Action {
			run.answer = reply.Answer
			run.dropped = reply.Dropped
			return run.machine.Asked(reply.Fate)
		})
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}
