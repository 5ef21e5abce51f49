package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// Times and bounds of placement.
const (
	// CallTimeout bounds a call that a sidecar answers without waiting.
	CallTimeout = time.Second
	// ReserveTimeout bounds one call for a reservation. While an availability
	// zone does not answer, each call there costs a request this much of its
	// latency target.
	ReserveTimeout = 250 * time.Millisecond
	// MaxReserveTimeout bounds the timeout of a call for the grant of a non-repeatable
	// attempt, which doubles with each round in which no sidecar granted it. It is
	// below claim.GrantLease, so that a grant is still valid when its answer arrives.
	MaxReserveTimeout = time.Second
	// maxFailures bounds the failed attempts of one request.
	maxFailures = 5
)

// reserve starts the next attempt: it asks the decode upstreams that placement
// chooses for a slot, blocks and a window on the import link, before the prompt
// is run. A policy that does not reserve first starts with the prefill.
func (e *Entry) reserve(h *table.HeldLocks, id contract.RequestID) []pool.Effect {
	now := e.clock.Now()
	var q peer.ReserveRequest
	var need placement.Need
	var route contract.RouteName
	ready := false
	found := e.update(h, id, func(r *request) {
		r.state = stateReserving
		r.attempt++
		ready = r.usableHandle(now)
		route = r.Route.Name
		need = r.need(now)
		q = r.reserveRequest()
	})
	if !found {
		return nil
	}
	if !ready && !e.reservesFirst(h) {
		return e.prefillFirst(h, q.Call, route)
	}
	if !ready {
		q.ReadyIn = e.prefillIn(h, need)
	}
	choices := e.chooseDecode(h, now, need)
	if len(choices) == 0 {
		return e.requeue(h, q.Call, route)
	}
	q.Header = e.header(h)
	return []pool.Effect{e.requestReservation(choices, q, route)}
}

// need returns what the request requires of an upstream.
func (r *request) need(now time.Time) placement.Need {
	tokens := r.Generate.PromptTokens
	return placement.Need{
		Model:   r.Generate.Model,
		Tokens:  tokens,
		Blocks:  upstream.BlocksFor(tokens + r.Generate.MaxTokens),
		Prefix:  prefixOf(r),
		Exclude: slices.Clone(r.excluded),
		Slack:   r.slack(now),
	}
}

// prefixBytes is the length of the prompt's first block, by which a prefix
// cache hit is predicted.
const prefixBytes = int(upstream.BlockTokens) * contract.BytesPerToken

// prefixOf returns the engines' hash of the first block of the prompt; 0 for a
// prompt shorter than one block.
func prefixOf(r *request) uint64 {
	prompt := r.Generate.Prompt
	if len(prompt) < prefixBytes {
		return 0
	}
	return upstream.PrefixHashes(r.Generate.Model, prompt[:prefixBytes])[0]
}

// reserveRequest returns the message of the current attempt, without its header.
func (r *request) reserveRequest() peer.ReserveRequest {
	tokens := r.Generate.PromptTokens
	return peer.ReserveRequest{
		Call:         r.attemptID(),
		Account:      r.Account,
		Model:        r.Generate.Model,
		Fingerprint:  r.Fingerprint,
		Blocks:       upstream.BlocksFor(tokens + r.Generate.MaxTokens),
		ImportBlocks: upstream.BlocksFor(tokens),
		Priority:     placement.DecodePriority(r.Route.Targets.BetweenTokens),
	}
}

// chooseDecode returns the decode upstreams to ask, best first.
func (e *Entry) chooseDecode(h *table.HeldLocks, now time.Time, need placement.Need) (choices []placement.Choice) {
	e.board.With(h, func(b **placement.Board) { choices = (*b).ChooseDecode(now, need) })
	return choices
}

// requeue puts a request for which no upstream had capacity back into its queue.
func (e *Entry) requeue(h *table.HeldLocks, call contract.CallID, route contract.RouteName) []pool.Effect {
	e.endReserving(h, route, true)
	// Allow the upstreams that failed this request again: no other has capacity.
	if !e.updateAttempt(h, call, func(r *request) { r.excluded = nil }) {
		return nil
	}
	return e.enqueue(h, call.Request)
}

// reservationResult is the outcome of asking sidecars for a reservation. choice
// and reply are nil if none granted it; unclear are calls that may have been
// granted although no answer came.
type reservationResult struct {
	call    contract.CallID
	route   contract.RouteName
	choice  *placement.Choice
	reply   *peer.ReserveReply
	loads   []upstream.Load
	failed  []upstream.ID
	unclear []heldWork
}

