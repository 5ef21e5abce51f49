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

// maxSurvey bounds the sidecars that are asked about a claim. In a larger pool
// nobody can say that a request did not run.
const maxSurvey = 32

// surveyed is what the sidecars of a pool know of a claim.
type surveyed struct {
	fate    claim.Fate
	answer  contract.ServiceAnswer
	dropped bool
}

// claimSurvey asks all sidecars of the pool what became of a claim's attempts.
func (e *Entry) claimSurvey(h *table.Held, id contract.RequestID, run *claimRun, call contract.CallID) pool.Effect {
	addrs := e.poolOf(h, run.need.Pool)
	q := &peer.ServiceRequest{Header: e.header(h), Call: call, AskOnly: true, AskKey: true, ClaimKey: run.key.With(run.body)}
	perform := func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, AskTimeout)
		defer cancel()
		known := e.survey(ctx, addrs, q)
		return e.claimStep(id, func(run *claimRun) claim.Action {
			run.answer = known.answer
			run.dropped = known.dropped
			return run.machine.Surveyed(known.fate)
		})
	}
	return pool.Effect{Lane: laneService, Perform: perform, OnPanic: e.claimPanic(id)}
}

// poolOf lists the sidecars of a pool of services.
func (e *Entry) poolOf(h *table.Held, name string) (addrs []string) {
	for _, u := range e.snapshot(h).Upstreams {
		if u.Role == upstream.RoleService && u.Pool == name && u.State != upstream.StateRetired {
			addrs = append(addrs, u.SidecarAddr)
		}
	}
	return addrs
}

// survey asks one sidecar after the other. One without a reply leaves open what
// became of the claim, unless another knows its answer.
func (e *Entry) survey(ctx context.Context, addrs []string, q *peer.ServiceRequest) surveyed {
	known := surveyed{fate: claim.FateNever}
	if len(addrs) > maxSurvey {
		return surveyed{fate: claim.FateForgotten}
	}
	for _, addr := range addrs {
		reply, err := e.peers.Sidecar(addr).Call(ctx, q)
		switch {
		case err != nil:
			known.fate = claim.FateForgotten
		case reply.Fate == claim.FateDone:
			return surveyed{reply.Fate, reply.Answer, reply.Dropped}
		case reply.Fate != claim.FateNever:
			known.fate = reply.Fate
		}
	}
	return known
}
