// Package checkfile reads files of the operators' statements for a check, and prints the
// results of checks. The checks themselves are in package contract/check.
package checkfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/check"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
)

// Statements is the configuration that follows from the statements of a file.
type Statements struct {
	Snapshot *config.Snapshot
	Lines    check.Lines
	// Findings are the statements that cannot be applied.
	Findings []check.Finding
}

// reader applies the statements of a file in turn.
type reader struct {
	draft    *config.Draft
	lines    check.Lines
	findings []check.Finding
	// keyUnknown is set after a statement about a key that is not in the files.
	keyUnknown bool
}

// ReadStatements applies the statements of a file, one per line, to base.
func ReadStatements(text string, base *config.Snapshot) Statements {
	r := &reader{draft: config.NewDraft(base), lines: make(check.Lines)}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		if line = strings.TrimSuffix(line, "\r"); !language.IsBlank(line) {
			r.apply(line, number)
		}
	}
	return Statements{r.draft.Snapshot(), r.lines, r.findings}
}

func (r *reader) add(severity check.Severity, code check.Code, place check.Place, text string) {
	r.findings = append(r.findings, check.Finding{Code: code, Severity: severity, Place: place, Text: text})
}

func (r *reader) apply(line string, number int) {
	place := check.Place{Line: number}
	statement, err := language.Parse(line)
	var syntax *language.Error
	switch {
	case errors.As(err, &syntax):
		place.Column = syntax.Column
		text := syntax.Message
		if syntax.Hint != "" {
			text += " (" + syntax.Hint + ")"
		}
		r.add(check.Error, check.CodeSyntax, place, text)
		return
	case err != nil:
		r.add(check.Error, check.CodeSyntax, place, err.Error())
		return
	case statement.Query != nil:
		r.add(check.Error, check.CodeQuery, place, "a query changes nothing and must be the only statement of a request")
		return
	}
	cmd, err := r.command(statement.Change, number)
	if err == nil {
		err = r.draft.Apply(cmd)
	}
	var notFound *config.NotFoundError
	var state *config.StateError
	switch {
	case errors.As(err, &notFound) && notFound.Kind == config.KindKey:
		r.keyUnknown = true
		// Statements grant keys without a hash, so a hash can belong to a key that only
		// the store has.
		r.add(check.Warning, check.CodeUnchecked, place, "files of statements have no hashes of keys: whether the key exists is not checked")
	case r.keyUnknown && errors.As(err, &state) && state.Kind == config.KindAccount:
		r.add(check.Warning, check.CodeUnchecked, place, "the account has keys: whether they were withdrawn before is not checked")
	case err != nil:
		r.add(check.Error, check.CodeRefused, place, err.Error())
	default:
		r.lines.Record(cmd, number)
	}
}

// command resolves a change. A key that is granted gets a hash that does not differ from
// one check to the next.
func (r *reader) command(change operator.Change, number int) (config.Command, error) {
	if grant, ok := change.(operator.GrantKey); ok {
		hash := contract.HashKey(fmt.Sprintf("%s/%s/%d/%d", grant.Account, grant.Label, number, len(r.draft.Snapshot().Keys)))
		return config.GrantKey{Hash: hash, Account: grant.Account, Label: grant.Label}, nil
	}
	return operator.Resolve(change, r.draft.Snapshot())
}
