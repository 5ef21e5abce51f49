package gateway

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
	"github.com/trefoilwalk/trefoilwalk/upstream/roster"
)

// event names one kind of decision in the log. docs/OPERATIONS.md explains each.
type event string

// Decisions that touch a request.
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

// Decisions that change what the process believes.
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

// logRefused records a request that was refused before it had a row.
func (g *Gateway) logRefused(m *contract.Message, version uint64, route *directory.Route, refusal *contract.Refusal, inputs ...any) {
	g.metrics.refused(g.clock.Now(), route, refusal.Code)
	args := []any{"request", m.ID, "code", refusal.Code, "reason", refusal.Reason,
		"config", version, "after_ms", refusal.After.Milliseconds()}
	g.log.Info(string(eventRefused), append(args, inputs...)...)
}

// recordEnd records how a request ended.
func (g *Gateway) recordEnd(r *request, refusal *contract.Refusal) {
	now := g.clock.Now()
	took := now.Sub(r.arrived)
	g.metrics.ended(r, refusal, now)
	args := []any{
		"route", r.route.Name, "account", r.accountID(), "took_ms", took.Milliseconds(),
		"caller_waits_ms", r.message.Patience.Milliseconds(), "attempts", r.attempts, "reads", r.reads, "events", r.events, "ran", r.ran.String(), "config", r.version,
	}
	if !r.firstAt.IsZero() {
		args = append(args, "first_ms", r.firstAt.Sub(r.arrived).Milliseconds(), "gap_ms", r.longestGap.Milliseconds())
	}
	if refusal == nil {
		args = append(args, "outcome", "answered")
		switch {
		case r.late():
			g.noteTrouble(r, eventEnded, append(args, "late", true)...)
		case r.log.dropped():
			g.metrics.sampledOut()
		default:
			g.note(r, eventEnded, args...)
		}
		return
	}
	g.noteTrouble(r, eventEnded, append(args, "outcome", refusal.Code, "reason", refusal.Reason,
		"after_ms", refusal.After.Milliseconds(), "begun", r.begun, "caller_left", r.gone)...)
}

// logAttempt records an attempt that did not lead to an answer.
func (g *Gateway) logAttempt(r *request, what string, c roster.Choice, result runner.Result) {
	g.metrics.attemptFailed(AttemptKey{Upstream: c.ID, Call: what, Reach: result.Reach.String()})
	g.noteTrouble(r, eventAttemptFailed, "call", what, "upstream", c.ID, "address", c.Addr,
		"reach", result.Reach.String(), "status", result.Status, "error", result.Err, "events", r.events,
		"held_tokens", c.Tokens, "held_calls", c.Calls)
}
