package entry

import (
	"context"
	"errors"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// claimWrite writes the claim of an attempt.
func (e *Entry) claimWrite(id contract.RequestID, run *claimRun, a claim.Action) pool.Effect {
	record := claim.Record{
		State:   claim.StateClaimed,
		Body:    run.body,
		Call:    a.Call,
		Witness: a.Witness,
		At:      e.clock.Now(),
	}
	from := claim.StateAbsent
	if a.Version != 0 {
		from = claim.StateClaimed
	}
	return e.claimCall(id, func(ctx context.Context) func(run *claimRun) claim.Action {
		result, err := e.writeClaim(ctx, run.key, a.Version, from, record)
		if err != nil {
			e.log.Warn("claim not written", "request", id, "attempt", a.Call.Attempt, "error", err)
		}
		return func(run *claimRun) claim.Action { return run.machine.Wrote(result) }
	})
}

// throttledTries bounds how often a claim is written again that the table had no
// rate left for.
const throttledTries = 5

// writeClaim writes a claim, with pauses while the table is over its rate. It
// runs outside of the workers.
func (e *Entry) writeClaim(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (result claim.WriteResult, err error) {
	for try := range throttledTries {
		result, err = e.claimStore.Write(ctx, key, version, from, record)
		if !errors.Is(err, platform.ErrThrottled) || !clock.Wait(ctx, claim.Pause(try)) {
			break
		}
	}
	return result, err
}

// claimRead reads the claim as it stands.
func (e *Entry) claimRead(id contract.RequestID, key claim.Key) pool.Effect {
	return e.claimCall(id, func(ctx context.Context) func(run *claimRun) claim.Action {
		row, err := e.claimStore.Read(ctx, key)
		if err != nil {
			e.log.Warn("claim not read", "request", id, "error", err)
			return func(run *claimRun) claim.Action { return run.machine.NotRead() }
		}
		return func(run *claimRun) claim.Action {
			run.answer = row.Answer
			run.dropped = row.Dropped
			return run.machine.Read(row)
		}
	})
}

// claimCall is a call to the table whose outcome goes to the machine.
func (e *Entry) claimCall(id contract.RequestID, call func(ctx context.Context) func(run *claimRun) claim.Action) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		return e.claimStep(id, call(ctx))
	}
	return pool.Effect{Lane: laneClaims, Perform: perform, OnPanic: e.claimPanic(id)}
}
