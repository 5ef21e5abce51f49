// Command trefoil-sidecar runs the sidecar of one upstream.
package main

import (
	"os"

	"github.com/trefoilwalk/trefoilwalk/internal/process"
)

func main() {
	os.Exit(process.SidecarProgram().Main(os.Args[1:]))
}
