package api

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// failure is the status and body of an error response.
type failure struct {
	status int
	detail wire.ErrorDetail
}

// Values of wire.ErrorDetail.Changed: whether a failed command changed anything.
const (
	changedNo      = "no"
	changedUnknown = "unknown"
)

// newFailure returns a failure of a request that changed nothing.
func newFailure(status int, code wire.Code, message string) *failure {
	return &failure{status, wire.ErrorDetail{Code: code, Message: message, Changed: changedNo}}
}

// write sends the failure as the response.
func (f *failure) write(w http.ResponseWriter) {
	writeJSON(w, f.status, wire.ErrorResponse{Error: f.detail})
}

// writeJSON sends a message as the response. A write error is dropped: it means
// that the client closed the connection.
func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// statementFailure returns the failure for a statement that does not parse. index
// counts from 0; the response counts from 1.
func statementFailure(index int, err error) *failure {
	f := newFailure(http.StatusBadRequest, wire.CodeStatement, err.Error())
	f.detail.Statement = index + 1
	var parseError *language.Error
	if errors.As(err, &parseError) {
		f.detail.Message = parseError.Message
		f.detail.Column = parseError.Column
		f.detail.Hint = parseError.Hint
	}
	return f
}

// changeFailure maps an error of operator.Service.Change to a failure. For an
// unknown kind of error the outcome of the command is unknown too.
func changeFailure(err error) *failure {
	var (
		conflict  *config.ConflictError
		invalid   *config.InvalidError
		notFound  *config.NotFoundError
		exists    *config.ExistsError
		state     *config.StateError
		ambiguous *operator.AmbiguousError
	)
	switch {
	case errors.As(err, &conflict):
		f := newFailure(http.StatusConflict, wire.CodeConflict, err.Error())
		f.detail.Winner = conflict.Winner
		f.detail.WinnerBy = conflict.By
		return f
	case errors.As(err, &invalid), errors.As(err, &ambiguous):
		return newFailure(http.StatusUnprocessableEntity, wire.CodeInvalid, err.Error())
	case errors.As(err, &notFound):
		return newFailure(http.StatusNotFound, wire.CodeUnknownObject, err.Error())
	case errors.As(err, &exists):
		return newFailure(http.StatusConflict, wire.CodeExists, err.Error())
	case errors.As(err, &state):
		return newFailure(http.StatusConflict, wire.CodeState, err.Error())
	case errors.Is(err, config.ErrNotAccepted):
		return newFailure(http.StatusServiceUnavailable, wire.CodeNotAccepted, err.Error())
	default:
		f := newFailure(http.StatusGatewayTimeout, wire.CodeUndecided, err.Error())
		f.detail.Changed = changedUnknown
		return f
	}
}
