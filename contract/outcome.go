package contract

import (
	"errors"
	"fmt"
	"time"
)

// Ran reports whether an upstream ran a request. The zero value is RanNo.
type Ran uint8

const (
	// RanNo means that no byte of the request reached an upstream.
	RanNo Ran = iota
	// RanYes means that an upstream ran the request.
	RanYes
	// RanUnknown means that an upstream may have run the request.
	RanUnknown
)

// String returns the value sent to callers.
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

// Statuses of HTTP by which callers know that a request has not run and never will.
const (
	statusRequestTimeout     = 408
	statusMisdirected        = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// StatusSaysNotRun reports whether callers take the status of an answer as a promise that the
// request has not run, after which they may send even one that must not run twice again.
func StatusSaysNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Code identifies the cause of a refusal. Codes are part of the public API.
type Code string

// Codes of refusals. docs/API.md lists each with its HTTP status. CodeTooSlow means
// that the caller took too long to send the body of its request.
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

// Refusal is the error for every request that gets no complete answer.
type Refusal struct {
	Code Code
	// Ran reports whether an upstream ran the request. It is RanNo only if that
	// is certain.
	Ran Ran
	// Repeat reports whether the caller may send the same request again.
	Repeat bool
	// After is the shortest delay before the caller sends the request again; 0 if
	// unknown.
	After time.Duration
	// Reason is a human-readable message. It never contains a key or a body.
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Reason)
}

// Refuse returns a refusal of a request that did not run. Repeat is unset.
func Refuse(code Code, reason string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Reason: reason}
}

// RefuseRetryable returns a refusal with Repeat set: the request did not run, and the
// caller may send it again after the given delay.
func RefuseRetryable(code Code, after time.Duration, reason string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Repeat: true, After: after, Reason: reason}
}

// MaybeRan returns the refusal with RanUnknown in place of RanNo: the request may repeat an
// earlier one that ran.
func (r *Refusal) MaybeRan() *Refusal {
	corrected := *r
	if corrected.Ran == RanNo {
		corrected.Ran = RanUnknown
	}
	return &corrected
}

// AsRefusal converts any error to a refusal; nil stays nil. An error that wraps
// no Refusal does not show whether the request ran, so it becomes CodeInternal
// with RanUnknown.
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
