// Command standins3 plays cases of an independent review: the project's gateway as separate
// processes, with a platform's store, runners and clients around them on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the outcome of a case: what broke the rule, empty if it held.
type verdict []string

// cases are by name. trouble is false for the same load without the disruption.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){}

func main() {
	os.Exit(play())
}

func play() int {
	program := flag.String("program", "target/trefoil-gateway", "the gateway")
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	logs := flag.Bool("logs", false, "keep the gateways' logs and print where they are")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		return exitNotRun
	}
	l, err := newLab(*program)
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	l.closeOnSignal()
	broken, err := run(l, os.Getenv("TROUBLE") != "0")
	l.close()
	if *logs {
		fmt.Println("logs in", l.dir)
	} else {
		defer func() { _ = os.RemoveAll(l.dir) }()
	}
	for _, b := range broken {
		l.ledger.note("BROKEN  %s", b)
	}
	if err := os.WriteFile(*record, []byte(strings.Join(l.ledger.lines, "\n")+"\n"), 0o600); err != nil {
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Println("cannot run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
