package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/internal/capacity"
)

// addCapacity adds the capacity command.
func addCapacity(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("capacity", "Measure CPU time, memory and traffic of the processes at several sizes and fit a line to each.")
	asJSON := command.Flag("json", "Print one JSON object at the end and nothing else.").Bool()
	commands[command.FullCommand()] = func(context.Context) error { return measureCapacity(*asJSON) }
}

// measureCapacity prints each fitted line as soon as it is measured or, as JSON, all
// of them at the end.
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
