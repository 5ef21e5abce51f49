// Command trefoilctl queries and changes a fleet in the operators' language: one
// statement from its arguments, many from a file, or interactively. It also
// checks a configuration before it is sent, and reconstructs what happened to a request
// from saved logs.
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

// version is set at link time with -ldflags -X.
var version = "development"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	app := kingpin.New("trefoilctl", "Query and change a fleet.")
	app.UsageWriter(os.Stderr).ErrorWriter(os.Stderr)
	app.HelpFlag.Short('h')
	config := app.Flag("config", "TOML file with the settings.").Default("trefoilctl.toml").String()
	check := app.Flag("check", "Validate the settings and exit.").Bool()
	file := app.Flag("file", "Run the statements of a file, one per line; - is standard input.").Short('f').String()
	atomic := app.Flag("atomic", "Apply the commands of the file as one revision, all or none.").Bool()
	asJSON := app.Flag("json", "Print results as JSON.").Bool()
	expect := app.Flag("expect", "Apply a change only if the configuration is at this revision; -1 for any.").Default("-1").Int64()
	dryRun := app.Flag("dry-run", "Validate and print changes without applying them.").Bool()
	wait := app.Flag("wait", "Wait until a change is in force everywhere, at most this long.").Duration()
	against := app.Flag("against", "With check: the file of the configuration in force.").String()
	words := app.Arg("statement", "A statement, or help, or version, or check FILE, or explain REQUEST-ID FILE...; none starts an interactive session.").Strings()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	if len(*words) > 0 && (*words)[0] == "explain" {
		return explainRequest((*words)[1:], *asJSON)
	}
	if len(*words) > 0 && (*words)[0] == "check" {
		return checkFile(os.Stdout, os.Stderr, (*words)[1:], *against, *asJSON)
	}
	if *against != "" {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl: --against is for check FILE only")
		return shell.ExitUsage
	}
	statement := strings.Join(*words, " ")
	s := &shell.Shell{Out: os.Stdout, Err: os.Stderr, Format: shell.FormatTable, DryRun: *dryRun, Wait: *wait}
	switch statement {
	case "version":
		fmt.Println(version)
		return shell.ExitOK
	case "help":
		s.PrintHelp()
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
		return s.RunLine(ctx, statement)
	default:
		return s.RunInteractive(context.Background())
	}
}

// explainRequest prints what happened to the request args[0] according to the gateway
// logs in the files args[1:].
func explainRequest(args []string, asJSON bool) int {
	if len(args) < 2 {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl: explain needs a request ID and at least one log file: explain REQUEST-ID FILE...")
		return shell.ExitUsage
	}
	if err := explain.Run(os.Stdout, args[0], args[1:], asJSON); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	return shell.ExitOK
}

// runFile runs the statements of a file, or of standard input if name is "-".
func runFile(ctx context.Context, s *shell.Shell, name string, atomic bool) int {
	if name == "-" {
		return s.RunFile(ctx, os.Stdin, atomic)
	}
	file, err := os.Open(name)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "trefoilctl:", err)
		return shell.ExitUsage
	}
	defer func() { _ = file.Close() }()
	return s.RunFile(ctx, file, atomic)
}
