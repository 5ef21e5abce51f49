// Trefoil-entry is the process that callers reach.
package main

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/internal/process"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

func main() {
	program := process.Program{
		Name:  "trefoil-entry",
		Help:  "Routes callers' requests to model engines and plain services.",
		Check: check,
	}
	os.Exit(program.Main(os.Args[1:]))
}

func check(path string) (func(hclog.Logger) (process.Running, error), error) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return nil, err
	}
	return func(log hclog.Logger) (process.Running, error) {
		return process.StartEntry(s, process.Options{Log: log})
	}, nil
}
