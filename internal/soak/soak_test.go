package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions lists seeds that failed once, each with its cause.
var regressions = []uint64{
	// With 24 callers and 20 s: one crash cut several equal lookups, which were quarantined.
	4203,
}

// TestSoak runs a few seeds for some seconds each.
func TestSoak(t *testing.T) {
	runSeeds(t, append([]uint64{2, 3, 22, 24}, regressions...), Options{Duration: 4 * time.Second, Gateways: 3, Callers: 8})
}

// buildGateway builds the gateway program and returns its path.
func buildGateway(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "trefoil-gateway")
	build := exec.Command("go", "build", "-o", program, "../../cmd/trefoil-gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// runSeeds runs seeds against the built gateway program. The time limit for recovery is far
// above the users' requirement, so that a slow machine does not fail the test.
func runSeeds(t *testing.T, seeds []uint64, o Options) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	o.Gateway = buildGateway(t)
	for _, seed := range seeds {
		o.Seed, o.Dir, o.RecoverWithin = seed, t.TempDir(), 2*time.Minute
		report, err := Run(t.Context(), o)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, b := range report.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if report.Outcomes["once 200"] == 0 || report.Outcomes["resumable 200"] == 0 {
			t.Errorf("seed %d: a kind of request was never served: %v", seed, report.Outcomes)
		}
	}
}
