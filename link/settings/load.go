// Package settings reads the TOML settings of the long-running processes. A
// file is checked as a whole: all problems are reported at once, each with file,
// key and reason. Only a syntax error or a value of the wrong type ends the
// check early.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: %w", err)
	}
	return DecodeEntry(path, string(text))
}

// DecodeEntry reads the settings of an entry from a text; file is named in
// errors.
func DecodeEntry(file, text string) (Entry, error) {
	s := DefaultEntry()
	err := decode(file, text, &s, s.check)
	return s, err
}

// LoadSidecar reads the settings of a sidecar.
func LoadSidecar(path string) (Sidecar, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Sidecar{}, fmt.Errorf("settings: %w", err)
	}
	return DecodeSidecar(path, string(text))
}

// DecodeSidecar reads the settings of a sidecar from a text; file is named in
// errors.
func DecodeSidecar(file, text string) (Sidecar, error) {
	s := DefaultSidecar()
	err := decode(file, text, &s, s.check)
	return s, err
}

// decode fills in settings and checks them.
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

// syntaxProblem says where decoding stopped.
func syntaxProblem(err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		reason := fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
		return Problem{Key: parse.LastKey, Reason: reason}
	}
	return Problem{Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// LoadBurn reads the settings of the burn report.
func LoadBurn(path string) (Burn, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Burn{}, fmt.Errorf("settings: %w", err)
	}
	s := DefaultBurn()
	err = decode(path, string(text), &s, s.check)
	return s, err
}
