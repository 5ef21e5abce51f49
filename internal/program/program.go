// Package program is what the main functions of the long-running programs share:
// their command line, the check of their settings, logs, and signals.
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

// Program is one long-running program.
type Program struct {
	Name string
	Help string
	// Check reads and checks the settings at path and returns what starts the
	// process.
	Check func(path string) (start func(log hclog.Logger) (Running, error), err error)
	// LogBuffer bounds the log lines that wait to be written, in bytes;
	// DefaultLogBuffer if zero.
	LogBuffer int
}

// Running is a started process.
type Running interface {
	// Shutdown ends it gracefully.
	Shutdown(ctx context.Context) error
}

// Checked makes a Program's Check from what loads settings and what starts a
// process with them.
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
	lines := newLineWriter(os.Stdout, p.logBuffer())
	defer lines.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: p.Name, Level: hclog.LevelFromString(level), JSONFormat: true, Output: lines})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	running, err := start(log)
	if err != nil {
		log.Error("not started", "error", err)
		return exitFailed
	}
	log.Info("started", "version", Version())
	p.wait(ctx, hangup, file, log)
	stop()
	log.Info("shutting down")
	if err := running.Shutdown(context.Background()); err != nil {
		log.Error("shutdown was cut short", "error", err)
		return exitFailed
	}
	log.Info("ended")
	return exitOK
}

// wait returns when the process has to end. On SIGHUP the settings file is
// checked again; what it says holds from the next start on.
func (p Program) wait(ctx context.Context, hangup <-chan os.Signal, file string, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		if _, err := p.Check(file); err != nil {
			log.Error("settings file is wrong, the next start will fail", "file", file, "error", err)
			continue
		}
		log.Info("settings file checked, it holds from the next start on", "file", file)
	}
}

// logBuffer is the room for lines that wait to be written.
func (p Program) logBuffer() int {
	if p.LogBuffer > 0 {
		return p.LogBuffer
	}
	return DefaultLogBuffer
}

// Version gives the module's version as the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
