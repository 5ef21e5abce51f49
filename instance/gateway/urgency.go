package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// rankOf returns the urgency of a request and the number of ranks of its service.
func (g *Gateway) rankOf(h *table.HeldLocks, r *request) (rank, ranks int) {
	ranks = 1
	g.config.With(h, func(c **configuration) {
		if u := (*c).urgency; u != nil {
			rank, ranks = u.Rank(r.service, r.route, r.account), u.Ranks(r.service)
			r.beforeOthers = u.BeforeOthers(r.service, r.route)
		}
	})
	return rank, ranks
}

// ordered reports whether the requests of the service differ in urgency.
func (r *request) ordered() bool {
	return r.ranks > 1
}

// waitRank is the rank of a request among the waiters: streams that broke off come first.
func (r *request) waitRank() int {
	if r.events > 0 {
		return 0
	}
	return r.rank
}

// urgency is what engines are told of the request's urgency.
func (r *request) urgency() *runner.Urgency {
	if !r.ordered() {
		return nil
	}
	return &runner.Urgency{Rank: r.waitRank(), Ranks: r.ranks}
}

// moreUrgent reports whether others of the service are less urgent.
func (r *request) moreUrgent() bool {
	return r.ordered() && r.waitRank() < r.ranks-1
}

// quotaClass tells whether the request comes before others of its account.
func (r *request) quotaClass() quota.Class {
	if r.beforeOthers {
		return quota.Urgent
	}
	return quota.Ordinary
}
