package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/ratesim"
)

// addRates adds the rates command.
func addRates(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("rates", "Measure the rate policies in a simulation of entries and the links between them.")
	seeds := command.Flag("seeds", "Number of runs of each scenario, each with another seed.").Default("3").Int()
	parallel := command.Flag("parallel", "Number of concurrent runs.").Default("4").Int()
	asJSON := command.Flag("json", "Print one JSON array.").Bool()
	commands[command.FullCommand()] = func(context.Context) error {
		reports, err := ratesim.RunAll(ratesim.Scenarios(*seeds), *parallel)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(os.Stdout).Encode(reports)
		}
		return ratesim.WriteTable(os.Stdout, reports)
	}
}
