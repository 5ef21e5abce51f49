// Package wire holds the JSON messages of the administration API, shared by its
// server (package api) and its client, and converts the results of package
// instance/operator into them.
package wire

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
)

// StatementsPath is the URL path to which statements are posted.
const StatementsPath = "/v1/statements"

// Request holds the statements to run. Several statements must all be commands; they become
// one revision, or none of them does.
type Request struct {
	Statements []string `json:"statements"`
	// Expect, DryRun and WaitMS have the meaning of the options --expect,
	// --dry-run and --wait. A statement's own --expect takes precedence; a dry
	// run applies if either sets it, and the longer wait counts.
	Expect *contract.Revision `json:"expect,omitempty"`
	DryRun bool               `json:"dry_run,omitempty"`
	WaitMS int64              `json:"wait_ms,omitempty"`
}

// Response holds a table for a query or a change for commands.
type Response struct {
	Table  *Table  `json:"table,omitempty"`
	Change *Change `json:"change,omitempty"`
}

// Table is the result of a query.
type Table struct {
	Columns []Column `json:"columns"`
	// Rows hold strings, numbers and booleans; durations are in
	// milliseconds and times in RFC 3339.
	Rows [][]any `json:"rows"`
	// Total is the number of rows before the limit is applied.
	Total int `json:"total"`
	// Silent lists the instances that did not respond.
	Silent []Silent `json:"silent"`
}

// Column is the name of a column and the type of its cells.
type Column struct {
	Name string `json:"name"`
	Type string `json:"type"`
}

// Silent is an instance that did not respond, or that does not have the change
// in force yet.
type Silent struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// Change is the outcome of commands.
type Change struct {
	Revision    contract.Revision `json:"revision"`
	DryRun      bool              `json:"dry_run"`
	Command     string            `json:"command"`
	Differences []Difference      `json:"differences"`
	// GrantedKeys are the new keys in plain text. Only hashes are stored, so they
	// cannot be shown again.
	GrantedKeys []string `json:"granted_keys,omitempty"`
	// InForce is null when the command did not wait.
	InForce *bool `json:"in_force"`
	// Lagging lists the instances at which the change was not in force
	// when the wait ended.
	Lagging []Silent `json:"lagging,omitempty"`
	// TookMS is the time in milliseconds until the change was in force.
	TookMS *int64 `json:"took_ms"`
}

// Difference is an object before and after a change. Before is empty for a new
// object and After for a removed one.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether anything was changed.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Changed is "no" or "unknown". After "unknown", check the revisions before
	// the command is retried.
	Changed string `json:"changed"`
	// Statement is the index of the statement and Column the position in it,
	// both from 1; 0 where they do not apply.
	Statement int    `json:"statement,omitempty"`
	Column    int    `json:"column,omitempty"`
	Hint      string `json:"hint,omitempty"`
	// Winner is the revision that was accepted instead in a conflict, and WinnerBy
	// its author.
	Winner   contract.Revision `json:"winner,omitempty"`
	WinnerBy string            `json:"winner_by,omitempty"`
}

// Code identifies a kind of error; clients may match on it.
type Code string

// Codes of errors.
const (
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeMalformed       Code = "malformed"
	CodeTooLarge        Code = "too_large"
	// CodeStatement means that a statement has a syntax error.
	CodeStatement     Code = "statement"
	CodeInvalid       Code = "invalid"
	CodeUnknownObject Code = "unknown_object"
	CodeExists        Code = "exists"
	// CodeState means that the object's state does not allow the command.
	CodeState       Code = "state"
	CodeConflict    Code = "conflict"
	CodeNotAccepted Code = "not_accepted"
	// CodeUndecided means that the outcome of the change is unknown.
	CodeUndecided        Code = "undecided"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeBusy             Code = "busy"
	CodeUnknownPath      Code = "unknown_path"
	CodeInternal         Code = "internal"
)

// FromTable converts a query result to its message.
func FromTable(t *operator.Table) *Table {
	out := &Table{Columns: []Column{}, Rows: [][]any{}, Total: t.Total, Silent: fromMissing(t.Missing)}
	for _, c := range t.Columns {
		out.Columns = append(out.Columns, Column{Name: c.Name, Type: c.Type.String()})
	}
	for _, row := range t.Rows {
		cells := make([]any, 0, len(row))
		for _, v := range row {
			cells = append(cells, jsonCell(v))
		}
		out.Rows = append(out.Rows, cells)
	}
	return out
}

func jsonCell(v operator.Value) any {
	switch v.Type {
	case operator.Number:
		return v.Number
	case operator.Duration:
		return float64(v.Duration) / float64(time.Millisecond)
	case operator.Bool:
		return v.Bool
	default:
		return v.String()
	}
}

// FromOutcome converts the outcome of a change to its message. InForce, Lagging
// and TookMS are set only if the command waited to be in force.
func FromOutcome(o *operator.Outcome, waited bool) *Change {
	out := &Change{
		Revision:    o.Revision,
		DryRun:      o.DryRun,
		Command:     o.Command,
		Differences: []Difference{},
		GrantedKeys: o.GrantedKeys,
	}
	for _, d := range o.Differences {
		out.Differences = append(out.Differences, Difference{Kind: string(d.Kind), Name: d.Name, Before: d.Before, After: d.After})
	}
	if !waited || o.DryRun {
		return out
	}
	out.InForce = &o.InForce
	out.Lagging = fromMissing(o.NotInForce)
	if o.InForce {
		took := o.InForceAfter.Milliseconds()
		out.TookMS = &took
	}
	return out
}

func fromMissing(missing []operator.MissingInstance) []Silent {
	out := []Silent{}
	for _, s := range missing {
		out = append(out, Silent{Instance: s.Instance, Reason: s.Reason})
	}
	return out
}
