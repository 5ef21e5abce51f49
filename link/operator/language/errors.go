package language

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Error says what is wrong with a statement, and where. A statement with an
// error changes nothing.
type Error struct {
	// Column is the place in the line, from 1, in characters.
	Column  int
	Message string
	// Hint says what to write in its place; it may be empty.
	Hint string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Hint == "" {
		return fmt.Sprintf("column %d: %s", e.Column, e.Message)
	}
	return fmt.Sprintf("column %d: %s (%s)", e.Column, e.Message, e.Hint)
}

func errorAt(pos lexer.Position, hint, format string, args ...any) *Error {
	return &Error{Column: pos.Column, Message: fmt.Sprintf(format, args...), Hint: hint}
}

// fromParser turns an error of the parser into one of this layer.
func fromParser(line string, err error) *Error {
	var at participle.Error
	if !errors.As(err, &at) {
		return &Error{Column: 1, Message: err.Error()}
	}
	pos := at.Position()
	found := wordAt(line, pos.Offset)
	before := strings.Fields(line[:min(pos.Offset, len(line))])
	expected := nextWords(before)
	switch {
	case found == "" && len(before) == 0:
		return errorAt(pos, oneOf(expected), "the statement is empty")
	case found == "":
		return errorAt(pos, oneOf(expected), "the statement ends too early")
	case len(before) == 0:
		return errorAt(pos, nearest(found, expected), "%q is neither a subject nor a command", found)
	default:
		return errorAt(pos, nearest(found, expected), "unexpected %q", found)
	}
}

// wordAt gives the text at an offset up to the next space.
func wordAt(line string, offset int) string {
	if offset >= len(line) {
		return ""
	}
	fields := strings.Fields(line[offset:])
	if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
		return ""
	}
	return fields[0]
}

// oneOf lists the words that may stand at a place.
func oneOf(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return "expected " + strings.Join(words, ", ")
}

// nearest hints at the known word that was most likely meant, or lists all.
func nearest(word string, known []string) string {
	best, bestDistance := "", maxTypos+1
	for _, candidate := range known {
		if d := distance(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	if best != "" && best != word {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return oneOf(known)
}

// maxTypos is how far a word may be from the one that was meant.
const maxTypos = 2

// distance counts the letters to insert, remove or replace.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
