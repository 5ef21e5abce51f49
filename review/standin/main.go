// Command standin runs the cases of the review: it starts gateways as separate processes on
// loopback addresses, with stand-ins of the platform, its runners and its clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"drain":       drain,
	"descriptors": descriptors,
	"routes":      addRoutes,
}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs the case named by the first argument and writes the record to the second.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	_ = rec.file.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