// requestReservation returns the effect that asks the choices in order until one
// grants a reservation.
func (e *Entry) requestReservation(choices []placement.Choice, q peer.ReserveRequest, route contract.RouteName) pool.Effect {
	result := reservationResult{call: q.Call, route: route}
	perform := func(ctx context.Context) pool.Step {
		for i := range choices {
			if e.reserveAt(ctx, &choices[i], &q, ReserveTimeout, &result) {
				break
			}
		}
		return e.handleReservation(result)
	}
	return pool.Effect{
		Lane:    laneReserve,
		Perform: perform,
		OnPanic: func(any) pool.Step { return e.handleReservation(result) },
	}
}

// reserveAt asks one sidecar and reports whether it granted the reservation.
func (e *Entry) reserveAt(ctx context.Context, choice *placement.Choice, q *peer.ReserveRequest, timeout time.Duration, result *reservationResult) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := e.peers.Sidecar(choice.Addr).Reserve(ctx, q)
	if err != nil {
		result.failed = append(result.failed, choice.ID)
		if !errors.Is(err, peer.ErrNotSent) {
			result.unclear = append(result.unclear, heldWork{choice.Addr, q.Call})
		}
		e.log.Warn("reserve failed", "request", q.Call.Request, "upstream", choice.ID, "error", err)
		return false
	}
	result.loads = append(result.loads, reply.Load)
	if reply.Refusal != nil {
		return false
	}
	result.choice = choice
	result.reply = reply
	return true
}

// handleReservation returns the step that starts the prefill or the decode
// after a grant, or puts the request back into its queue.
func (e *Entry) handleReservation(result reservationResult) pool.Step {
	return func(h *table.HeldLocks) []pool.Effect {
		e.recordLoadsAndFailures(h, result.loads, result.failed)
		effects := e.releaseWork(h, result.unclear, true)
		if result.choice == nil {
			return append(effects, e.requeue(h, result.call, result.route)...)
		}
		e.endReserving(h, result.route, false)
		var start *peer.DecodeRequest
		now := e.clock.Now()
		kept := e.updateAttempt(h, result.call, func(r *request) {
			r.decode = result.choice
			r.state = statePrefilling
			if r.handle.ID != "" {
				start = r.startDecode(now)
			}
		})
		if !kept {
			// The request ended while the reservation was requested.
			work := []heldWork{{result.choice.Addr, result.call}}
			return append(effects, e.releaseWork(h, work, true)...)
		}
		effects = append(effects, e.track(h, result.choice.Addr, result.call)...)
		if start != nil {
			start.Header = e.header(h)
			effects = append(effects, e.sendDecode(*result.choice, start))
		} else {
			effects = append(effects, e.startPrefill(h, result.call, result.reply.WindowIn)...)
		}
		return append(effects, e.dispatch(h, result.route)...)
	}
}

// recordLoadsAndFailures updates the board with the loads of replies and with the
// upstreams that failed.
func (e *Entry) recordLoadsAndFailures(h *table.HeldLocks, loads []upstream.Load, failed []upstream.ID) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) {
		for _, load := range loads {
			(*b).Observe(now, load)
		}
		for _, id := range failed {
			(*b).RecordFailure(now, id)
		}
	})
}

// releaseWork stops renewing the grants of calls. With cancel it also sends a
// cancel, which frees the work at once; work that ended successfully does not
// need it.
func (e *Entry) releaseWork(h *table.HeldLocks, work []heldWork, cancel bool) (effects []pool.Effect) {
	header := e.header(h)
	for _, w := range work {
		e.untrack(h, w.addr, w.call)
		if cancel {
			effects = append(effects, e.cancelAt(w, header))
		}
	}
	return effects
}

// cancelAt returns the effect that cancels work at a sidecar. If the call is
// lost, the work is freed when the lease of its grant expires.
func (e *Entry) cancelAt(w heldWork, header peer.Header) pool.Effect {
	return pool.Effect{Lane: laneCancel, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		q := &peer.CancelRequest{Header: header, Calls: []contract.CallID{w.call}}
		reply, err := e.peers.Sidecar(w.addr).Cancel(ctx, q)
		if err != nil {
			e.log.Warn("cancel failed", "request", w.call.Request, "error", err)
			return nil
		}
		return func(h *table.HeldLocks) []pool.Effect {
			e.recordLoadsAndFailures(h, []upstream.Load{reply.Load}, nil)
			return nil
		}
	}}
}
