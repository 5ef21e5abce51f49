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

// errStalled means that the first output, and so the KV cache, is overdue.
var errStalled = errors.New("sidecar: transfer stalled")

// firstTokenAllowance is the time that an engine may take for the first token after
// the KV transfer.
const firstTokenAllowance = 100 * time.Millisecond

// transferWatch cancels a call whose KV cache does not arrive at the engine, early
// enough that the cache still exists and can be sent to another engine.
type transferWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  clock.Timer
}

// watchTransfer starts the stall timer of a call. The returned context ends with
// errStalled when it fires. The caller must call stop.
func (s *Sidecar) watchTransfer(ctx context.Context, call contract.CallID) (context.Context, *transferWatch) {
	var expected time.Duration
	s.ledger.With(table.NewHeldLocks(), func(l **engine.Ledger) { expected = (*l).ExpectedTransferTime(s.clock.Now(), call) })
	ctx, cancel := context.WithCancelCause(ctx)
	limit := transfer.StallAfter(expected) + firstTokenAllowance
	timer := s.clock.AfterFunc(limit, func() { cancel(errStalled) })
	return ctx, &transferWatch{ctx, cancel, timer}
}

// outputStarted stops the timer: output shows that the KV cache has arrived. It may
// be called repeatedly.
func (w *transferWatch) outputStarted() {
	w.timer.Stop()
}

// stalled reports whether the timer has canceled the call.
func (w *transferWatch) stalled() bool {
	return context.Cause(w.ctx) == errStalled
}

func (w *transferWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// maxResumes is the number of attempts to resume a call's broken stream.
const maxResumes = 3

// resumeBackoff is the delay before each attempt to resume a broken stream.
const resumeBackoff = 50 * time.Millisecond

// runDecode reads a call's output into the entry's outbox. If the stream breaks while
// the engine is still running the call, it resumes at the first missing token. It
// returns errStalled if the KV cache does not arrive in time.
func (s *Sidecar) runDecode(ctx context.Context, q *peer.DecodeRequest, priority int, fp contract.Fingerprint) error {
	held := table.NewHeldLocks()
	next := q.Offset
	done := false
	progress := &progress{sidecar: s, held: held, call: q.Call, limit: q.MaxTokens}
	ctx, watch := s.watchTransfer(ctx, q.Call)
	defer watch.stop()
	emit := func(chunk contract.Chunk) error {
		watch.outputStarted()
		chunk.Call = q.Call
		progress.observe(s.clock.Now(), chunk)
		if fresh, ok := trimDelivered(chunk, next); ok {
			s.appendOutput(held, q.From, fresh)
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
	for try := 0; try < maxResumes && errors.Is(err, link.ErrInterrupted) && !done; try++ {
		if !s.handleCallError(ctx, fp, err) {
			return err
		}
		if !clock.Wait(ctx, resumeBackoff) {
			return context.Cause(ctx)
		}
		err = s.engine.Resume(ctx, q.Call, next, emit)
		if errors.Is(err, link.ErrNotSent) {
			// Only the resume request was not sent. The call itself has run, so
			// the error must not count as ErrNotSent.
			err = fmt.Errorf("%w: resume request not sent: %v", link.ErrInterrupted, err)
		}
	}
	if err == nil && !done {
		return link.ErrInterrupted
	}
	return err
}

// trimDelivered removes the tokens before next from a chunk. ok is false if nothing
// is left, that is neither tokens nor the end of the output.
func trimDelivered(chunk contract.Chunk, next contract.Tokens) (fresh contract.Chunk, ok bool) {
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
