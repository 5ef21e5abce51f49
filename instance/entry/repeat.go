package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
)

// A non-repeatable request that is refused may repeat one that ran: its caller got no answer
// and sends it again with the same idempotency key. A refusal that states that it did not run
// would then be false. Such a request is answered from its claim, whatever reason there is to
// refuse it, or with RanUnknown.

// Limits of lookups.
const (
	// LookupTimeout bounds the lookup of one claim. If the earlier request still runs then,
	// the refusal is RanUnknown.
	LookupTimeout = 2 * time.Second
	// maxLookups bounds the lookups at a time, so that refused requests take at most a
	// quarter of the lane of claims. Beyond it refusals are RanUnknown.
	maxLookups = 64
)

// lookup is the refusal of a request whose claim is only looked up.
type lookup struct {
	refusal *contract.Refusal
	// withheld is set if the caller must not get the stored answer, because its key is not
	// valid. It gets the refusal, which states whether the request ran.
	withheld bool
}

func (l *lookup) withholds() bool {
	return l != nil && l.withheld
}

// mayRepeat reports whether a request may repeat an earlier one that ran, if its route uses
// claims.
func (e *Entry) mayRepeat(in contract.Incoming) bool {
	return e.claimStore != nil && in.Call != nil && in.IdempotencyKey != ""
}

// identity is what the claim of a request is found by.
type identity struct {
	route contract.Route
	// key is zero on open routes; it may be withdrawn.
	key contract.Key
	// keyValid is true if the caller may get a stored answer.
	keyValid bool
}

// identify returns the identity of a request. known is false if this entry cannot tell under
// which identity an earlier request would have run: its configuration is missing or not
// trusted, no route matches, or the key is not in it.
func (e *Entry) identify(h *table.HeldLocks, in contract.Incoming) (of identity, known bool) {
	snapshot := e.snapshot(h)
	route, refusal := findRoute(snapshot, in)
	if refusal != nil {
		return identity{}, false
	}
	if route.Open {
		return identity{route: route, keyValid: true}, true
	}
	hash := contract.HashKey(in.Key)
	key, listed := snapshot.Keys[hash]
	if !listed || !key.Hash.Equal(hash) || !e.configTrusted(h) {
		return identity{route: route}, false
	}
	_, refusal = snapshot.CheckKey(hash)
	return identity{route, key, refusal == nil}, true
}

// hasNoClaim reports whether a refused request cannot have a claim, so that its refusal
// holds: it carries no identity, or its route has no claims.
func (e *Entry) hasNoClaim(in contract.Incoming, of identity) bool {
	routed := of.route.Name != ""
	return !e.mayRepeat(in) || routed && (!e.usesClaims(of.route) || !of.route.Open && in.Key == "")
}

// refuseAdmission refuses a request for which there is no row. If it may repeat an earlier
// one, its claim is looked up.
func (e *Entry) refuseAdmission(h *table.HeldLocks, in contract.Incoming, refusal *contract.Refusal, answer func(admission)) []pool.Effect {
	of, known := e.identify(h, in)
	if e.hasNoClaim(in, of) {
		answer(admission{refusal: refusal})
		return nil
	}
	if !known || !e.beginLookup() {
		e.log.Info("refused without a lookup", "code", refusal.Code, "reason", refusal.Reason, "route", of.route.Name)
		answer(admission{refusal: refusal.MaybeRan()})
		return nil
	}
	r := e.buildRequest(of.route, of.key, in)
	r.Deadline = r.Arrived.Add(2 * LookupTimeout)
	e.insertRequest(h, r)
	answer(admission{request: r})
	return e.startLookup(h, r.ID, lookup{refusal, !of.keyValid})
}

// refuseUnqueued refuses a request that the pool did not take, which leaves no way to look up
// its claim.
func (e *Entry) refuseUnqueued(in contract.Incoming, refusal *contract.Refusal) *contract.Refusal {
	of, _ := e.identify(table.NewHeldLocks(), in)
	if e.hasNoClaim(in, of) {
		return refusal
	}
	return refusal.MaybeRan()
}

// refuseCharge ends a request that gets no tokens.
func (e *Entry) refuseCharge(h *table.HeldLocks, id contract.RequestID, refusal *contract.Refusal) []pool.Effect {
	mayRepeat := false
	e.update(h, id, func(r *request) { mayRepeat = r.mayRepeat })
	switch {
	case !mayRepeat:
		return e.finish(h, id, refusal)
	case !e.beginLookup():
		return e.finish(h, id, refusal.MaybeRan())
	default:
		return e.startLookup(h, id, lookup{refusal: refusal})
	}
}

// beginLookup counts a lookup, which ends with endLookup. It returns false if there are too
// many.
func (e *Entry) beginLookup() bool {
	if e.lookups.Add(1) > maxLookups {
		e.endLookup()
		return false
	}
	return true
}

func (e *Entry) endLookup() { e.lookups.Add(-1) }

// startLookup starts the claim machine of a request that is only looked up.
func (e *Entry) startLookup(h *table.HeldLocks, id contract.RequestID, l lookup) []pool.Effect {
	run := e.newClaimRun(h, id)
	if run == nil {
		e.endLookup()
		return nil
	}
	run.lookup = &l
	e.log.Info("claim looked up", "request", id, "code", l.refusal.Code, "reason", l.refusal.Reason, "withheld", l.withheld)
	e.pool.After(LookupTimeout, e.claimStep(id, func(run *claimRun) claim.Action {
		return run.machine.Cancel(l.refusal.Code, l.refusal.Reason)
	}))
	return e.startMachine(h, id, run, func(m *claim.Machine) claim.Action { return m.StartLookup(l.refusal) })
}

// endWithheld ends a lookup whose answer is withheld. ran states whether the request ran.
func (e *Entry) endWithheld(h *table.HeldLocks, id contract.RequestID, l *lookup, ran contract.Ran) []pool.Effect {
	refusal := *l.refusal
	refusal.Ran = ran
	return e.finish(h, id, &refusal)
}
