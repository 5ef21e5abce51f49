// Command trefoil-burn reports the error budget burn rates of a fleet, computed from
// the counters that its entries and gateways export.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/link/burnpage"
	"github.com/trefoilwalk/trefoilwalk/link/burnstats"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

// version is set at link time with -ldflags -X.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil-burn:", err)
		os.Exit(1)
	}
}

// run parses args, reads all sources and writes the report to out. A source that
// cannot be read is listed in the report and is no error.
func run(ctx context.Context, args []string, out io.Writer) error {
	app := kingpin.New("trefoil-burn", "Report the error budget burn of service levels.")
	app.HelpFlag.Short('h')
	app.Version(version)
	report := app.Command("report", "Read the sources and print a report.").Default()
	asJSON := report.Flag("json", "Print one JSON object.").Bool()
	html := report.Flag("html", "Print one HTML page with plots; takes precedence over --json.").Bool()
	config := report.Flag("config", "TOML file with the settings; flags take precedence over it.").String()
	check := report.Flag("check", "Validate the settings and exit.").Bool()
	keyFile := report.Flag("key-file", "File that holds an operator's key.").String()
	timeout := report.Flag("timeout", "Time limit for reading all sources; default 5s, or the value in the settings file.").Duration()
	latencyGoal := report.Flag("latency-goal", "Share of requests that must meet a latency target, between 0 and 1; default 0.95, or the value in the settings file.").Float64()
	answerGoal := report.Flag("answer-goal", "Share of requests within their rate that must be answered, between 0 and 1; default 0.999, or the value in the settings file.").Float64()
	sources := report.Arg("source", "URL of an entry's operator listener or of a gateway's /metrics, or a file saved from /debug/vars or /metrics.").Strings()
	app.Command("version", "Print the version.")
	selected, err := app.Parse(args)
	if err != nil {
		return err
	}
	if selected != report.FullCommand() {
		_, err := fmt.Fprintln(out, version)
		return err
	}
	s := settings.DefaultBurn()
	if *config != "" {
		if s, err = settings.LoadBurn(*config); err != nil {
			return err
		}
	}
	if *check {
		_, err := fmt.Fprintln(out, "settings are good")
		return err
	}
	if len(*sources) > 0 {
		s.Sources = *sources
	}
	if len(s.Sources) == 0 {
		return errors.New("no source: name at least one as an argument, or set sources in the --config file")
	}
	s.KeyFile = cmp.Or(*keyFile, s.KeyFile)
	limit := cmp.Or(*timeout, s.Timeout.Duration)
	key, err := readKey(s.KeyFile)
	if err != nil {
		return err
	}
	// The answer goal is the share of requests that must not be refused.
	goals := burn.Goals{Latency: cmp.Or(*latencyGoal, s.LatencyGoal), NotRefused: cmp.Or(*answerGoal, s.AnswerGoal)}
	if err := goals.Validate(); err != nil {
		return err
	}
	source := burnstats.Source{Client: &http.Client{Timeout: limit}, Key: key}
	snapshots, unreachable := source.ReadAll(ctx, s.Sources, limit)
	return write(out, burn.Evaluate(snapshots, unreachable, goals), *asJSON, *html)
}

// write prints the report in one form; html takes precedence over asJSON.
func write(out io.Writer, r burn.Report, asJSON, html bool) error {
	switch {
	case html:
		return burnpage.HTML(out, r)
	case asJSON:
		return burnpage.JSON(out, r)
	default:
		return burnpage.Table(out, r)
	}
}

// readKey returns the trimmed content of file, or "" if no file is set.
func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	key, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read operator key file: %w", err)
	}
	return strings.TrimSpace(string(key)), nil
}
