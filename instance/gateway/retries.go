package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/retry"
)

// budget calls f with the budget of retries of a service while its lock is held.
// What one service saves up must not be spent on another.
func (g *Gateway) withRetryBudget(h *table.Held, service directory.ServiceName, f func(b *retry.Budget)) {
	now := g.clock.Now()
	processes := g.countGateways(h, now)
	g.retryBudgets.With(h, func(all *map[directory.ServiceName]*retry.Budget) {
		b, ok := (*all)[service]
		if !ok {
			b = retry.NewBudget(g.options.Retries)
			(*all)[service] = b
		}
		b.Among(processes)
		f(b)
	})
}

// mayRetry takes one attempt from the budget of retries.
func (g *Gateway) takeRetry(h *table.Held, r *request, ran contract.Ran) (allowed bool) {
	now := g.clock.Now()
	refusal := &contract.Refusal{Ran: ran}
	g.withRetryBudget(h, r.service, func(b *retry.Budget) { allowed = b.Allow(now, refusal, r.route.Repeatable()) })
	return allowed
}
