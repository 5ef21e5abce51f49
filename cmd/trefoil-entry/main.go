// Trefoil-entry is the process that callers reach.
package main

import (
	"os"

	"github.com/trefoilwalk/trefoilwalk/internal/process"
)

func main() {
	os.Exit(process.EntryProgram().Main(os.Args[1:]))
}
