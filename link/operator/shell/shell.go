// Package shell runs statements of the operators' language from a command line,
// a file or a terminal.
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
	// ExitRefused means that nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the call of the program is wrong.
	ExitUsage = 2
	// ExitUnknown means that a change may have been accepted.
	ExitUnknown = 3
	// ExitLagging means that a change was accepted and not in force everywhere
	// when the wait ended.
	ExitLagging = 4
)

// Runner runs statements; client.Client is one.
type Runner interface {
	Run(ctx context.Context, q wire.Request) (*wire.Response, error)
}

// Shell runs statements and shows their answers.
type Shell struct {
	Runner Runner
	Out    io.Writer
	Err    io.Writer
	Format Format
	// Expect, DryRun and Wait go with each command.
	Expect *contract.Revision
	DryRun bool
	Wait   time.Duration
}

// Line runs one statement and gives the exit code.
func (s *Shell) Line(ctx context.Context, line string) int {
	if language.Blank(line) {
		return ExitOK
	}
	if _, err := language.Parse(line); err != nil {
		return s.wrongStatement(line, err)
	}
	return s.send(ctx, []string{line})
}

// File runs the statements of a file, one a line, and stops at the first that
// fails. With atomic they become one revision.
func (s *Shell) File(ctx context.Context, file io.Reader, atomic bool) int {
	lines, code := s.readAll(file)
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
		// The first command alone can expect the revision that was seen.
		s.Expect = nil
	}
	return ExitOK
}

// readAll reads and checks all lines before any is run.
func (s *Shell) readAll(file io.Reader) (lines []string, code int) {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, language.MaxLength)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		if language.Blank(line) {
			continue
		}
		if _, err := language.Parse(line); err != nil {
			_, _ = fmt.Fprintf(s.Err, "line %d: ", number)
			return nil, s.wrongStatement(line, err)
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
		return s.failed(lines, err)
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

// failed shows what the API refused, or that it gave no answer.
func (s *Shell) failed(lines []string, err error) int {
	var refused *client.RefusedError
	if !errors.As(err, &refused) {
		_, _ = fmt.Fprintln(s.Err, err)
		if errors.Is(err, client.ErrNotSent) {
			return ExitRefused
		}
		return ExitUnknown
	}
	d := refused.Detail
	if i := d.Statement - 1; d.Column > 0 && i >= 0 && i < len(lines) {
		return s.wrongStatement(lines[i], &language.Error{Column: d.Column, Message: d.Message, Hint: d.Hint})
	}
	_, _ = fmt.Fprintf(s.Err, "%s: %s\n", d.Code, d.Message)
	if d.Changed == "unknown" {
		return ExitUnknown
	}
	return ExitRefused
}

// wrongStatement points at the place in the line.
func (s *Shell) wrongStatement(line string, err error) int {
	_, _ = fmt.Fprintln(s.Err, err)
	var wrong *language.Error
	if errors.As(err, &wrong) {
		_, _ = fmt.Fprintf(s.Err, "  %s\n  %s^\n", line, strings.Repeat(" ", wrong.Column-1))
	}
	return ExitRefused
}
