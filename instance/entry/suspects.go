package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
)

// heardNotes takes in what a message tells of requests that crash upstreams.
func (e *Entry) heardNotes(h *table.Held, head *peer.Header) {
	if len(head.Quarantine) == 0 {
		return
	}
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { (*q).Learn(now, head.Quarantine) })
}

// notes are the news about requests that crash upstreams.
func (e *Entry) notes(h *table.Held) (notes []quarantine.Note) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { notes = (*q).Notes(now) })
	return notes
}

// quarantined refuses a request that crashes upstreams.
func (e *Entry) quarantined(h *table.Held, fp contract.Fingerprint) (refusal *contract.Refusal) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { refusal = (*q).Check(now, fp) })
	return refusal
}

// excuse notes that a request ran to its end, so it crashed nothing.
func (e *Entry) excuse(h *table.Held, fp contract.Fingerprint) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { (*q).Finished(now, fp) })
}

// firstAttempt earns the part of a retry that each request allows.
func (e *Entry) firstAttempt(h *table.Held) {
	e.retries.With(h, func(b **retry.Budget) { (*b).First() })
}

// stopRetry says why an attempt that ended in a refusal must not be followed by
// another: the request is quarantined, or the budget of retries is used up. An
// upstream that only had no room did no work, so asking another is no retry.
func (e *Entry) stopRetry(h *table.Held, fp contract.Fingerprint, refusal *contract.Refusal, repeatable bool) *contract.Refusal {
	if stop := e.quarantined(h, fp); stop != nil {
		stop.Ran = refusal.Ran
		return stop
	}
	if refusal.Ran == contract.RanNo && noRoomAt(refusal.Code) {
		return nil
	}
	now := e.clock.Now()
	allowed := false
	e.retries.With(h, func(b **retry.Budget) { allowed = (*b).Allow(now, refusal, repeatable) })
	if !allowed {
		return refusal
	}
	return nil
}

// noRoomAt reports whether a code says that an upstream took nothing.
func noRoomAt(code contract.Code) bool {
	switch code {
	case contract.CodeOverCapacity, contract.CodeDraining, contract.CodeStaleGrant:
		return true
	default:
		return false
	}
}

// succeeded tells the board that an upstream answered, and how long it took.
func (e *Entry) succeeded(h *table.Held, id upstream.ID, took time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).Succeeded(now, id, took) })
}
