// Command trefoilctl asks and commands a fleet in the operators' language: one
// statement from its arguments, many from a file, or interactively. It also
// explains from saved logs what happened to a request.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/explain"
	"github.com/trefoilwalk/trefoilwalk/link/operator/shell"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	app := kingpin.New("trefoilctl", "Ask and command a fleet.")
	app.UsageWriter(os.Stderr).ErrorWriter(os.Stderr)
	app.HelpFlag.Short('h')
	config := app.Flag("config", "Settings file.").Default("trefoilctl.toml").String()
	check := app.Flag("check", "Read and check the settings, then exit.").Bool()
	file := app.Flag("file", "Run the statements of a file, one a line; - is standard input.").Short('f').String()
	atomic := app.Flag("atomic", "Make the commands of the file one revision.").Bool()
	asJSON := app.Flag("json", "Show answers as JSON.").Bool()
	expect := app.Flag("expect", "Change only this revision.").Default("-1").Int64()
	dryRun := app.Flag("dry-run", "Check and show changes, and change nothing.").Bool()
	wait := app.Flag("wait", "Return when changes are in force everywhere, or after this time.").Duration()
	words := app.Arg("statement", "A statement, or help, or version, or explain REQUEST-ID FILE...; none starts the terminal.").Strings()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	if len(*words) > 0 && (*words)[0] == "explain" {
		return explainRequest((*words)[1:], *asJSON)
	}
	statement := strings.Join(*words, " ")
	s := &shell.Shell{Out: os.Stdout, Err: os.Stderr, Format: shell.FormatTable, DryRun: *dryRun, Wait: *wait}
	switch statement {
	case "version":
		fmt.Println(version)
		return shell.ExitOK
	case "help":
		s.Help()
		return shell.ExitOK
	}
	if *asJSON {
		s.Format = shell.FormatJSON
	}
	if *expect >= 0 {
		revision := contract.Revision(*expect)
		s.Expect = &revision
	}
	settings, err := shell.ReadSettings(*config)
	if err == nil && !*check {
		s.Runner, err = settings.Client()
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	if *check {
		return shell.ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	switch {
	case *file != "":
		return runFile(ctx, s, *file, *atomic)
	case statement != "":
		return s.Line(ctx, statement)
	default:
		return s.Interactive(context.Background())
	}
}

// explainRequest tells what happened to a request from the logs of gateways.
func explainRequest(args []string, asJSON bool) int {
	if len(args) < 2 {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl: explain REQUEST-ID FILE...")
		return shell.ExitUsage
	}
	if err := explain.Run(os.Stdout, args[0], args[1:], asJSON); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	return shell.ExitOK
}

func runFile(ctx context.Context, s *shell.Shell, name string, atomic bool) int {
	if name == "-" {
		return s.File(ctx, os.Stdin, atomic)
	}
	file, err := os.Open(name)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	defer func() { _ = file.Close() }()
	return s.File(ctx, file, atomic)
}
