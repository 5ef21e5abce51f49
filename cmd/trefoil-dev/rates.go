package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/ratesim"
)

// addRates adds the measurement of the rate policies' decisions.
func addRates(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("rates", "Measure the rate policies on simulated entries and links.")
	seeds := command.Flag("seeds", "Runs of each scenario.").Default("3").Int()
	atATime := command.Flag("parallel", "Runs at a time.").Default("4").Int()
	asJSON := command.Flag("json", "Print one JSON array.").Bool()
	commands[command.FullCommand()] = func(context.Context) error {
		reports, err := ratesim.RunAll(ratesim.Scenarios(*seeds), *atATime)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(os.Stdout).Encode(reports)
		}
		return ratesim.WriteTable(os.Stdout, reports)
	}
}
