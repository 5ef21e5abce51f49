package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/demand"
	"github.com/trefoilwalk/trefoilwalk/upstream/shortage"
)

// headroom returns what the request leaves free at the engines of its service.
func (g *Gateway) headroom(h *table.HeldLocks, now time.Time, r *request, estimate demand.Estimate) shortage.Headroom {
	if !r.ordered() {
		return shortage.Headroom{}
	}
	var out shortage.Headroom
	g.shortages.With(h, func(l **shortage.Ledger) {
		out.Kept = (*l).Kept(now, r.service, r.waitRank())
		out.Most = (*l).Kept(now, r.service, r.ranks-1)
	})
	out.Tokens = estimate.Reserved()
	if engine := g.engine(h, r.service); engine != nil {
		out.Capacity = engine.KVTokens
	}
	return out
}

// prefillParts is the multiple of a process's part of the prefill backlog that urgent
// requests may use, so that they do not wait for the prompts of others. Engines read
// urgent prompts first.
const prefillParts = 2

// prefillPart returns the multiple of this process's part of the prefill backlog that the
// request may use.
func (r *request) prefillPart() float64 {
	if r.moreUrgent() {
		return prefillParts
	}
	return 1
}

// maxReserveAttempts bounds the engines that the request asks in one round. Urgent requests
// ask twice as many: few engines have room in a shortage, and their time is short.
func (r *request) maxReserveAttempts() int {
	if r.moreUrgent() {
		return 2 * MaxReserveAttempts
	}
	return MaxReserveAttempts
}
