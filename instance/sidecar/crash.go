package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
)

// suspectRetry is the retry delay of a suspect that was refused because another
// suspect is running.
const suspectRetry = 100 * time.Millisecond

// crashTracker detects crashes of the upstream and holds the requests that are
// suspected of causing them.
type crashTracker struct {
	table    *quarantine.Table
	detector quarantine.CrashDetector
	// failedProbes is the number of consecutive failed probes.
	failedProbes int
}

// recordProbe counts a probe. crashed is set if it shows a crash: a new epoch, or a
// refused connection at the maxFailedProbes-th failure in a row or later. hung is set
// at exactly that failure if the probe timed out; no request is suspected then,
// because the process may be frozen or the machine busy.
func (c *crashTracker) recordProbe(result probeResult) (crashed, hung bool) {
	if result.up {
		c.failedProbes = 0
		return c.detector.RecordResponse(result.epoch), false
	}
	c.failedProbes++
	switch {
	case c.failedProbes < maxFailedProbes:
		return false, false
	case result.refused:
		return c.detector.RecordNoResponse(), false
	default:
		return false, c.failedProbes == maxFailedProbes
	}
}

// down reports whether the upstream must get no work.
func (c *crashTracker) down() bool {
	return c.detector.Down() || c.failedProbes >= maxFailedProbes
}

// learnQuarantine merges the quarantine notes of a message's header into the table.
func (s *Sidecar) learnQuarantine(h *table.HeldLocks, header peer.Header) {
	if len(header.Quarantine) == 0 {
		return
	}
	now := s.clock.Now()
	s.crashTracker.With(h, func(c *crashTracker) { c.table.MergeNotes(now, header.Quarantine) })
}

// quarantineNotes returns the notes to send in the next header.
func (s *Sidecar) quarantineNotes(h *table.HeldLocks) (notes []quarantine.Note) {
	now := s.clock.Now()
	s.crashTracker.With(h, func(c *crashTracker) { notes = c.table.Notes(now) })
	return notes
}

// refuseSuspect refuses a quarantined request, and a suspect while another suspect is
// running here: a crash could then not be attributed to either. Otherwise it returns nil.
func (s *Sidecar) refuseSuspect(h *table.HeldLocks, fp contract.Fingerprint) (refusal *contract.Refusal) {
	now := s.clock.Now()
	suspect := false
	s.crashTracker.With(h, func(c *crashTracker) {
		refusal = c.table.Check(now, fp)
		suspect = c.table.IsSuspect(now, fp)
	})
	if refusal != nil || !suspect {
		return refusal
	}
	var running []engine.Ask
	s.ledger.With(h, func(l **engine.Ledger) { running = (*l).GrantedAsks() })
	s.crashTracker.With(h, func(c *crashTracker) {
		if c.table.ConflictsWith(now, fp, fingerprints(running)) {
			refusal = contract.RefuseRetryable(contract.CodeOverCapacity, suspectRetry, "another request that was present at a crash runs here")
		}
	})
	return refusal
}

func fingerprints(asks []engine.Ask) []contract.Fingerprint {
	list := make([]contract.Fingerprint, 0, len(asks))
	for _, a := range asks {
		list = append(list, a.Fingerprint)
	}
	return list
}

// markSent marks a call as sent, right before it is sent, so that it counts as
// present if the upstream crashes.
func (s *Sidecar) markSent(call contract.CallID) {
	s.ledger.With(table.NewHeldLocks(), func(l **engine.Ledger) { (*l).MarkSent(s.clock.Now(), call) })
}

// clearSuspect clears a request that ran to its end of the crashes at which it was
// present.
func (s *Sidecar) clearSuspect(fp contract.Fingerprint) {
	now := s.clock.Now()
	s.crashTracker.With(table.NewHeldLocks(), func(c *crashTracker) { c.table.RecordCompletion(now, fp) })
}

// handleCallError handles the result of a call, on the goroutine that made it. If
// the connection broke or the call could not be sent, it probes the upstream before
// the failure is reported, so that the entry learns of the suspects before it
// retries them elsewhere. A call that could not be sent is no suspect. alive reports
// that the upstream answers and has not restarted, so it may still know the call;
// it is false if the call was canceled on this side.
func (s *Sidecar) handleCallError(ctx context.Context, fp contract.Fingerprint, err error) (alive bool) {
	if ctx.Err() != nil {
		// The call was canceled on this side, which shows nothing about the upstream.
		return false
	}
	brokeOff := errors.Is(err, link.ErrInterrupted) || errors.Is(err, link.ErrUnknownCall)
	if !brokeOff && !errors.Is(err, link.ErrNotSent) {
		return true
	}
	h := table.NewHeldLocks()
	now := s.clock.Now()
	if brokeOff {
		s.crashTracker.With(h, func(c *crashTracker) { c.detector.RecordBrokenCall(now, fp) })
	}
	result := s.probe(ctx)
	if !result.up {
		s.markDownAfterCallError(h, result.refused)
		return false
	}
	return !s.recordProbe(h, result)
}

// markDownAfterCallError marks an upstream down at once if a call failed and the probe
// after it did too. It counts as crashed only if the probe's connection was refused.
func (s *Sidecar) markDownAfterCallError(h *table.HeldLocks, refused bool) {
	crashed := false
	s.crashTracker.With(h, func(c *crashTracker) {
		c.failedProbes = maxFailedProbes
		crashed = refused && c.detector.RecordNoResponse()
	})
	s.ledger.With(h, func(l **engine.Ledger) { (*l).SetDown(true) })
	if crashed {
		s.recordCrash(h)
		return
	}
	s.cancelSentCalls(h, s.sentCalls(h))
}

// recordCrash marks all calls present at a crash as suspects or quarantined, and
// cancels those that still wait for the engine.
func (s *Sidecar) recordCrash(h *table.HeldLocks) {
	sentCalls := s.sentCalls(h)
	now := s.clock.Now()
	var found []contract.Fingerprint
	present := 0
	s.crashTracker.With(h, func(c *crashTracker) {
		all := c.detector.TakeSuspects(now, fingerprints(sentCalls))
		present = len(all)
		found = c.table.RecordCrash(now, s.id, all)
	})
	s.log.Error("upstream crashed", "upstream", s.id, "requests", present, "quarantined", len(found))
	s.cancelSentCalls(h, sentCalls)
}

// sentCalls returns the calls that have been sent to the upstream and hold a grant.
func (s *Sidecar) sentCalls(h *table.HeldLocks) (sentCalls []engine.Ask) {
	s.ledger.With(h, func(l **engine.Ledger) { sentCalls = (*l).SentAsks() })
	return sentCalls
}

// cancelSentCalls cancels the calls that wait for an engine, so that their entries
// retry them elsewhere. Calls to a service are left to run: they may not be
// repeatable.
func (s *Sidecar) cancelSentCalls(h *table.HeldLocks, sentCalls []engine.Ask) {
	if s.engine == nil {
		return
	}
	for _, a := range sentCalls {
		s.markCanceled(h, a.Call)
	}
}
