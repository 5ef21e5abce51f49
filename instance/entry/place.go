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
	// AskTimeout bounds one call that a sidecar answers at once.
	AskTimeout = time.Second
	// ReserveTimeout bounds one ask for a place: while an availability zone is
	// silent, each ask there costs a request this much of its target.
	ReserveTimeout = 250 * time.Millisecond
	// maxFailures bounds the tries of one request that failed.
	maxFailures = 5
)

// reserve asks likely decode upstreams for a slot, blocks and a window on the
// import link, before any prompt is run.
func (e *Entry) reserve(h *table.Held, id contract.RequestID) []pool.Effect {
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
		return e.noRoom(h, q.Call, route)
	}
	q.Header = e.header(h)
	return []pool.Effect{e.askForPlace(choices, q, route)}
}

// need is what a request asks of upstreams.
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

// prefixBytes of a prompt tell whether an engine's cache may know it: one block.
const prefixBytes = int(upstream.BlockTokens) * contract.BytesPerToken

// prefixOf names the first block of the prompt as engines do; 0 for a prompt
// that fills none.
func prefixOf(r *request) uint64 {
	prompt := r.Generate.Prompt
	if len(prompt) < prefixBytes {
		return 0
	}
	return upstream.PrefixHashes(r.Generate.Model, prompt[:prefixBytes])[0]
}

// reserveRequest is the message of the current attempt.
func (r *request) reserveRequest() peer.ReserveRequest {
	tokens := r.Generate.PromptTokens
	return peer.ReserveRequest{
		Call:         r.call(),
		Account:      r.Account,
		Model:        r.Generate.Model,
		Fingerprint:  r.Fingerprint,
		Blocks:       upstream.BlocksFor(tokens + r.Generate.MaxTokens),
		ImportBlocks: upstream.BlocksFor(tokens),
		Priority:     placement.DecodePriority(r.Route.Targets.BetweenTokens),
	}
}

// chooseDecode gives the decode upstreams to ask.
func (e *Entry) chooseDecode(h *table.Held, now time.Time, need placement.Need) (choices []placement.Choice) {
	e.board.With(h, func(b **placement.Board) { choices = (*b).Decode(now, need) })
	return choices
}

// noRoom puts a request back into its queue.
func (e *Entry) noRoom(h *table.Held, call contract.CallID, route contract.RouteName) []pool.Effect {
	e.reservingDone(h, route, true)
	// Upstreams that failed this request are better than none.
	if !e.updateCall(h, call, func(r *request) { r.excluded = nil }) {
		return nil
	}
	return e.enqueue(h, call.Request)
}

// asked is what asking for a place led to.
type asked struct {
	call    contract.CallID
	route   contract.RouteName
	choice  *placement.Choice
	reply   *peer.ReserveReply
	loads   []upstream.Load
	failed  []upstream.ID
	unclear []heldWork
}

// askForPlace takes the first grant of the choices.
func (e *Entry) askForPlace(choices []placement.Choice, q peer.ReserveRequest, route contract.RouteName) pool.Effect {
	result := asked{call: q.Call, route: route}
	perform := func(ctx context.Context) pool.Step {
		for i := range choices {
			if e.askOne(ctx, &choices[i], &q, &result) {
				break
			}
		}
		return e.placed(result)
	}
	return pool.Effect{
		Lane:    laneReserve,
		Perform: perform,
		OnPanic: func(any) pool.Step { return e.placed(result) },
	}
}

// askOne asks one sidecar and reports whether it granted a place.
func (e *Entry) askOne(ctx context.Context, choice *placement.Choice, q *peer.ReserveRequest, result *asked) bool {
	ctx, cancel := context.WithTimeout(ctx, ReserveTimeout)
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

// placed goes on with a grant, or puts the request back.
func (e *Entry) placed(result asked) pool.Step {
	return func(h *table.Held) []pool.Effect {
		e.observe(h, result.loads, result.failed)
		effects := e.releaseWork(h, result.unclear, true)
		if result.choice == nil {
			return append(effects, e.noRoom(h, result.call, result.route)...)
		}
		e.reservingDone(h, result.route, false)
		var start *peer.DecodeRequest
		now := e.clock.Now()
		kept := e.updateCall(h, result.call, func(r *request) {
			r.decode = result.choice
			r.state = statePrefilling
			if r.handle.ID != "" {
				start = r.startDecode(now)
			}
		})
		if !kept {
			// The caller left while its place was asked for.
			work := []heldWork{{result.choice.Addr, result.call}}
			return append(effects, e.releaseWork(h, work, true)...)
		}
		effects = append(effects, e.track(h, result.choice.Addr, result.call)...)
		if start != nil {
			start.Header = e.header(h)
			effects = append(effects, e.decodeAt(*result.choice, start))
		} else {
			effects = append(effects, e.startPrefill(h, result.call, result.reply.WindowIn)...)
		}
		return append(effects, e.dispatch(h, result.route)...)
	}
}

// observe tells the board what replies said of upstreams and who failed.
func (e *Entry) observe(h *table.Held, loads []upstream.Load, failed []upstream.ID) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) {
		for _, load := range loads {
			(*b).Observe(now, load)
		}
		for _, id := range failed {
			(*b).Failed(now, id)
		}
	})
}

// releaseWork frees what calls hold. Work that ended well is only no longer
// renewed; cancel tells the sidecar to free the rest at once.
func (e *Entry) releaseWork(h *table.Held, work []heldWork, cancel bool) (effects []pool.Effect) {
	header := e.header(h)
	for _, w := range work {
		e.untrack(h, w.addr, w.call)
		if cancel {
			effects = append(effects, e.cancelAt(w, header))
		}
	}
	return effects
}

// cancelAt tells a sidecar to free a call. If it does not hear, the lease of the
// grant frees it.
func (e *Entry) cancelAt(w heldWork, header peer.Header) pool.Effect {
	return pool.Effect{Lane: laneCancel, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, AskTimeout)
		defer cancel()
		q := &peer.CancelRequest{Header: header, Calls: []contract.CallID{w.call}}
		reply, err := e.peers.Sidecar(w.addr).Cancel(ctx, q)
		if err != nil {
			e.log.Warn("cancel failed", "request", w.call.Request, "error", err)
			return nil
		}
		return func(h *table.Held) []pool.Effect {
			e.observe(h, []upstream.Load{reply.Load}, nil)
			return nil
		}
	}}
}
