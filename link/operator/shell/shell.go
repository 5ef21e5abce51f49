// Package shell is the front end of trefoilctl: it runs statements of the
// operators' language from a command line, a file or a terminal, prints the
// responses and returns exit codes. It checks the syntax of statements locally
// and leaves their execution to the administration API.
package shell

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/operator/client"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Exit codes of trefoilctl.
const (
	ExitOK = 0
	// ExitRefused means that the statement failed and nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the arguments or settings of the program are invalid, or
	// that its input cannot be read.
	ExitUsage = 2
	// ExitUnknown means that a change may have been accepted.
	ExitUnknown = 3
	// ExitLagging means that a change was accepted, but was not in force at all
	// instances when the wait ended.
	ExitLagging = 4
)

// Runner runs statements; client.Client implements it.
type Runner interface {
	Run(ctx context.Context, q wire.Request) (*wire.Response, error)
}

// Shell runs statements and prints the responses to Out and errors to Err. It is
// not safe for concurrent use.
type Shell struct {
	Runner Runner
	Out    io.Writer
	Err    io.Writer
	Format Format
	// Expect, DryRun and Wait are sent with each command. RunFile clears Expect
	// after its first command.
	Expect *contract.Revision
	DryRun bool
	Wait   time.Duration
}

// RunLine runs one statement and returns the exit code.
func (s *Shell) RunLine(ctx context.Context, line string) int {
	if language.IsBlank(line) {
		return ExitOK
	}
	if _, err := language.Parse(line); err != nil {
		return s.reportSyntaxError(line, err)
	}
	return s.send(ctx, []string{line})
}

// RunFile runs the statements of a file, one per line, and stops at the first that
// fails. With atomic they become one revision, or none of them does. All lines
// are parsed before the first is run.
func (s *Shell) RunFile(ctx context.Context, file io.Reader, atomic bool) int {
	lines, code := s.readStatements(file)
	if code != ExitOK || len(lines) == 0 {
		return code
	}
	if atomic {
		return s.send(ctx, lines)
	}
	for _, line := range lines {
		if code := s.send(ctx, []string{line}); code != ExitOK {
			return code
		}
		// The first command raises the revision, so the next ones cannot
		// expect the same one.
		s.Expect = nil
	}
	return ExitOK
}

// readStatements reads and parses all lines, and skips blank ones.
func (s *Shell) readStatements(file io.Reader) (lines []string, code int) {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, language.MaxLength)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		if language.IsBlank(line) {
			continue
		}
		if _, err := language.Parse(line); err != nil {
			_, _ = fmt.Fprintf(s.Err, "line %d: ", number)
			return nil, s.reportSyntaxError(line, err)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		_, _ = fmt.Fprintf(s.Err, "reading the statements: %v\n", err)
		return nil, ExitUsage
	}
	return lines, ExitOK
}

func (s *Shell) send(ctx context.Context, lines []string) int {
	response, err := s.Runner.Run(ctx, wire.Request{
		Statements: lines,
		Expect:     s.Expect,
		DryRun:     s.DryRun,
		WaitMS:     s.Wait.Milliseconds(),
	})
	if err != nil {
		return s.reportFailure(lines, err)
	}
	if err := render(s.Out, s.Format, response); err != nil {
		_, _ = fmt.Fprintln(s.Err, err)
		return ExitUnknown
	}
	if c := response.Change; c != nil && c.InForce != nil && !*c.InForce {
		return ExitLagging
	}
	return ExitOK
}

// reportFailure prints the error of a call and returns the exit code.
func (s *Shell) reportFailure(lines []string, err error) int {
	var refused *client.ResponseError
	if !errors.As(err, &refused) {
		_, _ = fmt.Fprintln(s.Err, err)
		if errors.Is(err, client.ErrNotSent) {
			return ExitRefused
		}
		return ExitUnknown
	}
	d := refused.Detail
	if i := d.Statement - 1; d.Column > 0 && i >= 0 && i < len(lines) {
		return s.reportSyntaxError(lines[i], &language.Error{Column: d.Column, Message: d.Message, Hint: d.Hint})
	}
	_, _ = fmt.Fprintf(s.Err, "%s: %s\n", d.Code, d.Message)
	if d.Changed == "unknown" {
		return ExitUnknown
	}
	return ExitRefused
}

// reportSyntaxError prints an error and the line, with a caret at its column.
func (s *Shell) reportSyntaxError(line string, err error) int {
	_, _ = fmt.Fprintln(s.Err, err)
	var syntaxError *language.Error
	if errors.As(err, &syntaxError) {
		_, _ = fmt.Fprintf(s.Err, "  %s\n  %s^\n", line, strings.Repeat(" ", syntaxError.Column-1))
	}
	return ExitRefused
}
