package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// event is the message of a log line, by which tools find it. docs/OPERATIONS.md
// documents each.
type event string

// Events of one request.
const (
	eventRefused       event = "request_refused"
	eventAdmitted      event = "request_admitted"
	eventSent          event = "call_sent"
	eventParked        event = "request_parked"
	eventReserved      event = "place_reserved"
	eventPrefilled     event = "prompt_prefilled"
	eventAttemptFailed event = "attempt_failed"
	eventRetried       event = "request_retried"
	eventEnded         event = "request_ended"
	eventCleanupFailed event = "cleanup_failed"
)

// Events that change the process's view of the fleet, the configuration or itself.
const (
	eventConfig      event = "configuration_in_force"
	eventUpstream    event = "upstream_changed"
	eventStoreLost   event = "registry_lost"
	eventStoreBack   event = "registry_back"
	eventPeerLost    event = "peer_lost"
	eventPeerBack    event = "peer_back"
	eventQuarantined event = "request_quarantined"
	eventServing     event = "serving"
	eventDraining    event = "draining"
	eventDutyTaken   event = "duty_taken"
	eventDutyLost    event = "duty_lost"
	eventRoleOrdered event = "role_ordered"
	eventEntered     event = "entered"
	eventEnterFailed event = "enter_failed"
	eventHistoryGone event = "registry_history_gone"
	eventCrashed     event = "upstream_crashed"
)

// logRefused counts and logs a request that was refused at admission, before it had a
// row. inputs are the keys and values of what decided it.
func (g *Gateway) logRefused(m *contract.Message, version uint64, route *directory.Route, refusal *contract.Refusal, inputs ...any) {
	g.metrics.recordRefusal(g.clock.Now(), route, refusal.Code)
	args := []any{"request", m.ID, "code", refusal.Code, "reason", refusal.Reason,
		"config", version, "after_ms", refusal.After.Milliseconds()}
	g.log.Info(string(eventRefused), append(args, inputs...)...)
}

// recordEnd counts and logs the end of a request; refusal is nil if it was answered.
func (g *Gateway) recordEnd(r *request, refusal *contract.Refusal) {
	now := g.clock.Now()
	took := now.Sub(r.arrived)
	g.metrics.recordOutcome(r, refusal, now)
	args := []any{
		"route", r.route.Name, "account", r.accountID(), "took_ms", took.Milliseconds(),
		"caller_waits_ms", r.message.Patience.Milliseconds(), "attempts", r.attempts, "reads", r.totalPrefills, "events", r.events, "ran", r.ran.String(), "config", r.version,
	}
	if !r.firstEventAt.IsZero() {
		args = append(args, "first_ms", r.firstEventAt.Sub(r.arrived).Milliseconds(), "gap_ms", r.longestGap.Milliseconds())
	}
	if refusal == nil {
		args = append(args, "outcome", "answered")
		switch {
		case r.late():
			g.flushAndLogEvent(r, eventEnded, append(args, "late", true)...)
		case r.log.sampledOut():
			g.metrics.recordSampledOut()
		default:
			g.logEvent(r, eventEnded, args...)
		}
		return
	}
	g.flushAndLogEvent(r, eventEnded, append(args, "outcome", refusal.Code, "reason", refusal.Reason,
		"after_ms", refusal.After.Milliseconds(), "begun", r.headSent, "caller_left", r.callerGone)...)
}

// logAttempt counts and logs an attempt that led to no answer for the caller.
func (g *Gateway) logAttempt(r *request, kind string, choice roster.Choice, result runner.Result) {
	g.metrics.recordFailedAttempt(AttemptKey{Upstream: choice.ID, Call: kind, Reach: result.Reach.String()})
	g.flushAndLogEvent(r, eventAttemptFailed, "call", kind, "upstream", choice.ID, "address", choice.Addr,
		"reach", result.Reach.String(), "status", result.Status, "error", result.Err, "events", r.events,
		"held_tokens", choice.Tokens, "held_calls", choice.Calls)
}
