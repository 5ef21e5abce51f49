package capacity

import "testing"

// BenchmarkIdle runs the idle measurement, for CPU profiles of the recurring work.
func BenchmarkIdle(b *testing.B) {
	for range b.N {
		if _, err := idleCost(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream compares 20 concurrent streams of 100 tokens through entry and sidecars
// with the same streams read from the engine directly. The engine's steps determine the
// time of an operation; the processor time per token shows what entry and sidecars add.
func BenchmarkStream(b *testing.B) {
	const tokens = 100
	r, err := newRig(2)
	if err != nil {
		b.Fatal(err)
	}
	defer r.close()
	for name, run := range map[string]func(int) error{"direct": direct, "through entry and sidecars": r.run} {
		b.Run(name, func(b *testing.B) {
			before := cpuTime()
			for range b.N {
				if err := run(tokens); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(microseconds(cpuTime()-before)/float64(b.N*rigSlots*tokens), "µs-cpu/token")
		})
	}
}

// BenchmarkFirstToken runs requests of one token, one after the other, and measures the
// latency of a request through entry and sidecars, including the engine's step.
func BenchmarkFirstToken(b *testing.B) {
	r, err := newRig(2)
	if err != nil {
		b.Fatal(err)
	}
	defer r.close()
	for range b.N {
		if refusal := r.entry.Serve(b.Context(), newRequest(rigModel, 1), discardSink{}); refusal != nil {
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
