package settings

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file.
type Problem struct {
	// Key is the full key, such as "caller.listen"; empty for the whole file.
	Key    string
	Reason string
}

// Error lists all problems of a settings file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements error. The text has one line per problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		if p.Key == "" {
			lines = append(lines, fmt.Sprintf("%s: %s", e.File, p.Reason))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, p.Key, p.Reason))
	}
	return strings.Join(lines, "\n")
}
