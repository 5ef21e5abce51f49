package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*lab) (bool, error){
	"restart":   restartCase,
	"withdrawn": withdrawnCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		return exitNotRun
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		l.write("not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
