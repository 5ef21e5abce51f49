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

// learnQuarantine adds the quarantine notes of a message to the table of
// suspects.
func (e *Entry) learnQuarantine(h *table.HeldLocks, head *peer.Header) {
	if len(head.Quarantine) == 0 {
		return
	}
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { (*q).MergeNotes(now, head.Quarantine) })
}

// quarantineNotes returns the notes on requests that crash upstreams, for a
// header.
func (e *Entry) quarantineNotes(h *table.HeldLocks) (notes []quarantine.Note) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { notes = (*q).Notes(now) })
	return notes
}

// quarantined returns a refusal for a request that crashes upstreams; nil if it
// is not quarantined.
func (e *Entry) quarantined(h *table.HeldLocks, fp contract.Fingerprint) (refusal *contract.Refusal) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { refusal = (*q).Check(now, fp) })
	return refusal
}

// clearSuspect records that a request was completed, so it did not crash its
// upstream.
func (e *Entry) clearSuspect(h *table.HeldLocks, fp contract.Fingerprint) {
	now := e.clock.Now()
	e.suspects.With(h, func(q **quarantine.Table) { (*q).RecordCompletion(now, fp) })
}

// creditRetryBudget adds the share of a retry that each new request earns.
func (e *Entry) creditRetryBudget(h *table.HeldLocks) {
	e.retries.With(h, func(b **retry.Budget) { (*b).RecordFirstAttempt() })
}

// checkRetry returns nil if a refused attempt may be retried, and otherwise the
// refusal that ends the request: it is quarantined, or the retry budget is used
// up. An upstream without capacity did no work, so asking another one does not
// count as a retry.
func (e *Entry) checkRetry(h *table.HeldLocks, fp contract.Fingerprint, refusal *contract.Refusal, repeatable bool) *contract.Refusal {
	if stop := e.quarantined(h, fp); stop != nil {
		stop.Ran = refusal.Ran
		return stop
	}
	if refusal.Ran == contract.RanNo && meansNoWork(refusal.Code) {
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

// meansNoWork reports whether a code means that the upstream did no work: it had no
// capacity, was draining or refused the grant as stale.
func meansNoWork(code contract.Code) bool {
	switch code {
	case contract.CodeOverCapacity, contract.CodeDraining, contract.CodeStaleGrant:
		return true
	default:
		return false
	}
}

// recordSuccess records on the board that an upstream answered, and its latency.
func (e *Entry) recordSuccess(h *table.HeldLocks, id upstream.ID, took time.Duration) {
	now := e.clock.Now()
	e.board.With(h, func(b **placement.Board) { (*b).RecordSuccess(now, id, took) })
}
