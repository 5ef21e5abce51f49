package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/quickstart"
)

// Rates of the quickstart's client accounts, which cover its load, and the time limit
// of the load.
const (
	quickstartRequests = 20.0 // per second
	quickstartHeadroom = 4.0
	quickstartBurst    = 10 * time.Second
	quickstartTimeout  = 2 * time.Minute
)

var errQuickstart = errors.New("quickstart: at least one check failed")

func addQuickstart(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("quickstart", "Start a small fleet and send it a short mixed load.")
	stay := command.Flag("stay", "Keep the fleet running after the load, until interrupted.").Bool()
	asJSON := command.Flag("json", "Print one JSON object at the end and nothing else.").Bool()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		return runQuickstart(ctx, *stay, *asJSON)
	}
}

func runQuickstart(ctx context.Context, stay, asJSON bool) error {
	w, err := fleet.FindWorkload(fleet.Wireworks)
	if err != nil {
		return err
	}
	w.SetRates(quickstartRequests, quickstartHeadroom, quickstartBurst)
	progress := io.Writer(os.Stdout)
	if asJSON {
		progress = io.Discard
	}
	fmt.Fprintln(progress, "Starting the fleet ...")
	f, err := fleet.Start(ctx, fleet.Options{Workload: w, Policy: fleet.DefaultPolicy})
	if err != nil {
		return err
	}
	defer f.Close()
	loadCtx, cancel := context.WithTimeout(ctx, quickstartTimeout)
	defer cancel()
	summary := quickstart.Run(loadCtx, f)
	printSummary(progress, summary)
	if stay {
		printUsage(progress, f)
		<-ctx.Done()
	}
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(summary); err != nil {
			return err
		}
	}
	if !summary.OK {
		return errQuickstart
	}
	return nil
}

func printSummary(w io.Writer, s quickstart.Summary) {
	fmt.Fprintf(w, "Fleet: %d availability zones, %d entries, %d engines, %d services, one sidecar per engine and service.\n",
		s.Zones, s.Entries, s.Engines, s.Services)
	rows := []struct {
		name   string
		counts quickstart.Counts
	}{
		{"streamed completions", s.Streamed},
		{"unstreamed completions", s.Whole},
		{"plain calls", s.Calls},
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%-21s %d of %d got the complete answer to their own request\n", row.name, row.counts.Correct, row.counts.Sent)
	}
	fmt.Fprintf(w, "%-21s %d\n", "retried after refusal", s.Repeated)
	fmt.Fprintf(w, "%-21s %d\n", "keys seen upstream", s.KeysSeen)
	fmt.Fprintf(w, "%-21s %d requests\n", "holding engine memory", s.Held)
	fmt.Fprintf(w, "%-21s %d ms\n", "time taken", s.TookMS)
	for _, wrong := range s.Wrong {
		fmt.Fprintln(w, "wrong:", wrong)
	}
}

// printUsage prints example commands for the running fleet.
func printUsage(w io.Writer, f *fleet.Fleet) {
	account := f.Workload.Accounts[0]
	fmt.Fprintln(w, "\nThe fleet keeps running until it is interrupted. Send a request:")
	fmt.Fprintf(w, "\n  curl -N %s/v1/completions -H 'Authorization: Bearer %s' \\\n", f.Entries[0].URL, account.Key)
	fmt.Fprintf(w, "    -d '{\"model\":\"%s\",\"prompt\":\"warp over weft\",\"max_tokens\":20,\"stream\":true}'\n", f.Workload.Model)
	fmt.Fprintf(w, "\n  curl %s%scoils -H 'Authorization: Bearer %s'\n", f.Entries[1].URL, f.Workload.RepeatablePath, account.Key)
	fmt.Fprintln(w, "\nQuery or change the fleet as an operator:")
	fmt.Fprintf(w, "\n  echo %s > operator.key\n", fleet.OperatorKey)
	fmt.Fprintf(w, "  printf 'address = \"%s\"\\nkey_file = \"operator.key\"\\nplain_text = true\\n' > trefoilctl.toml\n", f.Entries[0].OperatorAddr)
	fmt.Fprintln(w, "  go run ./cmd/trefoilctl \"upstreams where role = decode order by name\"")
	fmt.Fprintf(w, "  go run ./cmd/trefoilctl --wait 5s \"set account %s weight 2\"\n", account.ID)
}
