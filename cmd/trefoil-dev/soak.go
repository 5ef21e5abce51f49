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

// addSoak adds the command that soaks gateways in faults.
func addSoak(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("soak", "Run gateways as processes against stand-ins, break things by a seeded plan, and check what callers and upstreams see.")
	gateway := command.Flag("gateway", "The trefoil-gateway program.").Required().ExistingFile()
	seed := command.Flag("seed", "Decides the plan of faults.").Default("1").Uint64()
	seeds := command.Flag("seeds", "The number of seeds to play, one after the other.").Default("1").Uint64()
	duration := command.Flag("duration", "How long faults go on for each seed.").Default("20s").Duration()
	gateways := command.Flag("gateways", "Gateway processes.").Default("3").Int()
	callers := command.Flag("callers", "Callers.").Default("24").Int()
	asJSON := command.Flag("json", "Print whole reports as JSON.").Bool()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		broken := 0
		for n := *seed; n < *seed+*seeds; n++ {
			report, err := soakOnce(ctx, soak.Options{Gateway: *gateway, Seed: n, Duration: *duration, Gateways: *gateways, Callers: *callers}, *asJSON)
			if err != nil {
				return fmt.Errorf("seed %d: %w", n, err)
			}
			broken += len(report.Broken)
		}
		if broken > 0 {
			return fmt.Errorf("%d promises were broken", broken)
		}
		return nil
	}
}

// soakOnce plays one seed. The logs of one that failed are kept.
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
	fmt.Printf("seed %d: %d faults in %v, outcomes %v, broken %v\n", o.Seed, len(report.Faults), time.Since(began).Round(time.Second), report.Outcomes, report.Broken)
	return report, err
}
