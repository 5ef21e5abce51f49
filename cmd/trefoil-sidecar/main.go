// Trefoil-sidecar is the process beside one upstream.
package main

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/internal/process"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

func main() {
	program := process.Program{
		Name:  "trefoil-sidecar",
		Help:  "Grants and runs work at the upstream beside it.",
		Check: check,
	}
	os.Exit(program.Main(os.Args[1:]))
}

func check(path string) (func(hclog.Logger) (process.Running, error), error) {
	s, err := settings.LoadSidecar(path)
	if err != nil {
		return nil, err
	}
	return func(log hclog.Logger) (process.Running, error) {
		return process.StartSidecar(s, process.Options{Log: log})
	}, nil
}
