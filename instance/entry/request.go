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
	stateStarting
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
	state   state
	attempt contract.Attempt
	charged contract.Tokens

	// decode and prefill are the upstreams that hold work of the current attempt.
	decode  *placement.Choice
	prefill *placement.Choice
	// calling is the upstream of the current attempt of a service call.
	calling *placement.Choice
	// sent is when work was last sent to an upstream; zero after the first
	// output.
	sent   time.Time
	handle link.Handle
	// handleAt is when the KV cache was ready; imported is true once output was
	// decoded from it.
	handleAt time.Time
	imported bool
	// reached states whether any attempt ran at an upstream.
	reached contract.Ran
	// failures counts the attempts that failed at an upstream.
	failures int
	// excluded are upstreams that failed this request.
	excluded []upstream.ID
	// next is the offset of the next token to deliver to the caller.
	next contract.Tokens

	firstToken    time.Duration
	lastDelivery  time.Time
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

// call returns the identifier of the current attempt.
func (r *request) call() contract.CallID {
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

// updateCall is update for one attempt. It returns false if the request is at a
// later attempt, so that late replies have no effect.
func (e *Entry) updateCall(h *table.HeldLocks, call contract.CallID, f func(r *request)) (found bool) {
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
// refunds the unused tokens, and returns the calls that free its work at
// upstreams. Only the first call for a request has an effect.
func (e *Entry) finish(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.end(h, id, func(*request) *contract.Refusal { return refusal })
}

// terminateRow ends a request in any state. The refusal's Ran is determined
// under the request's lock, because a step may have sent the request in the
// meantime.
func (e *Entry) terminateRow(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.end(h, id, func(r *request) *contract.Refusal {
		corrected := *refusal
		corrected.Ran = r.ranWhenTerminated()
		return &corrected
	})
}

// end is finish with a refusal that is computed while the request's lock is held.
func (e *Entry) end(h *table.HeldLocks, id contract.RequestID, refuse func(r *request) *contract.Refusal) []pool.Effect {
	var ended RequestRecord
	var refusal *contract.Refusal
	var release []heldWork
	var used, charged contract.Tokens
	var fp contract.Fingerprint
	freed := false
	now := e.clock.Now()
	found := e.update(h, id, func(r *request) {
		refusal = r.withReached(refuse(r))
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
// terminated now may have run.
func (r *request) ranWhenTerminated() contract.Ran {
	if r.state < stateReserving {
		return contract.RanNo
	}
	return contract.RanUnknown
}

// withReached returns the refusal with Ran taken from earlier attempts if the
// last one did not run.
func (r *request) withReached(refusal *contract.Refusal) *contract.Refusal {
	if refusal == nil || refusal.Ran != contract.RanNo || r.reached == contract.RanNo {
		return refusal
	}
	corrected := *refusal
	corrected.Ran = r.reached
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

// logEnd logs the outcome of one request.
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
		work = append(work, heldWork{r.decode.Addr, r.call()})
	}
	if r.prefill != nil {
		work = append(work, heldWork{r.prefill.Addr, r.call()})
	}
	if r.calling != nil {
		work = append(work, heldWork{r.calling.Addr, r.call()})
	}
	return work
}
