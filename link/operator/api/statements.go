package api

import (
	"fmt"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// statements serves POST /v1/statements.
func (h *handler) statements(w http.ResponseWriter, r *http.Request) {
	response, failed := h.runStatements(w, r)
	writeResult(w, response, failed)
}

func (h *handler) runStatements(w http.ResponseWriter, r *http.Request) (*wire.Response, *failure) {
	op, failed := authorize(h.Operators, r, RoleRead)
	if failed != nil {
		return nil, failed
	}
	release, failed := h.acquire()
	if failed != nil {
		return nil, failed
	}
	defer release()
	q, failed := decode(w, r)
	if failed != nil {
		return nil, failed
	}
	parsed, failed := parseAll(q.Statements)
	if failed != nil {
		return nil, failed
	}
	if len(parsed) == 1 && parsed[0].Query != nil {
		return h.query(r, *parsed[0].Query)
	}
	if _, failed := authorize(h.Operators, r, RoleWrite); failed != nil {
		return nil, failed
	}
	changes, options, failed := changesOf(parsed, q)
	if failed != nil {
		return nil, failed
	}
	return h.change(r, op, changes, options)
}

func parseAll(lines []string) ([]language.Statement, *failure) {
	parsed := make([]language.Statement, 0, len(lines))
	for i, line := range lines {
		statement, err := language.Parse(line)
		if err != nil {
			return nil, statementFailure(i, err)
		}
		parsed = append(parsed, statement)
	}
	return parsed, nil
}

// changesOf collects the changes of all statements, and combines the options of
// the statements with those of the request.
func changesOf(parsed []language.Statement, q wire.Request) ([]operator.Change, operator.Options, *failure) {
	options := operator.Options{Expect: q.Expect, DryRun: q.DryRun, Wait: time.Duration(q.WaitMS) * time.Millisecond}
	if options.Wait < 0 || options.Wait > operator.MaxInForceWait {
		return nil, options, newFailure(http.StatusBadRequest, wire.CodeMalformed, fmt.Sprintf("wait_ms must be 0 to %d", operator.MaxInForceWait.Milliseconds()))
	}
	var changes []operator.Change
	for i, statement := range parsed {
		if statement.Change == nil {
			failed := newFailure(http.StatusBadRequest, wire.CodeMalformed, "a query must be the only statement of a request")
			failed.detail.Statement = i + 1
			return nil, options, failed
		}
		changes = append(changes, statement.Change)
		options = merge(options, statement.Options)
	}
	return changes, options, nil
}

// merge adds the options of a statement to those collected so far: its expected
// revision overrides, a dry run stays set, and the longest wait counts.
func merge(options, statement operator.Options) operator.Options {
	if statement.Expect != nil {
		options.Expect = statement.Expect
	}
	options.DryRun = options.DryRun || statement.DryRun
	options.Wait = max(options.Wait, statement.Wait)
	return options
}

func (h *handler) change(r *http.Request, op Operator, changes []operator.Change, options operator.Options) (*wire.Response, *failure) {
	outcome, err := h.Service.Change(r.Context(), op.Name, changes, options)
	if err != nil {
		h.Log.Warn("operator's change refused", "operator", op.Name, "error", err)
		return nil, changeFailure(err)
	}
	if !options.DryRun {
		h.Log.Info("operator's change accepted", "operator", op.Name, "revision", outcome.Revision, "command", outcome.Command)
	}
	return &wire.Response{Change: wire.FromOutcome(outcome, options.Wait > 0)}, nil
}
