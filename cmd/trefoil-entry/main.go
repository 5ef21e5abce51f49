// Command trefoil-entry runs an entry: it accepts callers' requests in a fleet whose
// upstreams have sidecars.
package main

import (
	"os"

	"github.com/trefoilwalk/trefoilwalk/internal/process"
)

func main() {
	os.Exit(process.EntryProgram().Main(os.Args[1:]))
}
