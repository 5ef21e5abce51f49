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

// claimWrite returns the effect that writes the claim of an attempt and passes the
// result to the request's machine.
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
	return e.claimStoreEffect(id, func(ctx context.Context) func(run *claimRun) claim.Action {
		result, err := e.writeClaim(ctx, run.key, a.Version, from, record)
		if err != nil {
			e.log.Warn("claim not written", "request", id, "attempt", a.Call.Attempt, "error", err)
		}
		return func(run *claimRun) claim.Action { return run.machine.OnClaimWritten(result) }
	})
}

// maxThrottledWrites bounds the writes of a claim while the table throttles them.
const maxThrottledWrites = 5

// writeClaim writes a claim, with backoff while the table throttles writes. It
// blocks, so it must not run on a worker.
func (e *Entry) writeClaim(ctx context.Context, key claim.Key, version uint64, from claim.State, record claim.Record) (result claim.WriteResult, err error) {
	for try := range maxThrottledWrites {
		result, err = e.claimStore.Write(ctx, key, version, from, record)
		if !errors.Is(err, platform.ErrThrottled) || !clock.Wait(ctx, claim.Backoff(try)) {
			break
		}
	}
	return result, err
}

// claimRead returns the effect that reads the current claim.
func (e *Entry) claimRead(id contract.RequestID, key claim.Key) pool.Effect {
	return e.claimStoreEffect(id, func(ctx context.Context) func(run *claimRun) claim.Action {
		row, err := e.claimStore.Read(ctx, key)
		if err != nil {
			e.log.Warn("claim not read", "request", id, "error", err)
			return func(run *claimRun) claim.Action { return run.machine.OnReadFailed() }
		}
		return func(run *claimRun) claim.Action {
			run.answer = row.Answer
			run.dropped = row.Dropped
			return run.machine.OnRow(row)
		}
	})
}

// claimStoreEffect returns the effect that accesses the claim table with call and
// passes the outcome to the request's machine.
func (e *Entry) claimStoreEffect(id contract.RequestID, call func(ctx context.Context) func(run *claimRun) claim.Action) pool.Effect {
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		defer cancel()
		return e.claimStep(id, call(ctx))
	}
	return pool.Effect{Lane: laneClaims, Perform: perform, OnPanic: e.claimPanic(id)}
}
