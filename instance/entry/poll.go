package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// Times and bounds of polling.
const (
	// PollWait is the max wait of a poll at the sidecar. It is a fraction of
	// the lease, because polls renew it.
	PollWait = 250 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = PollWait + 500*time.Millisecond
	// PollRetry is the delay after a poll that failed or returned nothing useful.
	PollRetry = 50 * time.Millisecond
	// maxPollFailures is the number of consecutive failures after which the
	// sidecar counts as lost.
	maxPollFailures = 3
)

// poller is the state of polling one sidecar. A single poll at a time renews
// the grants of all calls at the sidecar and returns all their output.
type poller struct {
	calls    map[contract.CallID]bool
	active   bool
	failures int
}

// track adds a call to its sidecar's poller and starts polling if it is not
// active.
func (e *Entry) track(h *table.HeldLocks, addr string, call contract.CallID) []pool.Effect {
	start := false
	e.pollers.With(h, func(pollers *map[string]*poller) {
		p, exists := (*pollers)[addr]
		if !exists {
			p = &poller{calls: make(map[contract.CallID]bool)}
			(*pollers)[addr] = p
		}
		p.calls[call] = true
		start = !p.active
		p.active = true
	})
	if !start {
		return nil
	}
	return []pool.Effect{e.poll(addr, e.acks(h, []contract.CallID{call}), e.header(h), PollWait)}
}

// untrack removes a call from its sidecar's poller; its grant is no longer
// renewed.
func (e *Entry) untrack(h *table.HeldLocks, addr string, call contract.CallID) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if p, exists := (*pollers)[addr]; exists {
			delete(p.calls, call)
		}
	})
}

// trackedCalls lists the calls of a sidecar's poller.
func (e *Entry) trackedCalls(h *table.HeldLocks, addr string) (calls []contract.CallID) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if p, exists := (*pollers)[addr]; exists {
			for call := range p.calls {
				calls = append(calls, call)
			}
		}
	})
	return calls
}

// acks returns the acknowledgments of the output received for calls.
func (e *Entry) acks(h *table.HeldLocks, calls []contract.CallID) []peer.Ack {
	acks := make([]peer.Ack, 0, len(calls))
	for _, call := range calls {
		e.updateAttempt(h, call, func(r *request) {
			acks = append(acks, peer.Ack{Call: call, Next: r.next})
		})
	}
	return acks
}

// poll returns the effect that polls one sidecar for output.
func (e *Entry) poll(addr string, acks []peer.Ack, header peer.Header, wait time.Duration) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, PollTimeout)
		defer cancel()
		q := &peer.PollRequest{Header: header, Calls: acks, Wait: wait}
		reply, err := e.peers.Sidecar(addr).Poll(ctx, q)
		if err != nil {
			e.log.Warn("poll failed", "sidecar", addr, "error", err)
			return func(h *table.HeldLocks) []pool.Effect { return e.handlePollError(h, addr) }
		}
		return func(h *table.HeldLocks) []pool.Effect { return e.handlePollReply(h, addr, reply) }
	}
	return pool.Effect{Lane: lanePoll, Perform: perform}
}

// handlePollReply passes output to its requests and polls again while there are
// calls.
func (e *Entry) handlePollReply(h *table.HeldLocks, addr string, reply *peer.PollReply) (effects []pool.Effect) {
	e.recordLoadsAndFailures(h, []upstream.Load{reply.Load}, nil)
	useful := false
	for _, chunk := range reply.Chunks {
		more, current := e.handleChunk(h, chunk)
		effects = append(effects, more...)
		useful = useful || current
	}
	for _, call := range reply.Lost {
		effects = append(effects, e.handleLostCall(h, addr, call)...)
	}
	e.pollers.With(h, func(pollers *map[string]*poller) { (*pollers)[addr].failures = 0 })
	if !useful && len(reply.Lost)+len(reply.Chunks) > 0 {
		// The sidecar answers at once while it does not know a call that is
		// still in flight, or has output that no request here waits for.
		// Polling again without a delay would spin.
		e.pollLater(addr)
		return effects
	}
	return append(effects, e.pollAgain(h, addr, useful)...)
}

// pollLater polls again after PollRetry.
func (e *Entry) pollLater(addr string) {
	e.pool.After(PollRetry, func(h *table.HeldLocks) []pool.Effect { return e.pollAgain(h, addr, false) })
}

// pollAgain starts the next poll. Without calls it removes the poller, after
// one final poll if last is set, which acknowledges their output.
func (e *Entry) pollAgain(h *table.HeldLocks, addr string, last bool) []pool.Effect {
	calls := e.trackedCalls(h, addr)
	if len(calls) > 0 {
		return []pool.Effect{e.poll(addr, e.acks(h, calls), e.header(h), PollWait)}
	}
	if last {
		return []pool.Effect{e.poll(addr, nil, e.header(h), 0)}
	}
	restart := false
	e.pollers.With(h, func(pollers *map[string]*poller) {
		p := (*pollers)[addr]
		restart = len(p.calls) > 0
		p.active = restart
		if !restart {
			delete(*pollers, addr)
		}
	})
	if restart {
		return e.pollAgain(h, addr, false)
	}
	return nil
}

