package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Bounds of what is left to do with claims.
const (
	// maxDuties bounds the rows that wait to be written. Above it a duty is
	// dropped: the witness still knows, and a repeat asks it.
	maxDuties = 4096
	// releaseLooks is how often an absent row is looked at again, since a
	// claim whose answer was lost may still arrive.
	releaseLooks = 5
	// releaseWait is the time between two such looks.
	releaseWait = platform.CallTimeout / 2
	// dutyPause and dutyPauseMax bound the wait before a duty is tried again.
	dutyPause    = 100 * time.Millisecond
	dutyPauseMax = 5 * time.Second
)

// openDuty is one duty on its way.
type openDuty struct {
	claim.Duty
	key     claim.Key
	answer  claim.Record
	looks   int
	failing int
}

// startDuty begins what is left to do with a row.
func (e *Entry) startDuty(run *claimRun, duty claim.Duty) []pool.Effect {
	if duty.Kind == claim.DutyNone {
		return nil
	}
	if e.duties.Add(1) > maxDuties {
		e.duties.Add(-1)
		e.log.Error("claim left as it is: too many wait to be written", "request", duty.Call.Request)
		return nil
	}
	answer := claim.Record{Answer: run.answer, Dropped: run.dropped}
	return []pool.Effect{e.tryDuty(openDuty{Duty: duty, key: run.key, answer: answer})}
}

// tryDuty reads the row and writes what the duty asks for.
func (e *Entry) tryDuty(d openDuty) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, 2*platform.CallTimeout)
		defer cancel()
		row, err := e.claimStore.Read(ctx, d.key)
		if err != nil {
			return e.dutyLater(d.failed())
		}
		to, ok, again := d.Apply(row)
		if !ok {
			return e.dutyDone(d, again)
		}
		result, err := e.claimStore.Write(ctx, d.key, row.Version, row.State, d.record(row, to, e.clock.Now()))
		if result == claim.WriteDone {
			return e.dutyDone(d, false)
		}
		e.log.Warn("claim not settled", "request", d.Call.Request, "error", err)
		return e.dutyLater(d.failed())
	}
	return pool.Effect{Lane: laneClaims, Perform: perform, OnPanic: func(any) pool.Step { return e.dutyDone(d, false) }}
}

// record gives the row's next record.
func (d openDuty) record(row claim.Row, to claim.State, now time.Time) claim.Record {
	if to == claim.StateDone {
		record := claim.Done(row.Record, d.answer.Answer, now)
		record.Dropped = record.Dropped || d.answer.Dropped
		return record
	}
	record := row.Record
	record.State = to
	record.At = now
	return record
}

// failed counts a try that failed.
func (d openDuty) failed() openDuty {
	d.failing++
	return d
}

// dutyLater tries again after a while that doubles with each failure.
func (e *Entry) dutyLater(d openDuty) pool.Step {
	wait := min(dutyPause<<min(d.failing, 10), dutyPauseMax)
	return e.dutyAfter(wait, d)
}

func (e *Entry) dutyAfter(wait time.Duration, d openDuty) pool.Step {
	return func(*table.Held) []pool.Effect {
		e.pool.After(wait, func(*table.Held) []pool.Effect { return []pool.Effect{e.tryDuty(d)} })
		return nil
	}
}

// dutyDone ends a duty, or looks once more for a claim that comes late.
func (e *Entry) dutyDone(d openDuty, again bool) pool.Step {
	d.looks++
	if again && d.looks < releaseLooks {
		return e.dutyAfter(releaseWait, d)
	}
	return func(*table.Held) []pool.Effect {
		e.duties.Add(-1)
		return nil
	}
}

// sweepClaims removes old claims, a batch at a time.
func (e *Entry) sweepClaims(*table.Held) []pool.Effect {
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

// ClaimSweep says how long claims are kept.
type ClaimSweep struct {
	// Keep is how long an outcome is kept for repeats.
	Keep time.Duration
	// Every is the time between two batches; Batch is the most rows in one.
	Every time.Duration
	Batch int
}

// DefaultClaimSweep applies where none is set.
var DefaultClaimSweep = ClaimSweep{Keep: 24 * time.Hour, Every: 10 * time.Second, Batch: 50}
