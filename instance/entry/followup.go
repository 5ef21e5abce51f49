package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Limits of follow-ups, the writes to a claim that remain when its request is
// over.
const (
	// maxFollowUps bounds the unfinished follow-ups. Above it, a follow-up is
	// dropped: the witness still has the outcome, and a repeat asks it.
	maxFollowUps = 4096
	// maxReleaseReads bounds the reads of an absent row. It is read again because
	// a claim write whose answer was lost may still arrive.
	maxReleaseReads = 5
	// releaseReadDelay is the time between two such reads.
	releaseReadDelay = platform.CallTimeout / 2
	// followUpBackoff is the first wait before a failed follow-up is retried,
	// followUpBackoffMax the longest.
	followUpBackoff    = 100 * time.Millisecond
	followUpBackoffMax = 5 * time.Second
)

// followUp is one unfinished write to a claim.
type followUp struct {
	claim.FollowUp
	key      claim.Key
	answer   claim.Record
	reads    int
	failures int
}

// startFollowUp starts a follow-up of a claim.
func (e *Entry) startFollowUp(run *claimRun, pending claim.FollowUp) []pool.Effect {
	if pending.Kind == claim.FollowUpNone {
		return nil
	}
	if e.openFollowUps.Add(1) > maxFollowUps {
		e.openFollowUps.Add(-1)
		e.log.Error("claim not updated: too many pending claim writes", "request", pending.Call.Request)
		return nil
	}
	answer := claim.Record{Answer: run.answer, Dropped: run.dropped}
	return []pool.Effect{e.tryFollowUp(followUp{FollowUp: pending, key: run.key, answer: answer})}
}

// tryFollowUp reads the row and writes its next state.
func (e *Entry) tryFollowUp(d followUp) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, 2*platform.CallTimeout)
		defer cancel()
		row, err := e.claimStore.Read(ctx, d.key)
		if err != nil {
			return e.retryFollowUp(d.withFailure())
		}
		to, ok, again := d.Apply(row)
		if !ok {
			return e.endFollowUp(d, again)
		}
		result, err := e.claimStore.Write(ctx, d.key, row.Version, row.State, d.record(row, to, e.clock.Now()))
		if result == claim.WriteDone {
			return e.endFollowUp(d, false)
		}
		e.log.Warn("claim not updated", "request", d.Call.Request, "error", err)
		return e.retryFollowUp(d.withFailure())
	}
	return pool.Effect{Lane: laneClaims, Perform: perform, OnPanic: func(any) pool.Step { return e.endFollowUp(d, false) }}
}

// record returns the record to write for the state to.
func (d followUp) record(row claim.Row, to claim.State, now time.Time) claim.Record {
	if to == claim.StateDone {
		record := claim.NewDoneRecord(row.Record, d.answer.Answer, now)
		record.Dropped = record.Dropped || d.answer.Dropped
		return record
	}
	record := row.Record
	record.State = to
	record.At = now
	return record
}

// withFailure returns a copy with one more failure.
func (d followUp) withFailure() followUp {
	d.failures++
	return d
}

// retryFollowUp tries again after a backoff that doubles with each failure.
func (e *Entry) retryFollowUp(d followUp) pool.Step {
	wait := min(followUpBackoff<<min(d.failures, 10), followUpBackoffMax)
	return e.followUpAfter(wait, d)
}

func (e *Entry) followUpAfter(wait time.Duration, d followUp) pool.Step {
	return func(*table.HeldLocks) []pool.Effect {
		e.pool.After(wait, func(*table.HeldLocks) []pool.Effect { return []pool.Effect{e.tryFollowUp(d)} })
		return nil
	}
}

// endFollowUp ends a follow-up, or reads the row again for a claim that arrives
// late.
func (e *Entry) endFollowUp(d followUp, again bool) pool.Step {
	d.reads++
	if again && d.reads < maxReleaseReads {
		return e.followUpAfter(releaseReadDelay, d)
	}
	return func(*table.HeldLocks) []pool.Effect {
		e.openFollowUps.Add(-1)
		return nil
	}
}

// sweepClaims removes one batch of old claims and schedules the next sweep.
func (e *Entry) sweepClaims(*table.HeldLocks) []pool.Effect {
	e.pool.After(e.claimSweep.Every, e.sweepClaims)
	after := e.sweepFrom.Load().(string)
	before := e.clock.Now().Add(-e.claimSweep.Keep)
	return []pool.Effect{{Lane: laneClaims, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, 2*platform.CallTimeout)
		defer cancel()
		next, removed, err := e.claimStore.Sweep(ctx, after, e.claimSweep.Batch, before)
		if err != nil {
			e.log.Warn("old claims not swept", "error", err)
		}
		if removed > 0 {
			e.log.Debug("old claims swept", "removed", removed)
		}
		e.sweepFrom.Store(next)
		return nil
	}}}
}

// ClaimSweep configures the retention of claims.
type ClaimSweep struct {
	// Keep is how long an outcome stays available to repeats.
	Keep time.Duration
	// Every is the time between two batches; Batch is the most rows in one.
	Every time.Duration
	Batch int
}

// DefaultClaimSweep applies if Options.ClaimSweep is zero.
var DefaultClaimSweep = ClaimSweep{Keep: 24 * time.Hour, Every: 10 * time.Second, Batch: 50}