// handlePollError polls again after PollRetry. After maxPollFailures the calls
// at the sidecar are treated as lost.
func (e *Entry) handlePollError(h *table.HeldLocks, addr string) (effects []pool.Effect) {
	gone := false
	e.recordFailureAt(h, addr)
	e.pollers.With(h, func(pollers *map[string]*poller) {
		p := (*pollers)[addr]
		p.failures++
		gone = p.failures >= maxPollFailures
	})
	if gone {
		for _, call := range e.trackedCalls(h, addr) {
			effects = append(effects, e.handleLostCall(h, addr, call)...)
			e.stopWaiting(h, addr, call)
			e.untrack(h, addr, call)
		}
	}
	e.pollLater(addr)
	return effects
}

// recordFailureAt records on the board that the sidecar at an address did not
// answer.
func (e *Entry) recordFailureAt(h *table.HeldLocks, addr string) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).RecordFailureAt(now, addr) })
}

// registerWait sets the function that ends the wait for a sidecar's answer to
// an attempt. If the sidecar was found unresponsive in the meantime, it is
// called at once.
func (e *Entry) registerWait(call contract.CallID, addr string, stop context.CancelFunc) {
	e.updateAttempt(table.NewHeldLocks(), call, func(r *request) {
		r.cancelWait = stop
		if r.silentAddr == addr {
			stop()
		}
	})
}

// stopWaiting ends the wait for an answer from an unresponsive sidecar. Its
// network may be partitioned without an error on the connection.
func (e *Entry) stopWaiting(h *table.HeldLocks, addr string, call contract.CallID) {
	e.updateAttempt(h, call, func(r *request) {
		prefills := r.prefill != nil && r.prefill.Addr == addr
		calls := r.serviceUpstream != nil && r.serviceUpstream.Addr == addr
		if !prefills && !calls {
			return
		}
		r.silentAddr = addr
		if r.cancelWait != nil {
			r.cancelWait()
			r.cancelWait = nil
		}
	})
}

// handleLostCall retries a decode whose sidecar does not know it at another
// upstream. Prefills are retried when their own call fails.
func (e *Entry) handleLostCall(h *table.HeldLocks, addr string, call contract.CallID) []pool.Effect {
	var failed upstream.ID
	e.updateAttempt(h, call, func(r *request) {
		if r.decode != nil && r.decode.Addr == addr && r.state == stateDecoding {
			failed = r.decode.ID
		}
	})
	if failed == "" {
		return nil
	}
	e.recordLoadsAndFailures(h, nil, []upstream.ID{failed})
	refusal := &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Repeat: true, Reason: "the upstream was lost"}
	return e.retry(h, call, []upstream.ID{failed}, refusal)
}

// handleChunk adds a chunk of output to its request. current is false for a
// chunk of an earlier attempt or of a request that has ended, which is dropped.
func (e *Entry) handleChunk(h *table.HeldLocks, chunk contract.Chunk) (effects []pool.Effect, current bool) {
	now := e.clock.Now()
	var from upstream.ID
	var took time.Duration
	done := false
	current = e.updateAttempt(h, chunk.Call, func(r *request) {
		if r.decode == nil {
			return
		}
		from = r.decode.ID
		if chunk.Failure == nil {
			took = r.takeLatency(now)
			done = r.accept(now, chunk)
		}
	})
	switch {
	case from == "":
		return nil, false
	case chunk.Failure != nil:
		e.recordLoadsAndFailures(h, nil, []upstream.ID{from})
		return e.retry(h, chunk.Call, []upstream.ID{from}, chunk.Failure), true
	case took > 0:
		e.recordSuccess(h, from, took)
	}
	if done {
		return e.finish(h, chunk.Call.Request, nil), true
	}
	return nil, current
}

// takeLatency returns the latency of the first answer to what was sent last and
// clears sentAt, so that it returns 0 for the answers after it.
func (r *request) takeLatency(now time.Time) time.Duration {
	if r.sentAt.IsZero() {
		return 0
	}
	took := now.Sub(r.sentAt)
	r.sentAt = time.Time{}
	return took
}

// accept adds output for the caller, without tokens that it already has, and
// reports whether the answer is complete.
func (r *request) accept(now time.Time, chunk contract.Chunk) (done bool) {
	if chunk.Offset > r.next {
		// Tokens are missing: the next poll's ack makes the sidecar send them
		// again.
		return false
	}
	overlap := r.next - chunk.Offset
	if overlap > contract.Tokens(len(chunk.Texts)) {
		return false
	}
	chunk.Texts = chunk.Texts[overlap:]
	chunk.Offset = r.next
	if len(chunk.Texts) == 0 && !chunk.Done {
		return false
	}
	r.state = stateDecoding
	r.imported = true
	r.next += contract.Tokens(len(chunk.Texts))
	r.recordOutput(now)
	if chunk.Done {
		r.usage = chunk.Usage
	}
	r.pending = append(r.pending, chunk)
	r.signal()
	return chunk.Done
}

// recordOutput updates the measurements of the latency targets when output arrives
// from the sidecar.
func (r *request) recordOutput(now time.Time) {
	if r.lastOutputAt.IsZero() {
		r.firstToken = now.Sub(r.Arrived)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastOutputAt))
	}
	r.lastOutputAt = now
}
