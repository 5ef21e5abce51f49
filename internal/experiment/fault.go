package experiment

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

const (
	// withdrawnKeyAccount is the index of the account whose key is withdrawn.
	withdrawnKeyAccount = 1
	// quietZoneIndex is the index of the availability zone that is cut off and of its
	// entry, stoppedEntryIndex that of the entry that is killed or drained.
	quietZoneIndex    = 2
	stoppedEntryIndex = 1
	// revisionPollInterval is the time between two checks of the entries' revisions.
	revisionPollInterval = 10 * time.Millisecond
)

// runFault begins the fault at faultStart and ends it at faultEnd, or when ctx ends.
func (r *run) runFault(ctx context.Context) {
	begin, end := r.fault(ctx)
	sleep(ctx, time.Until(r.began.Add(r.options.faultStart())))
	if ctx.Err() == nil && begin != nil {
		begin()
	}
	sleep(ctx, time.Until(r.began.Add(r.options.faultEnd())))
	if end != nil {
		end()
	}
}

// fault returns the functions that begin and end the fault; either may be nil.
func (r *run) fault(ctx context.Context) (begin, end func()) {
	f := r.fleet
	decode := f.Engines[f.Workload.Prefills]
	store := f.Platform.Store
	switch r.options.Fault {
	case FaultEngineCrash:
		return decode.Engine.Crash, nil
	case FaultPoison:
		return func() { r.poison(poisonText) }, func() { r.poison("") }
	case FaultStalledTransfer:
		return func() { decode.Engine.SetTransfersStalled(true) }, func() { decode.Engine.SetTransfersStalled(false) }
	case FaultZoneQuiet:
		z := f.Workload.Zones[quietZoneIndex]
		return func() { f.CutZone(z, true) }, func() { f.CutZone(z, false) }
	case FaultStoreDown:
		return func() { store.SetDown(true) }, func() { store.SetDown(false) }
	case FaultLostAnswers:
		return func() { store.LoseAnswers(memplatform.Always) }, func() { store.LoseAnswers(0) }
	case FaultEntryKilled:
		return r.killEntry, nil
	case FaultKeyWithdrawn:
		return func() { r.withdrawKey(ctx) }, nil
	case FaultDrain:
		return func() { r.drain(ctx) }, nil
	default:
		// The load causes the fault, or there is none.
		return nil, nil
	}
}

// poison makes engines crash on prompts that contain text; an empty text ends that.
func (r *run) poison(text string) {
	for _, e := range r.fleet.Engines {
		e.Engine.CrashOn(text)
	}
}

func (r *run) killEntry() {
	e := r.fleet.Entries[stoppedEntryIndex]
	r.mu.Lock()
	r.events.killed, r.events.killedAt = e, time.Now()
	r.mu.Unlock()
	e.Kill()
}

func (r *run) withdrawKey(ctx context.Context) {
	hash := contract.HashKey(r.fleet.Workload.Accounts[withdrawnKeyAccount].Key)
	_, err := r.fleet.ApplyCommand(ctx, config.WithdrawKey{Hash: hash})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.events.withdrawnAt = time.Now()
	}
}

// drain drains one engine and removes it from the fleet, then shuts one entry down
// gracefully.
func (r *run) drain(ctx context.Context) {
	engine := r.fleet.Engines[r.fleet.Workload.Prefills]
	_, _ = r.fleet.ApplyCommand(ctx, config.ChangeState{ID: engine.Upstream.ID, State: upstream.StateDraining})
	r.fleet.MarkLeaving(engine.Upstream)
	_ = r.fleet.Entries[stoppedEntryIndex].Shutdown(ctx)
}

// changeConfig changes the configuration before the fault and measures the time until
// the change is in force at all entries.
func (r *run) changeConfig(ctx context.Context) {
	sleep(ctx, time.Until(r.began.Add(r.options.Duration/6)))
	account := r.fleet.Workload.Accounts[0].ClientAccount
	account.Weight++
	revision, err := r.fleet.ApplyCommand(ctx, config.SetAccount{Account: account})
	if err != nil {
		return
	}
	accepted := time.Now()
	for !r.inForce(revision) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, revisionPollInterval)
	}
	propagation := time.Since(accepted)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.configPropagation = &propagation
}

// inForce reports whether all entries except a killed one have at least the revision.
func (r *run) inForce(revision contract.Revision) bool {
	r.mu.Lock()
	killed := r.events.killed
	r.mu.Unlock()
	for _, e := range r.fleet.Entries {
		if e == killed {
			continue
		}
		if e.Revision() < revision {
			return false
		}
	}
	return true
}
