// Command trefoil-burn reports how fast the service levels of a fleet burn, from
// the counts of its entries.
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

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil-burn:", err)
		os.Exit(1)
	}
}

// run reads the sources and writes the report.
func run(ctx context.Context, args []string, out io.Writer) error {
	app := kingpin.New("trefoil-burn", "Report the burn of service levels.")
	app.HelpFlag.Short('h')
	app.Version(version)
	report := app.Command("report", "Read entries or saved files and report.").Default()
	asJSON := report.Flag("json", "Print one JSON object.").Bool()
	html := report.Flag("html", "Print one HTML page with plots.").Bool()
	config := report.Flag("config", "The TOML file with the settings; flags go before it.").String()
	check := report.Flag("check", "Read and check the settings, then exit.").Bool()
	keyFile := report.Flag("key-file", "File with an operator's key.").String()
	timeout := report.Flag("timeout", "Longest wait for all sources; 5s unless the settings say so.").Duration()
	latency := report.Flag("latency-goal", "Share of requests that must meet a latency target; 0.95 unless the settings say so.").Float64()
	answered := report.Flag("answer-goal", "Share of requests within their rate that must be answered; 0.999 unless the settings say so.").Float64()
	sources := report.Arg("source", "URL of an entry's operators' listener or a gateway's /metrics, or a file saved from /debug/vars or /metrics.").Strings()
	app.Command("version", "Print the version.")
	chosen, err := app.Parse(args)
	if err != nil {
		return err
	}
	if chosen != report.FullCommand() {
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
		return errors.New("name at least one source, or a --config file that does")
	}
	s.KeyFile = cmp.Or(*keyFile, s.KeyFile)
	wait := cmp.Or(*timeout, s.Timeout.Duration)
	key, err := readKey(s.KeyFile)
	if err != nil {
		return err
	}
	goals := burn.Goals{Latency: cmp.Or(*latency, s.LatencyGoal), NotRefused: cmp.Or(*answered, s.AnswerGoal)}
	if err := goals.Validate(); err != nil {
		return err
	}
	source := burnstats.Source{Client: &http.Client{Timeout: wait}, Key: key}
	snapshots, silent := source.ReadAll(ctx, s.Sources, wait)
	return write(out, burn.Evaluate(snapshots, silent, goals), *asJSON, *html)
}

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

func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	key, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("operator's key: %w", err)
	}
	return strings.TrimSpace(string(key)), nil
}
