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

// Times of polling.
const (
	// PollWait is the longest time that a sidecar holds a poll; a fraction of
	// the lease, because polls renew it.
	PollWait = 250 * time.Millisecond
	// PollTimeout bounds one poll.
	PollTimeout = PollWait + 500*time.Millisecond
	// PollRetry is the wait after a poll that failed.
	PollRetry = 50 * time.Millisecond
	// maxPollFailures in a row mean that the sidecar is gone.
	maxPollFailures = 3
)

// poller is the one poll of a pair of entry and sidecar. It renews the grants of
// all calls there and carries all their output.
type poller struct {
	calls    map[contract.CallID]bool
	active   bool
	failures int
}

// track adds a call to its sidecar's poll and starts the poll if none runs.
func (e *Entry) track(h *table.Held, addr string, call contract.CallID) []pool.Effect {
	start := false
	e.pollers.With(h, func(pollers *map[string]*poller) {
		p, there := (*pollers)[addr]
		if !there {
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

// untrack takes a call out of its sidecar's poll: its grant is not renewed.
func (e *Entry) untrack(h *table.Held, addr string, call contract.CallID) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if p, there := (*pollers)[addr]; there {
			delete(p.calls, call)
		}
	})
}

// tracked lists the calls of a sidecar's poll.
func (e *Entry) tracked(h *table.Held, addr string) (calls []contract.CallID) {
	e.pollers.With(h, func(pollers *map[string]*poller) {
		if p, there := (*pollers)[addr]; there {
			for call := range p.calls {
				calls = append(calls, call)
			}
		}
	})
	return calls
}

// acks says up to where the output of calls has come.
func (e *Entry) acks(h *table.Held, calls []contract.CallID) []peer.Ack {
	acks := make([]peer.Ack, 0, len(calls))
	for _, call := range calls {
		e.updateCall(h, call, func(r *request) {
			acks = append(acks, peer.Ack{Call: call, Next: r.next})
		})
	}
	return acks
}

// poll asks one sidecar for output.
func (e *Entry) poll(addr string, acks []peer.Ack, header peer.Header, wait time.Duration) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, PollTimeout)
		defer cancel()
		q := &peer.PollRequest{Header: header, Calls: acks, Wait: wait}
		reply, err := e.peers.Sidecar(addr).Poll(ctx, q)
		if err != nil {
			e.log.Warn("poll failed", "sidecar", addr, "error", err)
			return func(h *table.Held) []pool.Effect { return e.pollFailed(h, addr) }
		}
		return func(h *table.Held) []pool.Effect { return e.polled(h, addr, reply) }
	}
	return pool.Effect{Lane: lanePoll, Perform: perform}
}

// polled hands output to its requests and polls again while there are calls.
func (e *Entry) polled(h *table.Held, addr string, reply *peer.PollReply) (effects []pool.Effect) {
	e.observe(h, []upstream.Load{reply.Load}, nil)
	useful := false
	for _, chunk := range reply.Chunks {
		more, current := e.generated(h, chunk)
		effects = append(effects, more...)
		useful = useful || current
	}
	for _, call := range reply.Lost {
		effects = append(effects, e.lost(h, addr, call)...)
	}
	e.pollers.With(h, func(pollers *map[string]*poller) { (*pollers)[addr].failures = 0 })
	if !useful && len(reply.Lost)+len(reply.Chunks) > 0 {
		// The sidecar answers at once while it does not know a call that is on
		// its way, or has output that nobody here waits for: asking again at
		// once would spin.
		e.pollLater(addr)
		return effects
	}
	return append(effects, e.pollAgain(h, addr, useful)...)
}

// pollLater polls again after PollRetry.
func (e *Entry) pollLater(addr string) {
	e.pool.After(PollRetry, func(h *table.Held) []pool.Effect { return e.pollAgain(h, addr, false) })
}

// pollAgain starts the next poll. Without calls, one last poll says that their
// output has come.
func (e *Entry) pollAgain(h *table.Held, addr string, last bool) []pool.Effect {
	calls := e.tracked(h, addr)
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

// pollFailed polls again after a while; a sidecar that stays silent has lost the
// calls it had.
func (e *Entry) pollFailed(h *table.Held, addr string) (effects []pool.Effect) {
	gone := false
	e.failedAt(h, addr)
	e.pollers.With(h, func(pollers *map[string]*poller) {
		p := (*pollers)[addr]
		p.failures++
		gone = p.failures >= maxPollFailures
	})
	if gone {
		for _, call := range e.tracked(h, addr) {
			effects = append(effects, e.lost(h, addr, call)...)
			e.stopWaiting(h, addr, call)
			e.untrack(h, addr, call)
		}
	}
	e.pollLater(addr)
	return effects
}

// failedAt tells the board that the sidecar at an address did not answer.
func (e *Entry) failedAt(h *table.Held, addr string) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).FailedAt(now, addr) })
}

