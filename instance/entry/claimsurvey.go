package entry

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// maxSurvey bounds the sidecars that are asked about a claim. In a larger pool it
// cannot be established that a request did not run.
const maxSurvey = 32

// surveyResult is what the sidecars of a pool know of a claim.
type surveyResult struct {
	outcome claim.Fate
	answer  contract.ServiceAnswer
	dropped bool
}

// claimSurvey returns the effect that asks all sidecars of the pool for the
// outcome of a claim's attempts.
func (e *Entry) claimSurvey(h *table.HeldLocks, id contract.RequestID, run *claimRun, call contract.CallID) pool.Effect {
	addrs := e.serviceSidecars(h, run.need.Pool)
	q := &peer.ServiceRequest{Header: e.header(h), Call: call, AskOnly: true, AskKey: true, ClaimKey: run.key.HashWithBody(run.body)}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		known := e.survey(ctx, addrs, q)
		return e.claimStep(id, func(run *claimRun) claim.Action {
			run.answer = known.answer
			run.dropped = known.dropped
			return run.machine.OnSurvey(known.outcome)
		})
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}

// serviceSidecars lists the sidecar addresses of a pool of services.
func (e *Entry) serviceSidecars(h *table.HeldLocks, name string) (addrs []string) {
	for _, u := range e.snapshot(h).Upstreams {
		if u.Role == upstream.RoleService && u.Pool == name && u.State != upstream.StateRetired {
			addrs = append(addrs, u.SidecarAddr)
		}
	}
	return addrs
}

// survey asks the sidecars in order until one has the answer. Otherwise the outcome
// is the last one other than claim.FateNever, where a sidecar that does not reply
// counts as claim.FateForgotten.
func (e *Entry) survey(ctx context.Context, addrs []string, q *peer.ServiceRequest) surveyResult {
	known := surveyResult{outcome: claim.FateNever}
	if len(addrs) > maxSurvey {
		return surveyResult{outcome: claim.FateForgotten}
	}
	for _, addr := range addrs {
		reply, err := e.peers.Sidecar(addr).Call(ctx, q)
		switch {
		case err != nil:
			known.outcome = claim.FateForgotten
		case reply.Fate == claim.FateDone:
			return surveyResult{reply.Fate, reply.Answer, reply.Dropped}
		case reply.Fate != claim.FateNever:
			known.outcome = reply.Fate
		}
	}
	return known
}
