package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
)

// withRetryBudget calls f with the retry budget of a service, whose lock is held during
// the call. Each service has its own, so that retries earned by the requests of one
// service are not spent on another.
func (g *Gateway) withRetryBudget(h *table.HeldLocks, service directory.ServiceName, f func(b *retry.Budget)) {
	now := g.clock.Now()
	share := g.share(h, now, service)
	g.retryBudgets.With(h, func(all *map[directory.ServiceName]*retry.Budget) {
		b, ok := (*all)[service]
		if !ok {
			b = retry.NewBudget(g.options.Retries)
			(*all)[service] = b
		}
		b.SetShare(now, share)
		f(b)
	})
}

// takeRetry takes a retry from the service's budget and reports whether it is allowed.
// ran is what is known of the earlier attempts.
func (g *Gateway) takeRetry(h *table.HeldLocks, r *request, ran contract.Ran) (allowed bool) {
	now := g.clock.Now()
	refusal := &contract.Refusal{Ran: ran}
	g.withRetryBudget(h, r.service, func(b *retry.Budget) { allowed = b.Allow(now, refusal, r.route.Repeatable()) })
	return allowed
}
