package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// request is a row of the request table. Fields that several steps share are accessed
// under the row's lock (see ifLive). Fields that the effect in flight writes are read
// only by the step that follows it.
type request struct {
	tableKey rowID
	message  *contract.Message
	sink     contract.MessageSink
	route    *directory.Route
	service  directory.ServiceName
	// account is nil on open routes.
	account     *directory.Account
	fingerprint contract.Fingerprint
	// sharedParts are those of the prompt that other requests may have too.
	sharedParts []contract.PartID
	cost        float64
	// rank is the urgency of the request among ranks of its service, 0 the most urgent.
	rank, ranks int
	// beforeOthers is set if less urgent requests of its account are charged after it.
	beforeOthers bool
	// waitingSince is when it was first put on the wait list, zero before.
	waitingSince time.Time
	// roomCounted is set once the shortage counts have its search for room.
	roomCounted   bool
	configVersion uint64
	log           requestLog

	arrived, deadline time.Time
	// ctx ends at the deadline, when the caller leaves, or with the process.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan *contract.Refusal
	ended  bool
	// crashedUpstream is set when an upstream crashed before it began the answer.
	crashedUpstream bool

	// assigned is the decode engine with a reservation, or the upstream of a plain
	// call, and assignedRole its role; heldTokens is what the board counts for it.
	assigned     *roster.Choice
	assignedRole upstream.Role
	reservation  string
	heldTokens   contract.Tokens
	// placeLostAt is when the check before a send last voided its place.
	placeLostAt time.Time
	// dequeued is set while a request from the wait list is being placed.
	dequeued bool
	// waitReason is the last reason to wait, one of the wait constants.
	waitReason string
	// prefilledBy is the prefill engine that prefilled the prompt last.
	prefilledBy *roster.Choice
	// attempts counts the upstreams to which the request was sent; ran tells
	// whether any of them ran it. placePrefills counts the prefills for the
	// current reservation, totalPrefills those for all reservations.
	attempts, placePrefills, totalPrefills int
	// unusedHandle is a KV cache that its decode engine may not have fetched;
	// handleReused is set once another engine is to be tried with it after a send.
	unusedHandle runner.Handle
	handleReused bool
	ran          contract.Ran
	excluded     []upstream.ID

	// errorAnswer is an upstream's answer with a status of 500 or more. It is
	// delivered if no other attempt succeeds.
	errorAnswer *runner.Answer
	// heldAnswers return what answers hold of the process's memory, until the answer is
	// being delivered. Guarded by the row's lock.
	heldAnswers []func()

	// Written by the effect in flight. headSent is set before the status and
	// headers of the answer are written to the caller.
	headSent     bool
	callerGone   bool
	lastEventID  string
	firstEventAt time.Time
	lastEventAt  time.Time
	events       int
	// earlierEvents is the part of events that earlier attempts delivered; sentAt is when
	// the last attempt was sent.
	earlierEvents int
	sentAt        time.Time
	// startLoad is the load of the engine when the stream began.
	startLoad runner.Load
	// longestGap is the longest time between two events.
	longestGap time.Duration
	placedAt   time.Time
	prefillAt  time.Time
	// reservedAt is when the reservation was asked for.
	reservedAt time.Time
}

// accountID is empty on open routes.
func (r *request) accountID() contract.AccountID {
	if r.account == nil {
		return ""
	}
	return r.account.ID
}

