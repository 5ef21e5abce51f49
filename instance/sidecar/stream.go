package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/transfer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// errStalled means that the KV cache did not come in time.
var errStalled = errors.New("sidecar: transfer stalled")

// firstStep is the time that an engine may take for the first token after the
// transfer.
const firstStep = 100 * time.Millisecond

// transferWatch ends a call at the engine whose KV cache does not come, while
// the cache still exists and can be sent elsewhere.
type transferWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  clock.Timer
}

// watchTransfer starts to watch a call's transfer; ctx ends when it stalls.
func (s *Sidecar) watchTransfer(ctx context.Context, call contract.CallID) (context.Context, *transferWatch) {
	var expected time.Duration
	s.ledger.With(table.NewHeld(), func(l **engine.Ledger) { expected = (*l).TransferIn(s.clock.Now(), call) })
	ctx, cancel := context.WithCancelCause(ctx)
	limit := transfer.StallAfter(expected) + firstStep
	timer := s.clock.AfterFunc(limit, func() { cancel(errStalled) })
	return ctx, &transferWatch{ctx, cancel, timer}
}

// arrived is told of each piece of output.
func (w *transferWatch) arrived() {
	w.timer.Stop()
}

// stalled reports whether the call was ended for want of its KV cache.
func (w *transferWatch) stalled() bool {
	return context.Cause(w.ctx) == errStalled
}

func (w *transferWatch) end() {
	w.timer.Stop()
	w.cancel(nil)
}

// resumeTries bounds how often a broken stream is resumed at the engine.
const resumeTries = 3

// resumeWait is the time before a broken stream is resumed.
const resumeWait = 50 * time.Millisecond

// stream reads a call's output; a stream that breaks while the engine still
// knows the call is resumed where it broke.
func (s *Sidecar) stream(ctx context.Context, q *peer.DecodeRequest, priority int, fp contract.Fingerprint) error {
	held := table.NewHeld()
	next := q.Offset
	done := false
	pace := &pace{sidecar: s, held: held, call: q.Call, limit: q.MaxTokens}
	ctx, watch := s.watchTransfer(ctx, q.Call)
	defer watch.end()
	emit := func(chunk contract.Chunk) error {
		watch.arrived()
		chunk.Call = q.Call
		pace.took(s.clock.Now(), chunk)
		if fresh, ok := after(chunk, next); ok {
			s.put(held, q.From, fresh)
			next = fresh.Offset + contract.Tokens(len(fresh.Texts))
			done = done || fresh.Done
		}
		return nil
	}
	err := s.engine.Decode(ctx, link.Decode{
		Call:      q.Call,
		Model:     q.Model,
		Handle:    q.Handle,
		MaxTokens: q.MaxTokens,
		Priority:  priority,
		Pseudonym: q.Pseudonym,
		Seed:      q.Seed,
		Offset:    q.Offset,
	}, emit)
	if watch.stalled() {
		return errStalled
	}
	for try := 0; try < resumeTries && errors.Is(err, link.ErrGone) && !done; try++ {
		if !s.broke(ctx, fp, err) {
			return err
		}
		if !clock.Wait(ctx, resumeWait) {
			return context.Cause(ctx)
		}
		err = s.engine.Resume(ctx, q.Call, next, emit)
		if errors.Is(err, link.ErrNotSent) {
			// Only the question was not sent: the call itself ran.
			err = fmt.Errorf("%w: not reached to resume: %v", link.ErrGone, err)
		}
	}
	if err == nil && !done {
		return link.ErrGone
	}
	return err
}

// after cuts what was delivered already from a chunk; ok is false if nothing is
// left of it.
func after(chunk contract.Chunk, next contract.Tokens) (fresh contract.Chunk, ok bool) {
	known := next - chunk.Offset
	if known <= 0 {
		return chunk, true
	}
	if known > contract.Tokens(len(chunk.Texts)) {
		return chunk, false
	}
	chunk.Offset = next
	chunk.Texts = chunk.Texts[known:]
	return chunk, len(chunk.Texts) > 0 || chunk.Done
}
