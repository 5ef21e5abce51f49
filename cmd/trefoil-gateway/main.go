// Command trefoil-gateway runs a gateway: it accepts callers' requests in a fleet whose
// upstreams register themselves.
package main

import (
	"os"

	"github.com/trefoilwalk/trefoilwalk/platform"
)

func main() {
	os.Exit(platform.Program().Main(os.Args[1:]))
}
