package api

import (
	"fmt"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// statements answers POST /v1/statements.
func (h *handler) statements(w http.ResponseWriter, r *http.Request) {
	response, failed := h.run(w, r)
	answer(w, response, failed)
}

func (h *handler) run(w http.ResponseWriter, r *http.Request) (*wire.Response, *failure) {
	who, failed := allow(h.Operators, r, RoleRead)
	if failed != nil {
		return nil, failed
	}
	leave, failed := h.enter()
	if failed != nil {
		return nil, failed
	}
	defer leave()
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
	if _, failed := allow(h.Operators, r, RoleWrite); failed != nil {
		return nil, failed
	}
	changes, options, failed := changesOf(parsed, q)
	if failed != nil {
		return nil, failed
	}
	return h.change(r, who, changes, options)
}

func parseAll(lines []string) ([]language.Statement, *failure) {
	parsed := make([]language.Statement, 0, len(lines))
	for i, line := range lines {
		statement, err := language.Parse(line)
		if err != nil {
			return nil, fromStatement(i, err)
		}
		parsed = append(parsed, statement)
	}
	return parsed, nil
}

// changesOf joins the statements' changes and options with those of the request.
func changesOf(parsed []language.Statement, q wire.Request) ([]operator.Change, operator.Options, *failure) {
	options := operator.Options{Expect: q.Expect, DryRun: q.DryRun, Wait: time.Duration(q.WaitMS) * time.Millisecond}
	if options.Wait < 0 || options.Wait > operator.MaxInForceWait {
		return nil, options, fail(http.StatusBadRequest, wire.CodeMalformed, fmt.Sprintf("wait_ms must be 0 to %d", operator.MaxInForceWait.Milliseconds()))
	}
	var changes []operator.Change
	for i, statement := range parsed {
		if statement.Change == nil {
			failed := fail(http.StatusBadRequest, wire.CodeMalformed, "a query must be the only statement of a request")
			failed.detail.Statement = i + 1
			return nil, options, failed
		}
		changes = append(changes, statement.Change)
		options = merge(options, statement.Options)
	}
	return changes, options, nil
}

// merge lets the options of a statement go before those of the request.
func merge(options, own operator.Options) operator.Options {
	if own.Expect != nil {
		options.Expect = own.Expect
	}
	options.DryRun = options.DryRun || own.DryRun
	options.Wait = max(options.Wait, own.Wait)
	return options
}

func (h *handler) change(r *http.Request, who Operator, changes []operator.Change, options operator.Options) (*wire.Response, *failure) {
	outcome, err := h.Service.Change(r.Context(), who.Name, changes, options)
	if err != nil {
		h.Log.Warn("operator's change refused", "operator", who.Name, "error", err)
		return nil, fromDecision(err)
	}
	if !options.DryRun {
		h.Log.Info("operator's change accepted", "operator", who.Name, "revision", outcome.Revision, "command", outcome.Command)
	}
	return &wire.Response{Change: wire.FromOutcome(outcome, options.Wait > 0)}, nil
}
