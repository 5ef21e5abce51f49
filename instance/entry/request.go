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

// state is where a request stands.
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

// String gives the word shown to operators.
func (s state) String() string {
	return stateNames[s]
}

// request is a row of the table of requests. It is read and written only while
// its lock is held.
type request struct {
	contract.Request
	state   state
	attempt contract.Attempt
	charged contract.Tokens

	// decode and prefill are where the current attempt has work.
	decode  *placement.Choice
	prefill *placement.Choice
	// calling is where the current attempt of a service call runs.
	calling *placement.Choice
	// sent is when the current attempt's work was last sent to an upstream.
	sent   time.Time
	handle link.Handle
	// handleAt is when the KV cache was there; imported says that output was
	// made from it.
	handleAt time.Time
	imported bool
	// reached says whether any attempt ran at an upstream.
	reached contract.Ran
	// failures counts the attempts that failed at an upstream.
	failures int
	// excluded are upstreams that failed this request.
	excluded []upstream.ID
	// next is the offset of the token that the caller gets next.
	next contract.Tokens

	firstToken    time.Duration
	lastDelivery  time.Time
	longestGap    time.Duration
	prefillTokens contract.Tokens
	wastedTokens  contract.Tokens
	usage         contract.Usage

	// stop ends the wait for an answer to the current attempt; nil if none is
	// awaited. silent is the address of a sidecar that was found silent before
	// the wait for it began.
	stop   context.CancelFunc
	silent string

	// pending, answer and ended are what the goroutine of the caller's
	// connection takes; wake tells it that there is something.
	pending []contract.Chunk
	answer  *contract.ServiceAnswer
	refusal *contract.Refusal
	wake    chan struct{}
}

// call names the current attempt.
func (r *request) call() contract.CallID {
	return contract.CallID{Request: r.ID, Attempt: r.attempt}
}

// signal wakes the goroutine of the caller's connection.
func (r *request) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// slack is the time left until the first token is late.
func (r *request) slack(now time.Time) time.Duration {
	if r.Route.Targets.FirstToken == 0 || r.Route.Patient {
		return r.Deadline.Sub(now)
	}
	return r.Arrived.Add(r.Route.Targets.FirstToken).Sub(now)
}

// newID makes the identifier of the next request.
func (e *Entry) newID() contract.RequestID {
	return contract.RequestID(fmt.Sprintf("%s.%x", e.self, e.sequence.Add(1)))
}

// insert enters a request.
func (e *Entry) insert(h *table.Held, r *request) {
	e.running.Add(1)
	e.requests.With(h, r.ID, func(rows map[contract.RequestID]*request) { rows[r.ID] = r })
	e.startTicking()
}

// update calls f with a request that has not ended, while its lock is held, and
// reports whether there was one.
func (e *Entry) update(h *table.Held, id contract.RequestID, f func(r *request)) (found bool) {
	e.requests.With(h, id, func(rows map[contract.RequestID]*request) {
		r, there := rows[id]
		if !there || r.state == stateEnded {
			return
		}
		found = true
		f(r)
	})
	return found
}

// updateCall is update for one attempt: what belongs to an earlier attempt is
// late and finds nothing.
func (e *Entry) updateCall(h *table.Held, call contract.CallID, f func(r *request)) (found bool) {
	e.update(h, call.Request, func(r *request) {
		if r.attempt != call.Attempt {
			return
		}
		found = true
		f(r)
	})
	return found
}

// finish ends a request with its whole answer (refusal nil) or a refusal, gives
// back what it held and did not use, and returns the calls that free its work at
// upstreams. Only the first call for a request does anything.
func (e *Entry) finish(h *table.Held, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.end(h, id, func(*request) *contract.Refusal { return refusal })
}

// cut ends a request from outside, whatever it is doing. What the refusal says of
// it is taken at the moment at which it ends: a step may have sent it meanwhile.
func (e *Entry) cut(h *table.Held, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	return e.end(h, id, func(r *request) *contract.Refusal {
		said := *refusal
		said.Ran = r.ranWhenCut()
		return &said
	})
}

// end is finish with a refusal that is made while the request's lock is held.
func (e *Entry) end(h *table.Held, id contract.RequestID, why func(r *request) *contract.Refusal) []pool.Effect {
	var ended Ended
	var refusal *contract.Refusal
	var release []heldWork
	var used, charged contract.Tokens
	var fp contract.Fingerprint
	freed := false
	now := e.clock.Now()
	found := e.update(h, id, func(r *request) {
		refusal = r.truthful(why(r))
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
	e.recorder.Ended(now, ended)
	e.logEnd(id, ended)
	if refusal == nil {
		e.excuse(h, fp)
	}
	effects := e.releaseWork(h, release, refusal != nil)
	if freed {
		effects = append(effects, e.roomFreed(h, ended.Route.Name)...)
	}
	return effects
}

// ranWhenCut says what is known of a request that is ended from outside.
func (r *request) ranWhenCut() contract.Ran {
	if r.state < stateReserving {
		return contract.RanNo
	}
	return contract.RanUnknown
}

// truthful makes a refusal say that the request ran if an earlier attempt did.
func (r *request) truthful(refusal *contract.Refusal) *contract.Refusal {
	if refusal == nil || refusal.Ran != contract.RanNo || r.reached == contract.RanNo {
		return refusal
	}
	said := *refusal
	said.Ran = r.reached
	return &said
}

// remove takes an ended request out of the table.
func (e *Entry) remove(h *table.Held, id contract.RequestID) {
	e.requests.With(h, id, func(rows map[contract.RequestID]*request) {
		if _, there := rows[id]; there {
			delete(rows, id)
			e.running.Add(-1)
		}
	})
}

// used is what the request cost: the engine's count if it gave one.
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

// summary gives the request's figures.
func (r *request) summary(now time.Time) Ended {
	return Ended{
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

// logEnd writes one line for each request.
func (e *Entry) logEnd(id contract.RequestID, ended Ended) {
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

// heldWork is what an attempt holds at one upstream.
type heldWork struct {
	addr string
	call contract.CallID
}

// heldWork lists what the current attempt holds.
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
