package language

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Error is a syntax error or an invalid value in a statement. A statement with
// an error changes nothing.
type Error struct {
	// Column is the position in the line, from 1, in characters.
	Column  int
	Message string
	// Hint is what is accepted in this position; it may be empty.
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

// convertParserError converts an error of the parser library to an Error, with
// the accepted words as the hint.
func convertParserError(line string, err error) *Error {
	var parserError participle.Error
	if !errors.As(err, &parserError) {
		return &Error{Column: 1, Message: err.Error()}
	}
	pos := parserError.Position()
	found := wordAt(line, pos.Offset)
	before := strings.Fields(line[:min(pos.Offset, len(line))])
	expected := nextWords(before)
	switch {
	case found == "" && len(before) == 0:
		return errorAt(pos, oneOf(expected), "the statement is empty")
	case found == "":
		return errorAt(pos, oneOf(expected), "the statement ends too early")
	case len(before) == 0:
		return errorAt(pos, suggest(found, expected), "%q is neither a subject nor a command", found)
	default:
		return errorAt(pos, suggest(found, expected), "unexpected %q", found)
	}
}

// wordAt returns the word at a byte offset, up to the next space; empty at the
// end of the line and before a comment.
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

// oneOf returns the hint that lists the accepted words.
func oneOf(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return "expected " + strings.Join(words, ", ")
}

// suggest returns a hint with the known word closest to a misspelled one, or
// with all known words if none is within maxTypos.
func suggest(word string, known []string) string {
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

// maxTypos is the largest edit distance at which a word is suggested.
const maxTypos = 2

// distance returns the Levenshtein distance of two words, in bytes.
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
