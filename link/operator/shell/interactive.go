package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/chzyer/readline"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
)

// Commands of the interactive terminal, which are not part of the language.
const (
	wordHelp = "help"
	wordExit = "exit"
)

// RunInteractive runs statements from a terminal until it is closed, and returns the
// exit code; a failed statement does not change it. History is kept in memory
// only.
func (s *Shell) RunInteractive(ctx context.Context) int {
	terminal, err := readline.NewEx(&readline.Config{
		Prompt:          "trefoil> ",
		AutoComplete:    completer{},
		InterruptPrompt: "^C",
		EOFPrompt:       wordExit,
	})
	if err != nil {
		_, _ = fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	defer func() { _ = terminal.Close() }()
	for {
		line, err := terminal.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			continue
		case errors.Is(err, io.EOF):
			return ExitOK
		case err != nil:
			_, _ = fmt.Fprintln(s.Err, err)
			return ExitUsage
		}
		if s.runInteractive(ctx, strings.TrimSpace(line)) {
			return ExitOK
		}
	}
}

// runInteractive runs a line from the terminal and reports whether the line ends
// the session.
func (s *Shell) runInteractive(ctx context.Context, line string) (end bool) {
	switch line {
	case wordExit:
		return true
	case wordHelp:
		s.PrintHelp()
	default:
		s.RunLine(ctx, line)
	}
	return false
}

// PrintHelp prints the queries, commands and options of the language.
func (s *Shell) PrintHelp() {
	tabs := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tabs, "Queries: SUBJECT [where COLUMN = VALUE and …] [order by COLUMN [desc], …] [limit N]")
	for _, subject := range operator.Subjects() {
		var columns []string
		for _, c := range operator.ColumnsOf(subject) {
			columns = append(columns, c.Name)
		}
		_, _ = fmt.Fprintf(tabs, "  %s\t%s\n", subject, strings.Join(columns, " "))
	}
	_, _ = fmt.Fprintln(tabs, "Commands:")
	for _, form := range language.Usages() {
		_, _ = fmt.Fprintf(tabs, "  %s\t%s\n", form.Usage, form.Help)
		if len(form.Fields) > 0 {
			_, _ = fmt.Fprintf(tabs, "  \tvalues: %s\n", strings.Join(form.Fields, " "))
		}
	}
	_, _ = fmt.Fprintln(tabs, "Options of commands:")
	for _, option := range language.Options() {
		_, _ = fmt.Fprintf(tabs, "  %s\t%s\n", option.Usage, option.Help)
	}
	_ = tabs.Flush()
}

// completer adapts language.Complete to the terminal library.
type completer struct{}

// Do implements readline.AutoCompleter.
func (completer) Do(line []rune, pos int) (suffixes [][]rune, length int) {
	unfinished, words := language.Complete(string(line[:pos]))
	for _, word := range words {
		suffixes = append(suffixes, []rune(strings.TrimPrefix(word, unfinished)+" "))
	}
	return suffixes, len([]rune(unfinished))
}
