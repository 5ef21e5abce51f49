package soak

import "testing"

// TestAddressesDiffer guards against two listeners on one port, of one run or of two that
// run at the same time, which keeps a gateway from starting.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 2 {
		ports, err := newPortRange()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ports.close() }()
		for range rangePorts / 2 {
			addr, err := ports.freeAddr()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Fatalf("%s twice in %d addresses", addr, len(seen)+1)
			}
			seen[addr] = true
		}
	}
}
