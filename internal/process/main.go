package process

import (
	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/internal/program"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

// EntryProgram returns the command trefoil-entry.
func EntryProgram() program.Program {
	return program.Program{
		Name:  "trefoil-entry",
		Help:  "Routes callers' requests to model engines and plain services.",
		Check: program.Checked(settings.LoadEntry, withLog(StartEntry)),
	}
}

// SidecarProgram returns the command trefoil-sidecar.
func SidecarProgram() program.Program {
	return program.Program{
		Name:  "trefoil-sidecar",
		Help:  "Admits and runs requests at the upstream beside it.",
		Check: program.Checked(settings.LoadSidecar, withLog(StartSidecar)),
	}
}

// withLog adapts a start function to one whose only option is the log.
func withLog[S, P any](start func(S, Options) (P, error)) func(S, hclog.Logger) (P, error) {
	return func(s S, log hclog.Logger) (P, error) { return start(s, Options{Log: log}) }
}
