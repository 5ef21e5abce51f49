package checkfile

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/trefoilwalk/trefoilwalk/contract/check"
)

// Report is the result of a check.
type Report struct {
	File     string
	Findings []check.Finding
	// Against is the file that File was compared with, empty if there was none.
	Against     string
	Differences []check.Difference
}

// reportJSON is the JSON form of a report.
type reportJSON struct {
	File     string        `json:"file"`
	Findings []findingJSON `json:"findings"`
	Against  string        `json:"against,omitempty"`
	// Differences is null unless there was a file to compare with.
	Differences []differenceJSON `json:"differences"`
}

type findingJSON struct {
	Severity string `json:"severity"`
	Code     string `json:"code"`
	Path     string `json:"path,omitempty"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Text     string `json:"text"`
}

type differenceJSON struct {
	Change string `json:"change"`
	Kind   string `json:"kind"`
	Name   string `json:"name,omitempty"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// WriteJSON writes a report as one JSON object.
func WriteJSON(w io.Writer, r Report) error {
	out := reportJSON{File: r.File, Findings: []findingJSON{}, Against: r.Against}
	for _, f := range r.Findings {
		out.Findings = append(out.Findings, findingJSON{f.Severity.String(), string(f.Code), f.Place.Path, f.Place.Line, f.Place.Column, f.Text})
	}
	if r.Against != "" {
		out.Differences = []differenceJSON{}
	}
	for _, d := range r.Differences {
		out.Differences = append(out.Differences, differenceJSON{string(d.Change), d.Kind, d.Name, d.Field, d.Old, d.New})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

// WriteText writes a report in words, one line for each finding and difference.
func WriteText(w io.Writer, r Report) error {
	for _, f := range r.Findings {
		place := f.Place.String()
		if place != "" {
			place += ": "
		}
		if _, err := fmt.Fprintf(w, "%s: %s%s: %s [%s]\n", r.File, printable(place), f.Severity, printable(f.Text), f.Code); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "%s: findings: %d\n", r.File, len(r.Findings)); err != nil || r.Against == "" {
		return err
	}
	if _, err := fmt.Fprintf(w, "differences from %s: %d\n", r.Against, len(r.Differences)); err != nil {
		return err
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(w, "  "+printable(words(d))); err != nil {
			return err
		}
	}
	return nil
}

// printable replaces control characters, so that a name in a file cannot forge lines or
// reach the terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}

// words returns a difference as a phrase.
func words(d check.Difference) string {
	object := d.Kind
	if d.Name != "" {
		object += " " + d.Name
	}
	switch d.Change {
	case check.Added:
		return fmt.Sprintf("%s added: %s", object, d.New)
	case check.Removed:
		return fmt.Sprintf("%s removed: %s", object, d.Old)
	default:
		return fmt.Sprintf("%s changed: %s from %s to %s", object, d.Field, orNone(d.Old), orNone(d.New))
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
