package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/soak"
)

// addSoak adds the soak command. It fails if any check of any seed failed.
func addSoak(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("soak", "Run gateway processes against stand-ins, inject faults by a seeded plan, and check what callers and upstreams observe.")
	gateway := command.Flag("gateway", "Path of the trefoil-gateway program.").Required().ExistingFile()
	seed := command.Flag("seed", "Random seed of the faults; the first one if --seeds is above 1.").Default("1").Uint64()
	seeds := command.Flag("seeds", "Number of consecutive seeds to run, one after the other.").Default("1").Uint64()
	duration := command.Flag("duration", "Time during which faults are injected, for each seed.").Default("20s").Duration()
	gateways := command.Flag("gateways", "Number of gateway processes.").Default("3").Int()
	callers := command.Flag("callers", "Number of concurrent callers.").Default("24").Int()
	evacuation := command.Flag("evacuation", "Evacuate a zone for the duration, beside restarts, in place of the other faults.").Bool()
	asJSON := command.Flag("json", "Print the full reports as JSON.").Bool()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		failures := 0
		for n := *seed; n < *seed+*seeds; n++ {
			report, err := soakOnce(ctx, soak.Options{Gateway: *gateway, Seed: n, Duration: *duration, Gateways: *gateways, Callers: *callers, Evacuation: *evacuation}, *asJSON)
			if err != nil {
				return fmt.Errorf("seed %d: %w", n, err)
			}
			failures += len(report.Broken)
		}
		if failures > 0 {
			return fmt.Errorf("%d checks failed", failures)
		}
		return nil
	}
}

// soakOnce runs one seed and keeps the logs of the gateways if it failed.
func soakOnce(ctx context.Context, o soak.Options, asJSON bool) (soak.Report, error) {
	dir, err := os.MkdirTemp("", "trefoil-soak-")
	if err != nil {
		return soak.Report{}, err
	}
	o.Dir = dir
	began := time.Now()
	report, err := soak.Run(ctx, o)
	if err == nil && len(report.Broken) == 0 {
		err = os.RemoveAll(dir)
	} else {
		fmt.Printf("seed %d: logs are in %s\n", o.Seed, dir)
	}
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return report, encoder.Encode(report)
	}
	fmt.Printf("seed %d: %d faults in %v, outcomes %v, last visit of an evacuated zone after %v, failed checks %v\n", o.Seed, len(report.Faults), time.Since(began).Round(time.Second), report.Outcomes, report.LastVisit.Round(time.Millisecond), report.Broken)
	return report, err
}