// waits notes how to end the wait for the answer to what an attempt has sent to a
// sidecar. If the sidecar was found silent meanwhile, the wait ends at once.
func (e *Entry) waits(call contract.CallID, addr string, stop context.CancelFunc) {
	e.updateCall(table.NewHeld(), call, func(r *request) {
		r.stop = stop
		if r.silent == addr {
			stop()
		}
	})
}

// stopWaiting ends the wait for an answer from a sidecar that stays silent, which
// may be cut off without its connection having broken.
func (e *Entry) stopWaiting(h *table.Held, addr string, call contract.CallID) {
	e.updateCall(h, call, func(r *request) {
		prefills := r.prefill != nil && r.prefill.Addr == addr
		calls := r.calling != nil && r.calling.Addr == addr
		if !prefills && !calls {
			return
		}
		r.silent = addr
		if r.stop != nil {
			r.stop()
			r.stop = nil
		}
	})
}

// lost moves a call that its sidecar does not know to another upstream. Prefills
// are not moved here: their own reply tells.
func (e *Entry) lost(h *table.Held, addr string, call contract.CallID) []pool.Effect {
	var failed upstream.ID
	e.updateCall(h, call, func(r *request) {
		if r.decode != nil && r.decode.Addr == addr && r.state == stateDecoding {
			failed = r.decode.ID
		}
	})
	if failed == "" {
		return nil
	}
	e.observe(h, nil, []upstream.ID{failed})
	refusal := &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Repeat: true, Reason: "the upstream was lost"}
	return e.retry(h, call, []upstream.ID{failed}, refusal)
}

// generated gives a piece of output to its request. A piece of an earlier
// attempt, or one that came already, goes nowhere; current is false then.
func (e *Entry) generated(h *table.Held, chunk contract.Chunk) (effects []pool.Effect, current bool) {
	now := e.clock.Now()
	var from upstream.ID
	var took time.Duration
	done := false
	current = e.updateCall(h, chunk.Call, func(r *request) {
		if r.decode == nil {
			return
		}
		from = r.decode.ID
		if chunk.Failure == nil {
			took = r.sinceSent(now)
			done = r.accept(now, chunk)
		}
	})
	switch {
	case from == "":
		return nil, false
	case chunk.Failure != nil:
		e.observe(h, nil, []upstream.ID{from})
		return e.retry(h, chunk.Call, []upstream.ID{from}, chunk.Failure), true
	case took > 0:
		e.succeeded(h, from, took)
	}
	if done {
		return e.finish(h, chunk.Call.Request, nil), true
	}
	return nil, current
}

// sinceSent gives how long the first answer to what was sent last took; 0 for
// the answers after it.
func (r *request) sinceSent(now time.Time) time.Duration {
	if r.sent.IsZero() {
		return 0
	}
	took := now.Sub(r.sent)
	r.sent = time.Time{}
	return took
}

// accept adds output for the caller and reports whether it is whole now.
func (r *request) accept(now time.Time, chunk contract.Chunk) (done bool) {
	if chunk.Offset > r.next {
		// A gap: the next poll asks for it again.
		return false
	}
	known := r.next - chunk.Offset
	if known > contract.Tokens(len(chunk.Texts)) {
		return false
	}
	chunk.Texts = chunk.Texts[known:]
	chunk.Offset = r.next
	if len(chunk.Texts) == 0 && !chunk.Done {
		return false
	}
	r.state = stateDecoding
	r.imported = true
	r.next += contract.Tokens(len(chunk.Texts))
	r.time(now)
	if chunk.Done {
		r.usage = chunk.Usage
	}
	r.pending = append(r.pending, chunk)
	r.signal()
	return chunk.Done
}

// time takes the figures of the latency targets.
func (r *request) time(now time.Time) {
	if r.lastDelivery.IsZero() {
		r.firstToken = now.Sub(r.Arrived)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastDelivery))
	}
	r.lastDelivery = now
}
