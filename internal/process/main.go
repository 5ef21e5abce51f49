package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

// Program is what the main functions of the long-running programs share: their
// command line, the check of their settings, and the shutdown on a signal.
type Program struct {
	Name string
	Help string
	// Check reads and checks the settings at path and returns what starts the
	// process.
	Check func(path string) (start func(log hclog.Logger) (Running, error), err error)
}

// Running is a started process.
type Running interface {
	// Shutdown ends it gracefully.
	Shutdown(ctx context.Context) error
}

// EntryProgram is trefoil-entry.
func EntryProgram() Program {
	return Program{
		Name:  "trefoil-entry",
		Help:  "Routes callers' requests to model engines and plain services.",
		Check: checked(settings.LoadEntry, StartEntry),
	}
}

// SidecarProgram is trefoil-sidecar.
func SidecarProgram() Program {
	return Program{
		Name:  "trefoil-sidecar",
		Help:  "Grants and runs work at the upstream beside it.",
		Check: checked(settings.LoadSidecar, StartSidecar),
	}
}

// checked makes a Program's Check from what loads settings and what starts a
// process with them.
func checked[S any, P Running](load func(path string) (S, error), start func(S, Options) (P, error)) func(string) (func(hclog.Logger) (Running, error), error) {
	return func(path string) (func(hclog.Logger) (Running, error), error) {
		s, err := load(path)
		if err != nil {
			return nil, err
		}
		return func(log hclog.Logger) (Running, error) { return start(s, Options{Log: log}) }, nil
	}
}

// Exit codes of the programs.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Main runs the program and returns its exit code.
func (p Program) Main(args []string) int {
	app := kingpin.New(p.Name, p.Help)
	app.Version(Version())
	app.VersionFlag.Short('v')
	run := app.Command("run", "Run the process.").Default()
	file := run.Flag("config", "The TOML file with the settings.").Required().String()
	check := run.Flag("check", "Read and check the settings, then exit.").Bool()
	level := run.Flag("log-level", "The least level that is logged.").Default("info").Enum("trace", "debug", "info", "warn", "error")
	version := app.Command("version", "Print the version.")
	switch kingpin.MustParse(app.Parse(args)) {
	case version.FullCommand():
		fmt.Println(Version())
		return exitOK
	default:
		return p.run(*file, *check, *level)
	}
}

// run starts the process and waits for a signal.
func (p Program) run(file string, check bool, level string) int {
	start, err := p.Check(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are good")
		return exitOK
	}
	log := hclog.New(&hclog.LoggerOptions{Name: p.Name, Level: hclog.LevelFromString(level), JSONFormat: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	running, err := start(log)
	if err != nil {
		log.Error("not started", "error", err)
		return exitFailed
	}
	log.Info("started", "version", Version())
	<-ctx.Done()
	stop()
	log.Info("shutting down")
	if err := running.Shutdown(context.Background()); err != nil {
		log.Error("shutdown was cut short", "error", err)
		return exitFailed
	}
	log.Info("ended")
	return exitOK
}

// Version gives the module's version as the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