// timeLeft is the time until the deadline, negative after it.
func (r *request) timeLeft(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// slack is the time until the first event misses the route's objective, negative
// once it has.
func (r *request) slack(now time.Time) time.Duration {
	return r.arrived.Add(r.route.Objective).Sub(now)
}

// expectedTokens is the KV cache memory that the request is expected to need: the
// prompt and the expected output, at most the maximum output.
func (r *request) expectedTokens() contract.Tokens {
	return r.message.Prompt + r.expectedOutput()
}

// expectedOutput is the caller's estimate of the output, at most the maximum output.
func (r *request) expectedOutput() contract.Tokens {
	if r.message.ExpectedOutput > 0 {
		return min(r.message.MaxOutput, r.message.ExpectedOutput)
	}
	return r.message.MaxOutput
}

// options returns what is sent to an upstream in addition to the message. A resumed
// stream continues after the last event that the caller has.
func (r *request) options(now time.Time) runner.Options {
	resume := r.lastEventID
	if resume == "" {
		resume = r.message.ResumeAfter
	}
	return runner.Options{
		Account:     r.accountID(),
		Within:      r.timeLeft(now),
		Reservation: r.reservation,
		ResumeAfter: resume,
		Urgency:     r.urgency(),
	}
}

// attemptEvents is the number of events that the last attempt delivered.
func (r *request) attemptEvents() int {
	return r.events - r.earlierEvents
}

// excludeUpstream keeps later attempts of the request away from an upstream.
func (r *request) excludeUpstream(id upstream.ID) {
	if !slices.Contains(r.excluded, id) {
		r.excluded = append(r.excluded, id)
	}
}

func (g *Gateway) newRowID() rowID {
	return rowID(strconv.FormatUint(g.lastRow.Add(1), 36))
}

func (g *Gateway) insert(h *table.HeldLocks, r *request) {
	g.running.Add(1)
	g.requests.With(h, r.tableKey, func(rows map[rowID]*request) { rows[r.tableKey] = r })
}

// ifLive calls f with the row's lock held unless the request has ended, and reports
// whether it called f.
func (g *Gateway) ifLive(h *table.HeldLocks, r *request, f func()) (called bool) {
	g.requests.With(h, r.tableKey, func(map[rowID]*request) {
		if r.ended {
			return
		}
		called = true
		f()
	})
	return called
}

// requestEffect makes an effect of a blocking call for a request. A call that panics
// ends its request.
func (g *Gateway) requestEffect(r *request, call func() pool.Step) []pool.Effect {
	return []pool.Effect{{
		Lane:    laneRequest,
		Perform: func(context.Context) pool.Step { return call() },
		OnPanic: func(reason any) pool.Step {
			return func(h *table.HeldLocks) []pool.Effect {
				effects := g.endPlacement(h, r, true)
				refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: fmt.Sprint(reason)}
				return append(effects, g.finish(h, r, refusal)...)
			}
		},
	}}
}

// releasePlace frees the request's place on the board and its reservation, if any.
func (g *Gateway) releasePlace(h *table.HeldLocks, r *request) []pool.Effect {
	assigned, heldTokens, reservation := r.assigned, r.heldTokens, r.reservation
	r.assigned, r.heldTokens, r.reservation = nil, 0, ""
	if assigned == nil {
		return nil
	}
	g.board.With(h, func(b **roster.Board) {
		(*b).RemoveCall(*assigned, heldTokens)
		if reservation != "" {
			(*b).ReleaseSend(*assigned)
		}
	})
	if reservation == "" || g.paused(h, g.clock.Now(), assigned.Target) || g.inEvacuatedZone(h, assigned.ID) {
		return nil
	}
	return []pool.Effect{g.cleanup(func(ctx context.Context) runner.Result {
		return g.runners.Release(ctx, assigned.Target, reservation)
	}, "reservation", r)}
}

// cleanupTimeout bounds a call that frees a reservation or KV cache. Both also expire
// at the engine.
const cleanupTimeout = 300 * time.Millisecond

// cleanup makes an effect of a best-effort call: a failure is only logged.
func (g *Gateway) cleanup(call func(ctx context.Context) runner.Result, what string, r *request) pool.Effect {
	return pool.Effect{Lane: laneCleanup, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		if result := call(ctx); result.Err != nil {
			g.log.Debug(string(eventCleanupFailed), "request", r.message.ID, "what", what, "error", result.Err)
		}
		return nil
	}}
}

// finish ends a request; refusal is nil if the caller got the complete answer. Later
// calls for the same request have no effect.
func (g *Gateway) finish(h *table.HeldLocks, r *request, refusal *contract.Refusal) []pool.Effect {
	var held []func()
	ended := g.ifLive(h, r, func() {
		r.ended = true
		held, r.heldAnswers = r.heldAnswers, nil
	})
	releaseAll(held)
	if !ended {
		return nil
	}
	refusal = r.withKnownRan(refusal)
	effects := g.releasePlace(h, r)
	if r.unusedHandle.ID != "" {
		effects = append(effects, g.freeHandle(h, r.unusedHandle, r)...)
	}
	if refusal != nil && r.ran == contract.RanNo && r.cost > 0 {
		g.refund(h, r)
	}
	if refusal == nil {
		g.clearSuspect(h, r)
	}
	g.requests.With(h, r.tableKey, func(rows map[rowID]*request) { delete(rows, r.tableKey) })
	g.running.Add(-1)
	g.recordEnd(r, refusal)
	r.cancel()
	r.done <- refusal
	return append(effects, g.placeNextWaiter(h, r.waitListKey())...)
}

// withKnownRan returns the refusal, corrected if an earlier attempt may have run the
// request: then its Ran is raised and the caller is not invited to repeat.
func (r *request) withKnownRan(refusal *contract.Refusal) *contract.Refusal {
	if refusal == nil || r.ran <= refusal.Ran {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = r.ran
	corrected.Repeat = false
	return &corrected
}
