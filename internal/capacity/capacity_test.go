package capacity

import "testing"

// BenchmarkIdle is an idle entry with two sidecars for a second; its profile
// shows what costs.
func BenchmarkIdle(b *testing.B) {
	for range b.N {
		if _, err := idleCost(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequests is requests of several lengths.
func BenchmarkRequests(b *testing.B) {
	for range b.N {
		if _, err := requestCost(); err != nil {
			b.Fatal(err)
		}
	}
}

func TestFit(t *testing.T) {
	s := fit("line", "x", "y", []Point{{1, 3}, {2, 5}, {3, 7}})
	if s.Base < 0.999 || s.Base > 1.001 || s.PerX < 1.999 || s.PerX > 2.001 || s.Error > 1e-6 {
		t.Errorf("got %v", s)
	}
}
