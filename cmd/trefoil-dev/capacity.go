package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/capacity"
)

// addCapacity adds the command that measures what the processes cost.
func addCapacity(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("capacity", "Measure what the processes cost at several sizes, with fits.")
	asJSON := command.Flag("json", "Print one JSON object at the end and nothing else.").Bool()
	commands[command.FullCommand()] = func(context.Context) error { return measureCapacity(*asJSON) }
}

// measureCapacity prints the fits.
func measureCapacity(asJSON bool) error {
	slopes, err := capacity.Measure(func(s capacity.Slope) {
		if !asJSON {
			fmt.Println(s)
		}
	})
	if err != nil || !asJSON {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(slopes)
}
