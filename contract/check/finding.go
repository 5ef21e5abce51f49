// Package check finds faults in a configuration before it is sent: entries that can
// never match, names that do not exist, limits that contradict each other, and what
// differs from another configuration. It handles both forms of configuration: the one of
// package config and the one of package directory. Files are read by others.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity says whether a finding must be mended. The zero value is invalid.
type Severity uint8

const (
	// Warning findings have no effect, or one that is seldom meant.
	Warning Severity = iota + 1
	// Error findings make the configuration invalid, or make requests fail.
	Error
)

// String returns the name used in output.
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Error:
		return "error"
	default:
		return "invalid"
	}
}

// Code identifies a kind of finding. Codes do not change between releases.
type Code string

// Codes of findings.
const (
	// CodeSyntax marks text that is not in the form of the file.
	CodeSyntax Code = "syntax"
	// CodeValue marks a value of a wrong type or outside its range.
	CodeValue Code = "invalid-value"
	// CodeField marks a field that is given twice.
	CodeField Code = "duplicate-field"
	// CodeRefused marks a statement that would be refused.
	CodeRefused Code = "refused"
	// CodeQuery marks a query among commands.
	CodeQuery Code = "query"
	// CodeUnchecked marks a statement that cannot be checked without the store.
	CodeUnchecked Code = "not-checked"
	// CodeDuplicate marks a name that is used twice.
	CodeDuplicate Code = "duplicate-name"
	// CodeHidden marks a route whose host and prefix are those of an earlier one.
	CodeHidden Code = "route-hidden"
	// CodeNoMatch marks a route that no request can match.
	CodeNoMatch Code = "route-never-matches"
	// CodeKind marks an unknown kind of route.
	CodeKind Code = "route-kind-unknown"
	// CodeShare marks a share that gets no requests.
	CodeShare Code = "share-unused"
	// CodeNoKeys marks an account without a valid key.
	CodeNoKeys Code = "account-without-keys"
	// CodeKeyShared marks a key of two accounts.
	CodeKeyShared Code = "key-shared"
	// CodeKeyRepeated marks a key that an account has twice.
	CodeKeyRepeated Code = "key-repeated"
	// CodeKeyEmpty marks an empty key.
	CodeKeyEmpty Code = "key-empty"
	// CodeServiceUnused marks a service or model that no route names.
	CodeServiceUnused Code = "service-unused"
	// CodeServiceUnknown marks a route to a service or model that does not exist.
	CodeServiceUnknown Code = "service-unknown"
	// CodeTimeout marks a timeout below a latency objective.
	CodeTimeout Code = "timeout-below-objective"
	// CodeBurst marks a burst below the charge for a single request.
	CodeBurst Code = "burst-below-request"
	// CodeAttempts marks more than one attempt for requests that may not be repeated.
	CodeAttempts Code = "attempts-not-repeatable"
	// CodeWarmup marks a warm-up in which an upstream may get no requests.
	CodeWarmup Code = "warmup-without-rate"
	// CodeVersion marks a version that does not replace the one in force.
	CodeVersion Code = "version-not-higher"
)

// Place is where a finding is in a file.
type Place struct {
	// Path names the object and field, such as "account acme"; it may be empty.
	Path string
	// Line and Column count from 1; 0 is unknown. Columns count characters.
	Line, Column int
}

// String returns the known parts of p.
func (p Place) String() string {
	var parts []string
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Column > 0 {
		parts = append(parts, fmt.Sprintf("column %d", p.Column))
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	return strings.Join(parts, ", ")
}

// Finding is one fault of a configuration. Text never holds a key.
type Finding struct {
	Code     Code
	Severity Severity
	Place    Place
	Text     string
}

// Sort orders findings by line, column, path and code. Those without a line come last.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(uint(a.Place.Line-1), uint(b.Place.Line-1)),
			cmp.Compare(a.Place.Column, b.Place.Column),
			cmp.Compare(a.Place.Path, b.Place.Path),
			cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Text, b.Text),
		)
	})
}

// collector collects findings.
type collector struct {
	findings []Finding
}

func (c *collector) add(severity Severity, code Code, place Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{code, severity, place, fmt.Sprintf(format, args...)})
}
