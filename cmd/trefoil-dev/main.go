// Command trefoil-dev serves development: it brings up a small fleet with
// stand-ins for everything around it, runs a stand-in as its own process, and
// measures policies against one another.
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
	app := kingpin.New("trefoil-dev", "Development programs of trefoilwalk.")
	app.HelpFlag.Short('h')
	commands := map[string]func(context.Context) error{}
	addQuickstart(app, commands)
	addExperiment(app, commands)
	addStandIns(app, commands)
	addCapacity(app, commands)
	addRates(app, commands)
	addSoak(app, commands)
	commands[app.Command("version", "Print the version.").FullCommand()] = printVersion
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[chosen](ctx); err != nil {
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
