// Package settings defines, loads and checks the TOML settings of the long-running
// processes and of the burn report. A file is checked as a whole: all problems are
// reported at once, each with file, key and reason; only a syntax error or a value
// of the wrong type ends the check early. The doc comments of the fields are the
// source of docs/SETTINGS.md.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// LoadEntry reads and checks the settings file of an entry. An error is an *Error,
// or wraps the error of reading the file.
func LoadEntry(path string) (Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: %w", err)
	}
	return DecodeEntry(path, string(text))
}

// DecodeEntry parses and checks the settings of an entry. file is the name used in
// errors; an error is an *Error.
func DecodeEntry(file, text string) (Entry, error) {
	s := DefaultEntry()
	err := decode(file, text, &s, s.check)
	return s, err
}

// LoadSidecar reads and checks the settings file of a sidecar. An error is an
// *Error, or wraps the error of reading the file.
func LoadSidecar(path string) (Sidecar, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Sidecar{}, fmt.Errorf("settings: %w", err)
	}
	return DecodeSidecar(path, string(text))
}

// DecodeSidecar parses and checks the settings of a sidecar. file is the name used
// in errors; an error is an *Error.
func DecodeSidecar(file, text string) (Sidecar, error) {
	s := DefaultSidecar()
	err := decode(file, text, &s, s.check)
	return s, err
}

// decode parses a text into settings that hold the defaults, refuses unknown keys
// and runs the checks.
func decode(file, text string, into any, check func(c *checker)) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		return &Error{File: file, Problems: []Problem{syntaxProblem(err)}}
	}
	c := &checker{}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "is not a known key")
	}
	check(c)
	if len(c.problems) > 0 {
		return &Error{File: file, Problems: c.problems}
	}
	return nil
}

// syntaxProblem converts an error of the TOML parser to a problem, with the line if
// it is known.
func syntaxProblem(err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		reason := fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
		return Problem{Key: parse.LastKey, Reason: reason}
	}
	return Problem{Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// LoadBurn reads and checks the settings file of the burn report. An error is an
// *Error, or wraps the error of reading the file.
func LoadBurn(path string) (Burn, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Burn{}, fmt.Errorf("settings: %w", err)
	}
	s := DefaultBurn()
	err = decode(path, string(text), &s, s.check)
	return s, err
}
