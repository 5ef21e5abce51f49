// Package wire holds the JSON messages of the administration API.
package wire

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
)

// StatementsPath is where statements are posted.
const StatementsPath = "/v1/statements"

// Request runs statements. Several statements must all be commands; they become
// one revision, or none of them does.
type Request struct {
	Statements []string `json:"statements"`
	// Expect, DryRun and WaitMS do what the options of the language do; an
	// option in a statement goes before them.
	Expect *contract.Revision `json:"expect,omitempty"`
	DryRun bool               `json:"dry_run,omitempty"`
	WaitMS int64              `json:"wait_ms,omitempty"`
}

// Response holds a table for a query and a change for commands.
type Response struct {
	Table  *Table  `json:"table,omitempty"`
	Change *Change `json:"change,omitempty"`
}

// Table is the answer to a query.
type Table struct {
	Columns []Column `json:"columns"`
	// Rows hold texts, numbers, true and false; durations are in
	// milliseconds and times in RFC 3339.
	Rows [][]any `json:"rows"`
	// Total counts the rows before the limit.
	Total int `json:"total"`
	// Silent names the instances that did not answer.
	Silent []Silent `json:"silent"`
}

// Column describes a column.
type Column struct {
	Name string `json:"name"`
	Type string `json:"type"`
}

// Silent is an instance that did not answer, or lags.
type Silent struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// Change is what became of commands.
type Change struct {
	Revision    contract.Revision `json:"revision"`
	DryRun      bool              `json:"dry_run"`
	Command     string            `json:"command"`
	Differences []Difference      `json:"differences"`
	// GrantedKeys are shown this once.
	GrantedKeys []string `json:"granted_keys,omitempty"`
	// InForce is null when the command did not wait.
	InForce *bool    `json:"in_force"`
	Lagging []Silent `json:"lagging,omitempty"`
	TookMS  *int64   `json:"took_ms"`
}

// Difference is one object that changed; before is empty for a new one and
// after for a removed one.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ErrorResponse is the one shape of all errors.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what is wrong and whether anything was changed.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Changed is "no" or "unknown"; after "unknown" look at the revisions
	// before a repeat.
	Changed string `json:"changed"`
	// Statement is the index of the statement and Column the place in it,
	// from 1; both are left out where they say nothing.
	Statement int    `json:"statement,omitempty"`
	Column    int    `json:"column,omitempty"`
	Hint      string `json:"hint,omitempty"`
	// Winner and WinnerBy name the revision that a conflict was lost to.
	Winner   contract.Revision `json:"winner,omitempty"`
	WinnerBy string            `json:"winner_by,omitempty"`
}

// Code is the stable name of an error.
type Code string

// Codes of errors.
const (
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeMalformed        Code = "malformed"
	CodeTooLarge         Code = "too_large"
	CodeStatement        Code = "statement"
	CodeInvalid          Code = "invalid"
	CodeUnknownObject    Code = "unknown_object"
	CodeExists           Code = "exists"
	CodeState            Code = "state"
	CodeConflict         Code = "conflict"
	CodeNotAccepted      Code = "not_accepted"
	CodeUndecided        Code = "undecided"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeBusy             Code = "busy"
	CodeUnknownPath      Code = "unknown_path"
	CodeInternal         Code = "internal"
)

// FromTable makes the message of a table.
func FromTable(t *operator.Table) *Table {
	out := &Table{Columns: []Column{}, Rows: [][]any{}, Total: t.Total, Silent: fromSilent(t.Missing)}
	for _, c := range t.Columns {
		out.Columns = append(out.Columns, Column{Name: c.Name, Type: c.Type.String()})
	}
	for _, row := range t.Rows {
		cells := make([]any, 0, len(row))
		for _, v := range row {
			cells = append(cells, cell(v))
		}
		out.Rows = append(out.Rows, cells)
	}
	return out
}

func cell(v operator.Value) any {
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

// FromOutcome makes the message of a change; waited says whether it waited to
// be in force.
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
	out.Lagging = fromSilent(o.NotInForce)
	if o.InForce {
		took := o.InForceAfter.Milliseconds()
		out.TookMS = &took
	}
	return out
}

func fromSilent(silent []operator.MissingInstance) []Silent {
	out := []Silent{}
	for _, s := range silent {
		out = append(out, Silent{Instance: s.Instance, Reason: s.Reason})
	}
	return out
}
