// Command trefoil-dev holds development tools: it starts a small fleet with stand-ins
// for the systems around it, runs a stand-in as its own process, compares policies,
// measures capacity, and runs soak tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("trefoil-dev", "Development tools of trefoilwalk.")
	app.HelpFlag.Short('h')
	commands := map[string]func(context.Context) error{}
	addQuickstart(app, commands)
	addExperiment(app, commands)
	addStandIns(app, commands)
	addCapacity(app, commands)
	addRates(app, commands)
	addSoak(app, commands)
	commands[app.Command("version", "Print the version.").FullCommand()] = printVersion
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[selected](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil-dev:", err)
		os.Exit(1)
	}
}

func printVersion(context.Context) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("trefoil-dev", version)
	return nil
}
