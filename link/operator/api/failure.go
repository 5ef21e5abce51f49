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

// failure is an error as it is answered.
type failure struct {
	status int
	detail wire.ErrorDetail
}

// changedNo and changedUnknown say whether a failed command changed anything.
const (
	changedNo      = "no"
	changedUnknown = "unknown"
)

// fail makes a failure that changed nothing.
func fail(status int, code wire.Code, message string) *failure {
	return &failure{status, wire.ErrorDetail{Code: code, Message: message, Changed: changedNo}}
}

// write answers with the failure.
func (f *failure) write(w http.ResponseWriter) {
	writeJSON(w, f.status, wire.ErrorResponse{Error: f.detail})
}

// writeJSON answers with a message. Its error is the client's having gone.
func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// fromStatement is the failure of a statement that cannot be read.
func fromStatement(index int, err error) *failure {
	f := fail(http.StatusBadRequest, wire.CodeStatement, err.Error())
	f.detail.Statement = index + 1
	var wrong *language.Error
	if errors.As(err, &wrong) {
		f.detail.Message = wrong.Message
		f.detail.Column = wrong.Column
		f.detail.Hint = wrong.Hint
	}
	return f
}

// fromDecision turns an error of the decisions into a failure.
func fromDecision(err error) *failure {
	var (
		conflict  *config.ConflictError
		invalid   *config.InvalidError
		missing   *config.NotFoundError
		exists    *config.ExistsError
		state     *config.StateError
		ambiguous *operator.AmbiguousError
	)
	switch {
	case errors.As(err, &conflict):
		f := fail(http.StatusConflict, wire.CodeConflict, err.Error())
		f.detail.Winner = conflict.Winner
		f.detail.WinnerBy = conflict.By
		return f
	case errors.As(err, &invalid), errors.As(err, &ambiguous):
		return fail(http.StatusUnprocessableEntity, wire.CodeInvalid, err.Error())
	case errors.As(err, &missing):
		return fail(http.StatusNotFound, wire.CodeUnknownObject, err.Error())
	case errors.As(err, &exists):
		return fail(http.StatusConflict, wire.CodeExists, err.Error())
	case errors.As(err, &state):
		return fail(http.StatusConflict, wire.CodeState, err.Error())
	case errors.Is(err, config.ErrNotAccepted):
		return fail(http.StatusServiceUnavailable, wire.CodeNotAccepted, err.Error())
	default:
		f := fail(http.StatusGatewayTimeout, wire.CodeUndecided, err.Error())
		f.detail.Changed = changedUnknown
		return f
	}
}
