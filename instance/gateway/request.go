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

// request is a row of the table of requests. What steps share is read and
// written while its lock is held; what only the effect in flight writes is read
// by the step that follows it.
type request struct {
	row     rowID
	message *contract.Message
	sink    contract.MessageSink
	route   *directory.Route
	service directory.ServiceName
	// account is nil on open routes.
	account     *directory.Account
	fingerprint contract.Fingerprint
	cost        float64
	version     uint64
	log         requestLog

	arrived, deadline time.Time
	// ctx ends with the deadline, the caller or the process.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan *contract.Refusal
	ended  bool

	// place is the decode engine that has a reservation, or the upstream of a
	// plain call; held is what the board counts for it.
	place       *roster.Choice
	reservation string
	heldTokens  contract.Tokens
	// turn says that it is its turn to ask, after it waited.
	dequeued bool
	// waitsFor is what it waited for last.
	waitReason string
	// reader is the prefill engine that read the prompt last.
	prefilledBy *roster.Choice
	// attempts counts the upstreams to which the request was sent, ran says
	// what is known of them. prefills counts the readings of the prompt for the
	// current place, reads all of them.
	attempts, placePrefills, totalPrefills int
	// spare is a KV cache that the engine it was meant for may not have fetched;
	// reused says that the place is tried with one.
	unusedHandle runner.Handle
	handleReused bool
	ran          contract.Ran
	excluded     []upstream.ID

	// saved is a failure that an upstream answered, for want of anything better.
	errorAnswer *runner.Answer

	// Written by the effect in flight.
	headSent     bool
	callerGone   bool
	lastEventID  string
	firstEventAt time.Time
	lastEventAt  time.Time
	events       int
	// longestGap is the longest pause between two events.
	longestGap time.Duration
	placedAt   time.Time
	prefillAt  time.Time
}

// accountID names the account, empty on open routes.
func (r *request) accountID() contract.AccountID {
	if r.account == nil {
		return ""
	}
	return r.account.ID
}

// left is the time until the deadline.
func (r *request) timeLeft(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// slack is the time until the first event is late.
func (r *request) slack(now time.Time) time.Duration {
	return r.arrived.Add(r.route.Objective).Sub(now)
}

// tokens is the memory that the request is expected to take.
func (r *request) expectedTokens() contract.Tokens {
	output := r.message.MaxOutput
	if r.message.ExpectedOutput > 0 {
		output = min(output, r.message.ExpectedOutput)
	}
	return r.message.Prompt + output
}

// options are what is added to the message for an upstream.
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
	}
}

// failed notes that an upstream failed the request.
func (r *request) excludeUpstream(id upstream.ID) {
	if !slices.Contains(r.excluded, id) {
		r.excluded = append(r.excluded, id)
	}
}

func (g *Gateway) newRowID() rowID {
	return rowID(strconv.FormatUint(g.lastRow.Add(1), 36))
}

func (g *Gateway) insert(h *table.Held, r *request) {
	g.running.Add(1)
	g.requests.With(h, r.row, func(rows map[rowID]*request) { rows[r.row] = r })
}

// live calls f while the request's lock is held, unless the request has ended,
// and reports whether it did.
func (g *Gateway) ifLive(h *table.Held, r *request, f func()) (called bool) {
	g.requests.With(h, r.row, func(map[rowID]*request) {
		if r.ended {
			return
		}
		called = true
		f()
	})
	return called
}

// perform makes a call of a request outside of the workers. One that panics ends
// its request.
func (g *Gateway) requestEffect(r *request, call func() pool.Step) []pool.Effect {
	return []pool.Effect{{
		Lane:    laneRequest,
		Perform: func(context.Context) pool.Step { return call() },
		OnPanic: func(reason any) pool.Step {
			return func(h *table.Held) []pool.Effect {
				effects := g.endPlacement(h, r, true)
				refusal := &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: fmt.Sprint(reason)}
				return append(effects, g.finish(h, r, refusal)...)
			}
		},
	}}
}

// leave frees what the request holds at its upstream.
func (g *Gateway) releasePlace(h *table.Held, r *request) []pool.Effect {
	place, heldTokens, reservation := r.place, r.heldTokens, r.reservation
	r.place, r.heldTokens, r.reservation = nil, 0, ""
	if place == nil {
		return nil
	}
	g.board.With(h, func(b **roster.Board) { (*b).Freed(*place, heldTokens) })
	if reservation == "" {
		return nil
	}
	return []pool.Effect{g.cleanup(func(ctx context.Context) runner.Result {
		return g.runners.Release(ctx, place.Target, reservation)
	}, "reservation", r)}
}

// cleanupTimeout bounds a call that frees something; it lapses by itself anyway.
const cleanupTimeout = 300 * time.Millisecond

// cleanup makes a call whose outcome changes nothing but the log.
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

// finish ends a request: refusal is nil if the caller got the whole answer. Only
// the first call does anything.
func (g *Gateway) finish(h *table.Held, r *request, refusal *contract.Refusal) []pool.Effect {
	ended := g.ifLive(h, r, func() { r.ended = true })
	if !ended {
		return nil
	}
	refusal = r.withKnownRan(refusal)
	effects := g.releasePlace(h, r)
	if r.unusedHandle.ID != "" {
		effects = append(effects, g.freeHandle(r.unusedHandle, r))
	}
	if refusal != nil && r.ran == contract.RanNo && r.cost > 0 {
		g.refund(h, r)
	}
	if refusal == nil {
		g.recordFinished(h, r)
	}
	g.requests.With(h, r.row, func(rows map[rowID]*request) { delete(rows, r.row) })
	g.running.Add(-1)
	g.recordEnd(r, refusal)
	r.cancel()
	r.done <- refusal
	return append(effects, g.placeNextWaiter(h, r.service)...)
}

// truthful makes a refusal say what is known of all attempts.
func (r *request) withKnownRan(refusal *contract.Refusal) *contract.Refusal {
	if refusal == nil || r.ran <= refusal.Ran {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = r.ran
	corrected.Repeat = false
	return &corrected
}
