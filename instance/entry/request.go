package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// state is the processing state of a request.
type state uint8

const (
	stateCharging state = iota
	stateQueued
	stateReserving
	statePrefilling
	// stateStartingDecode lasts from the message that starts the output until the
	// sidecar has accepted it.
	stateStartingDecode
	stateDecoding
	stateCalling
	stateEnded
)

var stateNames = [...]string{"charging", "queued", "reserving", "prefilling", "starting", "decoding", "calling", "ended"}

// String returns the name shown to operators.
func (s state) String() string {
	return stateNames[s]
}

// request is a row of the request table. Its fields are read and written only
// while the lock of the row is held.
type request struct {
	contract.Request
	state state
	// mayRepeat is set if the request may repeat an earlier one that ran.
	mayRepeat bool
	attempt   contract.Attempt
	charged   contract.Tokens

	// decode and prefill are the upstreams that hold work of the current attempt.
	decode  *placement.Choice
	prefill *placement.Choice
	// serviceUpstream is the upstream of the current attempt of a service call.
	serviceUpstream *placement.Choice
	// sentAt is when work was last sent to an upstream; zero after the first
	// output.
	sentAt time.Time
	handle link.Handle
	// handleReadyAt is when the KV cache was ready; imported is true once output was
	// decoded from it.
	handleReadyAt time.Time
	imported      bool
	// ran states whether any attempt ran at an upstream.
	ran contract.Ran
	// failures counts the attempts that failed at an upstream.
	failures int
	// excluded are upstreams that failed this request.
	excluded []upstream.ID
	// next is the offset of the next token to deliver to the caller.
	next contract.Tokens

	firstToken    time.Duration
	lastOutputAt  time.Time
	longestGap    time.Duration
	prefillTokens contract.Tokens
	wastedTokens  contract.Tokens
	usage         contract.Usage

	// cancelWait ends the wait for an answer to the current attempt; nil if
	// none is awaited. silentAddr is the address of a sidecar that was found
	// unresponsive, possibly before the wait for it began.
	cancelWait context.CancelFunc
	silentAddr string

	// pending, answer and refusal are the output that the goroutine of the
	// caller's connection delivers; wake signals it.
	pending []contract.Chunk
	answer  *contract.ServiceAnswer
	refusal *contract.Refusal
	wake    chan struct{}
}

// attemptID returns the identifier of the current attempt.
func (r *request) attemptID() contract.CallID {
	return contract.CallID{Request: r.ID, Attempt: r.attempt}
}

// signal wakes the goroutine of the caller's connection. It does not block.
func (r *request) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// slack returns the time left to the first token's target, or to the deadline
// if the route has no target or is patient.
func (r *request) slack(now time.Time) time.Duration {
	if r.Route.Targets.FirstToken == 0 || r.Route.Patient {
		return r.Deadline.Sub(now)
	}
	return r.Arrived.Add(r.Route.Targets.FirstToken).Sub(now)
}

// newID returns a request identifier that is unique in the fleet.
func (e *Entry) newID() contract.RequestID {
	return contract.RequestID(fmt.Sprintf("%s.%x", e.self, e.sequence.Add(1)))
}

// insertRequest adds a row to the request table.
func (e *Entry) insertRequest(h *table.HeldLocks, r *request) {
	e.running.Add(1)
	e.requests.With(h, r.ID, func(rows map[contract.RequestID]*request) { rows[r.ID] = r })
	e.startTicking()
}

// update calls f with a request that has not ended, while its lock is held. It
// returns false if there is none.
func (e *Entry) update(h *table.HeldLocks, id contract.RequestID, f func(r *request)) (found bool) {
	e.requests.With(h, id, func(rows map[contract.RequestID]*request) {
		r, exists := rows[id]
		if !exists || r.state == stateEnded {
			return
		}
		found = true
		f(r)
	})
	return found
}

// updateAttempt is update for one attempt, whose CallID is given. It returns false if
// the request is at a later attempt, so that late replies have no effect.
func (e *Entry) updateAttempt(h *table.HeldLocks, call contract.CallID, f func(r *request)) (found bool) {
	e.update(h, call.Request, func(r *request) {
		if r.attempt != call.Attempt {
			return
		}
		found = true
		f(r)
	})
	return found
}

// finish ends a request with its complete answer (refusal nil) or a refusal,
// refunds the unused tokens, and returns the effects that free its work at
// upstreams. Only the first call for a request has an effect.
func (e *Entry) finish(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.finishWith(h, id, func(*request) *contract.Refusal { return refusal })
}

// terminateWithoutClaim is terminate for a request without a claim. Ran is determined
// under the request's lock, because a step may have sent the request in the
// meantime.
func (e *Entry) terminateWithoutClaim(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.finishWith(h, id, func(r *request) *contract.Refusal {
		corrected := *refusal
		corrected.Ran = r.ranWhenTerminated()
		return &corrected
	})
}

