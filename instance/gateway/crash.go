package gateway

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// begunEvents is the number of events after which an engine has begun an answer and
// survived it: the first one may leave it as it crashes.
const begunEvents = 2

// checkQuarantine returns a refusal if the request, or parts of its prompt, crash upstreams.
func (g *Gateway) checkQuarantine(h *table.HeldLocks, r *request) (refusal *contract.Refusal) {
	now := g.clock.Now()
	g.suspects.With(h, func(t **quarantine.Table) { refusal = (*t).Check(now, r.fingerprint) })
	if refusal != nil || len(r.sharedParts) == 0 {
		return refusal
	}
	g.promptParts.With(h, func(t **quarantine.PartTable) { refusal = (*t).Check(now, r.sharedParts) })
	return refusal
}

// checkSend returns a refusal if a request must not be sent, or sent again: its caller left,
// its deadline passed, it was quarantined since it was admitted, or it has crashed an
// upstream and its parts are suspicious.
func (g *Gateway) checkSend(h *table.HeldLocks, r *request) *contract.Refusal {
	crashed := false
	g.ifLive(h, r, func() { crashed = r.crashedUpstream })
	if refusal := g.checkCanceled(h, r); refusal != nil {
		return refusal
	}
	if refusal := g.checkQuarantine(h, r); refusal != nil || !crashed {
		return refusal
	}
	suspicious := false
	g.promptParts.With(h, func(t **quarantine.PartTable) { suspicious = (*t).Suspects(r.sharedParts, r.fingerprint) })
	if !suspicious {
		return nil
	}
	return &contract.Refusal{Code: contract.CodeQuarantined, Ran: contract.RanUnknown, Reason: "upstreams crashed as they began answers to such prompts"}
}

// clearSuspect records that the request ran without a crash, so that crashes at which it
// was present no longer count against it.
func (g *Gateway) clearSuspect(h *table.HeldLocks, r *request) {
	now := g.clock.Now()
	g.suspects.With(h, func(t **quarantine.Table) { (*t).RecordCompletion(now, r.fingerprint) })
}

// recordAnswerBegun records that an engine survived the begin of the answer.
func (g *Gateway) recordAnswerBegun(h *table.HeldLocks, r *request) {
	if len(r.sharedParts) == 0 {
		return
	}
	now := g.clock.Now()
	g.promptParts.With(h, func(t **quarantine.PartTable) { (*t).RecordAnswerBegun(now, r.sharedParts) })
}

// brokenCall is a call that an upstream broke off, at which it had delivered events.
type brokenCall struct {
	choice   roster.Choice
	sentAt   time.Time
	brokenAt time.Time
	events   int
}

// checkCrash makes an effect that checks whether an upstream that broke off a call has
// crashed: a single reset connection does not show that, but a new one that is refused
// does. An upstream that cannot be reached may as well be cut off.
func (g *Gateway) checkCrash(r *request, call brokenCall) []pool.Effect {
	return []pool.Effect{{Lane: laneCleanup, Perform: func(ctx context.Context) pool.Step {
		return g.askForCrash(ctx, r, call)
	}}}
}

// checkCrashThen is checkCrash for a request that goes on with next after it.
func (g *Gateway) checkCrashThen(r *request, call brokenCall, next pool.Step) []pool.Effect {
	return g.requestEffect(r, func() pool.Step {
		record := g.askForCrash(g.ctx, r, call)
		return func(h *table.HeldLocks) []pool.Effect {
			if record != nil {
				record(h)
			}
			return next(h)
		}
	})
}

// askForCrash opens a connection to an upstream. It returns a step that records its crash,
// nil if it is up.
func (g *Gateway) askForCrash(ctx context.Context, r *request, call brokenCall) pool.Step {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	result := g.runners.Reachable(ctx, call.choice.Target)
	if result.Reach == runner.Answered || result.NoDescriptor {
		return nil
	}
	return func(h *table.HeldLocks) []pool.Effect {
		g.recordCrash(h, r, call, result)
		return nil
	}
}

// recordCrash marks the upstream down and, if it crashed, counts that against the request
// that it was running and the parts of its prompt.
func (g *Gateway) recordCrash(h *table.HeldLocks, r *request, call brokenCall, result runner.Result) {
	now := g.clock.Now()
	choice := call.choice
	begun := call.events >= begunEvents
	g.board.With(h, func(b **roster.Board) { (*b).MarkDown(now, choice) })
	g.log.Info(string(eventCrashed), "request", r.message.ID, "upstream", choice.ID, "address", choice.Addr, "born", choice.Born,
		"account", r.accountID(), "route", r.route.Name, "fingerprint", r.fingerprint, "shared_parts", r.sharedParts,
		"sent_ms", call.brokenAt.Sub(call.sentAt).Milliseconds(), "events", call.events, "refused", result.Refused, "error", result.Err)
	if !result.Refused {
		return
	}
	g.metrics.recordCrash(begun)
	quarantined := false
	crash := quarantine.IncarnationCrash(choice.ID, choice.Born)
	g.suspects.With(h, func(t **quarantine.Table) {
		if begun {
			quarantined = (*t).RecordLateCrash(now, crash, r.fingerprint)
			return
		}
		quarantined = (*t).RecordRunning(now, crash, r.fingerprint)
	})
	if quarantined {
		g.log.Warn(string(eventQuarantined), "request", r.message.ID, "upstream", choice.ID)
	}
	if begun || len(r.sharedParts) == 0 {
		return
	}
	cut := quarantine.Cut{
		Crash: crash, Request: r.fingerprint, Parts: r.sharedParts,
		SentAt: call.sentAt, At: call.brokenAt,
	}
	g.ifLive(h, r, func() { r.crashedUpstream = true })
	g.promptParts.With(h, func(t **quarantine.PartTable) { (*t).RecordCut(now, cut) })
}
