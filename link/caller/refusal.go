package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// statusClientClosed is the non-standard status, first used by nginx, for a client
// that closed the connection.
const statusClientClosed = 499

// statuses maps each code to its HTTP status.
var statuses = map[contract.Code]int{
	contract.CodeKeyMissing:         http.StatusUnauthorized,
	contract.CodeKeyInvalid:         http.StatusUnauthorized,
	contract.CodeKeyWithdrawn:       http.StatusUnauthorized,
	contract.CodeRouteUnknown:       http.StatusNotFound,
	contract.CodeModelUnknown:       http.StatusNotFound,
	contract.CodeMalformed:          http.StatusBadRequest,
	contract.CodeTooLarge:           http.StatusRequestEntityTooLarge,
	contract.CodeTooSlow:            http.StatusRequestTimeout,
	contract.CodeRateLimited:        http.StatusTooManyRequests,
	contract.CodeOverCapacity:       http.StatusServiceUnavailable,
	contract.CodeDeadline:           http.StatusGatewayTimeout,
	contract.CodeDraining:           http.StatusServiceUnavailable,
	contract.CodeNoConfig:           http.StatusServiceUnavailable,
	contract.CodeNoUpstream:         http.StatusServiceUnavailable,
	contract.CodeUpstreamFailed:     http.StatusBadGateway,
	contract.CodeQuarantined:        http.StatusUnprocessableEntity,
	contract.CodeIdempotencyMissing: http.StatusBadRequest,
	contract.CodeIdempotencyReused:  http.StatusUnprocessableEntity,
	contract.CodeStoreUnavailable:   http.StatusServiceUnavailable,
	contract.CodeOutcomeUnknown:     http.StatusInternalServerError,
	contract.CodeCanceled:           statusClientClosed,
	contract.CodeStaleGrant:         http.StatusServiceUnavailable,
	contract.CodeStaleOrder:         http.StatusConflict,
	contract.CodeStreamBroken:       http.StatusBadGateway,
	contract.CodeInternal:           http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of a code; an unlisted code is an internal error.
func HTTPStatus(code contract.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is the JSON body of every error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the JSON form of a contract.Refusal. Repeat is true if the caller may
// send the request again.
type errorDetail struct {
	Code         contract.Code `json:"code"`
	Message      string        `json:"message"`
	Ran          string        `json:"ran"`
	Repeat       bool          `json:"repeat"`
	RetryAfterMS int64         `json:"retry_after_ms"`
}

// encodeRefusal returns the JSON of a refusal with a line feed.
func encodeRefusal(refusal *contract.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code:         refusal.Code,
		Message:      refusal.Reason,
		Ran:          refusal.Ran.String(),
		Repeat:       refusal.Repeat,
		RetryAfterMS: int64(math.Ceil(float64(refusal.After) / float64(time.Millisecond))),
	}})
	if err != nil {
		// Strings, a bool and an integer always encode.
		panic(err)
	}
	return append(body, '\n')
}

// refusalStatus returns the HTTP status of a refusal. One that may have run never gets a status
// that means that it did not.
func refusalStatus(refusal *contract.Refusal) int {
	status := HTTPStatus(refusal.Code)
	if refusal.Ran != contract.RanNo && contract.StatusSaysNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// minRetryAfter is the lower bound of Retry-After. It also applies when the refusal
// has no time.
const minRetryAfter = time.Second

// writeRefusal writes a refusal as a whole response.
func (e *exchange) writeRefusal(refusal *contract.Refusal) error {
	header := e.w.Header()
	header.Set("Content-Type", "application/json")
	codeStatus := HTTPStatus(refusal.Code)
	busy := codeStatus == http.StatusTooManyRequests || codeStatus == http.StatusServiceUnavailable
	if busy && refusal.Repeat {
		after := max(refusal.After, minRetryAfter)
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return e.writeResponse(refusalStatus(refusal), encodeRefusal(refusal))
}
