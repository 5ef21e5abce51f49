package gateway

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// checkCrash makes an effect that checks whether an upstream that broke off a call has
// crashed: a single reset connection does not show that, but a failed new one does.
func (g *Gateway) checkCrash(r *request, choice roster.Choice) []pool.Effect {
	return []pool.Effect{{Lane: laneCleanup, Perform: func(ctx context.Context) pool.Step {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		err := g.runners.Reachable(ctx, choice.Target)
		if err == nil {
			return nil
		}
		return func(h *table.HeldLocks) []pool.Effect { return g.recordCrash(h, r, choice, err) }
	}}}
}

// recordCrash marks the upstream down and counts the crash against the request that it
// was running. A request with too many crashes is quarantined.
func (g *Gateway) recordCrash(h *table.HeldLocks, r *request, choice roster.Choice, err error) []pool.Effect {
	now := g.clock.Now()
	var quarantined []contract.Fingerprint
	g.board.With(h, func(b **roster.Board) { (*b).MarkDown(now, choice) })
	g.suspects.With(h, func(t **quarantine.Table) {
		quarantined = (*t).RecordCrash(now, choice.ID, []contract.Fingerprint{r.fingerprint})
	})
	g.log.Info(string(eventCrashed), "request", r.message.ID, "upstream", choice.ID, "address", choice.Addr, "born", choice.Born,
		"account", r.accountID(), "route", r.route.Name, "fingerprint", r.fingerprint, "shared_parts", r.message.SharedParts(),
		"sent_ms", now.Sub(r.sentAt).Milliseconds(), "events", r.attemptEvents(), "error", err)
	g.metrics.recordCrash(r.attemptEvents() > 0)
	if len(quarantined) > 0 {
		g.log.Warn(string(eventQuarantined), "request", r.message.ID, "upstream", choice.ID)
	}
	return nil
}

var _ runner.StreamReceiver = (*streamWriter)(nil)