// finishWith is finish with a refusal that refuse computes while the request's lock is
// held; nil for an answered request.
func (e *Entry) finishWith(h *table.HeldLocks, id contract.RequestID, refuse func(r *request) *contract.Refusal) []pool.Effect {
	var ended RequestRecord
	var refusal *contract.Refusal
	var release []heldWork
	var used, charged contract.Tokens
	var fp contract.Fingerprint
	freed := false
	now := e.clock.Now()
	found := e.update(h, id, func(r *request) {
		refusal = r.withKnownRan(refuse(r))
		release = r.heldWork()
		r.state = stateEnded
		r.refusal = refusal
		used = r.used()
		charged = r.charged
		fp = r.Fingerprint
		freed = r.decode != nil
		ended = r.summary(now)
		r.signal()
	})
	if !found {
		return nil
	}
	e.dequeue(h, ended.Route.Name, id)
	e.settle(h, id, ended.Account, charged, used)
	e.recorder.RecordRequest(now, ended)
	e.logEnd(id, ended)
	if refusal == nil {
		e.clearSuspect(h, fp)
	}
	effects := e.releaseWork(h, release, refusal != nil)
	if freed {
		effects = append(effects, e.handleFreedRoom(h, ended.Route.Name)...)
	}
	return effects
}

// ranWhenTerminated returns whether the current attempt of a request that is
// terminated now may have run. One that may repeat an earlier one may have run before it had
// a claim.
func (r *request) ranWhenTerminated() contract.Ran {
	if r.state < stateReserving && !r.mayRepeat {
		return contract.RanNo
	}
	return contract.RanUnknown
}

// withKnownRan returns the refusal with Ran taken from earlier attempts if the
// last one did not run.
func (r *request) withKnownRan(refusal *contract.Refusal) *contract.Refusal {
	if refusal == nil || refusal.Ran != contract.RanNo || r.ran == contract.RanNo {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = r.ran
	return &corrected
}

// removeRequest deletes a row of the request table.
func (e *Entry) removeRequest(h *table.HeldLocks, id contract.RequestID) {
	e.requests.With(h, id, func(rows map[contract.RequestID]*request) {
		if _, exists := rows[id]; exists {
			delete(rows, id)
			e.running.Add(-1)
		}
	})
}

// used returns the tokens that the request cost: the engine's count if there is
// one, otherwise an estimate from the prompt and the output so far. A service
// call costs what was charged unless it did not run.
func (r *request) used() contract.Tokens {
	if r.usage.Total() > 0 {
		return r.usage.Total()
	}
	if r.Generate == nil {
		if r.refusal != nil && r.refusal.Ran == contract.RanNo {
			return 0
		}
		return r.charged
	}
	if r.handle.ID == "" {
		return 0
	}
	return r.Generate.PromptTokens + r.next
}

// summary returns the request's measurements for the Recorder.
func (r *request) summary(now time.Time) RequestRecord {
	return RequestRecord{
		Route:         r.Route,
		Account:       r.Account,
		Refusal:       r.refusal,
		Usage:         r.usage,
		FirstToken:    r.firstToken,
		LongestGap:    r.longestGap,
		Took:          now.Sub(r.Arrived),
		PrefillTokens: r.prefillTokens,
		WastedTokens:  r.wastedTokens,
		Attempts:      r.attempt,
	}
}

// logEnd logs the outcome of one request: "refused" for all that end with a refusal,
// also if they ran, as the key ran states.
func (e *Entry) logEnd(id contract.RequestID, ended RequestRecord) {
	fields := []any{
		"request", id,
		"account", ended.Account,
		"route", ended.Route.Name,
		"attempt", ended.Attempts,
		"took_ms", ended.Took.Milliseconds(),
	}
	if ended.Refusal != nil {
		e.log.Info("refused", append(fields, "code", ended.Refusal.Code, "ran", ended.Refusal.Ran.String(), "reason", ended.Refusal.Reason)...)
		return
	}
	e.log.Debug("answered", fields...)
}

// heldWork is the work of an attempt at the upstream of one sidecar.
type heldWork struct {
	addr string
	call contract.CallID
}

// heldWork lists the work that the current attempt has at upstreams.
func (r *request) heldWork() (work []heldWork) {
	if r.decode != nil {
		work = append(work, heldWork{r.decode.Addr, r.attemptID()})
	}
	if r.prefill != nil {
		work = append(work, heldWork{r.prefill.Addr, r.attemptID()})
	}
	if r.serviceUpstream != nil {
		work = append(work, heldWork{r.serviceUpstream.Addr, r.attemptID()})
	}
	return work
}
