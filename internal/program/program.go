// Package program provides the main loop of the long-running programs: command line,
// validation of settings, logging to standard output, and signal handling. The settings
// and the process itself come from the caller.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
)

// Program describes a long-running program; Main runs it.
type Program struct {
	Name string
	Help string
	// Check reads and validates the settings file at path and returns the function
	// that starts the process with them. It also runs for --check and on SIGHUP,
	// where start is not called.
	Check func(path string) (start func(log hclog.Logger) (Running, error), err error)
	// LogBuffer bounds the log lines that wait to be written, in bytes;
	// DefaultLogBuffer if zero or negative.
	LogBuffer int
}

// Running is a process that was started, with the method that ends it.
type Running interface {
	// Shutdown ends the process gracefully; an error means that work was cut off.
	Shutdown(ctx context.Context) error
}

// Checked builds a function for Program.Check from two functions and calls neither: load
// reads and validates the settings, start starts a process with them.
func Checked[S any, P Running](load func(path string) (S, error), start func(S, hclog.Logger) (P, error)) func(string) (func(hclog.Logger) (Running, error), error) {
	return func(path string) (func(hclog.Logger) (Running, error), error) {
		s, err := load(path)
		if err != nil {
			return nil, err
		}
		return func(log hclog.Logger) (Running, error) { return start(s, log) }, nil
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
	file := run.Flag("config", "TOML file with the settings.").Required().String()
	check := run.Flag("check", "Validate the settings and exit.").Bool()
	level := run.Flag("log-level", "Lowest level that is logged.").Default("info").Enum("trace", "debug", "info", "warn", "error")
	version := app.Command("version", "Print the version.")
	switch kingpin.MustParse(app.Parse(args)) {
	case version.FullCommand():
		fmt.Println(Version())
		return exitOK
	default:
		return p.run(*file, *check, *level)
	}
}

// run starts the process, shuts it down on SIGTERM or SIGINT, and returns the exit
// code. During the shutdown SIGTERM and SIGHUP have no effect; SIGINT kills the process.
func (p Program) run(file string, check bool, level string) int {
	terminate, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(terminate)
	defer signal.Stop(hangup)
	start, err := p.Check(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are good")
		return exitOK
	}
	lines := newLineWriter(os.Stdout, p.logBuffer())
	defer lines.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: p.Name, Level: hclog.LevelFromString(level), JSONFormat: true, Output: lines})
	running, err := start(log)
	if err != nil {
		log.Error("start failed", "error", err)
		return exitFailed
	}
	log.Info("started", "version", Version())
	p.wait(terminate, hangup, file, log)
	signal.Reset(os.Interrupt)
	log.Info("shutting down")
	if err := running.Shutdown(context.Background()); err != nil {
		log.Error("shutdown incomplete", "error", err)
		return exitFailed
	}
	log.Info("ended")
	return exitOK
}

// wait returns on a signal to terminate. On SIGHUP it validates the settings file again and
// logs the result; the running process keeps its settings until the next start.
func (p Program) wait(terminate, hangup <-chan os.Signal, file string, log hclog.Logger) {
	for {
		select {
		case <-terminate:
			return
		case <-hangup:
		}
		if _, err := p.Check(file); err != nil {
			log.Error("settings file is invalid, the next start will fail", "file", file, "error", err)
			continue
		}
		log.Info("settings file is valid, it takes effect at the next start", "file", file)
	}
}

func (p Program) logBuffer() int {
	if p.LogBuffer > 0 {
		return p.LogBuffer
	}
	return DefaultLogBuffer
}

// Version returns the module version that the build recorded, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
