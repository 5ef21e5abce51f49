package contract

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a request reached an upstream.
type Ran uint8

const (
	// RanNo means that no byte of the request reached any upstream.
	RanNo Ran = iota
	// RanYes means that an upstream ran the request.
	RanYes
	// RanUnknown means that an upstream may have run the request.
	RanUnknown
)

// String gives the word used in answers to callers.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Code is the stable name of a refusal, part of the callers' interface.
type Code string

// Codes of refusals. docs/API.md lists each with its HTTP status.
const (
	CodeKeyMissing         Code = "key_missing"
	CodeKeyInvalid         Code = "key_invalid"
	CodeKeyWithdrawn       Code = "key_withdrawn"
	CodeRouteUnknown       Code = "route_unknown"
	CodeModelUnknown       Code = "model_unknown"
	CodeMalformed          Code = "malformed"
	CodeTooLarge           Code = "too_large"
	CodeTooSlow            Code = "too_slow"
	CodeRateLimited        Code = "rate_limited"
	CodeOverCapacity       Code = "over_capacity"
	CodeDeadline           Code = "deadline_exceeded"
	CodeDraining           Code = "draining"
	CodeNoConfig           Code = "no_configuration"
	CodeNoUpstream         Code = "no_upstream"
	CodeUpstreamFailed     Code = "upstream_failed"
	CodeQuarantined        Code = "quarantined"
	CodeIdempotencyMissing Code = "idempotency_key_missing"
	CodeIdempotencyReused  Code = "idempotency_key_reused"
	CodeStoreUnavailable   Code = "store_unavailable"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeCanceled           Code = "canceled"
	CodeStaleGrant         Code = "stale_grant"
	CodeStaleOrder         Code = "stale_order"
	CodeStreamBroken       Code = "stream_broken"
	CodeInternal           Code = "internal"
)

// Refusal is the one typed value for every request that gets no full answer.
type Refusal struct {
	// Code names the cause.
	Code Code
	// Ran says whether an upstream ran the request. RanNo must be true.
	Ran Ran
	// Repeat says whether the caller may send the same request again.
	Repeat bool
	// After is how long to wait before a repeat; 0 when not known.
	After time.Duration
	// Reason is for people. It never holds a key or a body.
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Reason)
}

// Refuse builds a refusal of a request that did not run.
func Refuse(code Code, reason string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Reason: reason}
}

// RefuseRepeat builds a refusal of a request that did not run and may be
// repeated after the given time.
func RefuseRepeat(code Code, after time.Duration, reason string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Repeat: true, After: after, Reason: reason}
}

// AsRefusal turns any error into a refusal. An error of another type says
// nothing about what ran, so it becomes RanUnknown.
func AsRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Code: CodeInternal, Ran: RanUnknown, Reason: err.Error()}
}
