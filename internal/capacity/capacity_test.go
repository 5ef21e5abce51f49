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

// BenchmarkStream compares 20 streams of 100 tokens at a time through entry and
// sidecars with the same taken from the stand-in engine directly. The time of an
// operation is the engine's; what is added is in the processor time a token.
func BenchmarkStream(b *testing.B) {
	const tokens = 100
	r, err := newRig(2)
	if err != nil {
		b.Fatal(err)
	}
	defer r.close()
	for name, run := range map[string]func(int) error{"direct": direct, "through": r.run} {
		b.Run(name, func(b *testing.B) {
			before := cpu()
			for range b.N {
				if err := run(tokens); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(micros(cpu()-before)/float64(b.N*rigSlots*tokens), "µs-cpu/token")
		})
	}
}

// BenchmarkFirstToken is requests of one token, one after the other: the time that
// entry and sidecars add to a request.
func BenchmarkFirstToken(b *testing.B) {
	r, err := newRig(2)
	if err != nil {
		b.Fatal(err)
	}
	defer r.close()
	for range b.N {
		if refusal := r.entry.Serve(b.Context(), incoming(rigModel, 1), drop{}); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

func TestFit(t *testing.T) {
	s := fit("line", "x", "y", []Point{{1, 3}, {2, 5}, {3, 7}})
	if s.Base < 0.999 || s.Base > 1.001 || s.PerX < 1.999 || s.PerX > 2.001 || s.Error > 1e-6 {
		t.Errorf("got %v", s)
	}
}
