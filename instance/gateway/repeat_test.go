package gateway

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TestFreedHandleNamesItsEngine checks that a KV cache is freed at the engine that keeps it,
// by its identifier, since another one may have its address.
func TestFreedHandleNamesItsEngine(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("stream", answer{result: notSent.result}, answer{result: notSent.result}, answer{result: notSent.result}, answer{result: notSent.result})
		f.runners.queue("reserve", answer{result: success.result}, full, full, full)
		refusal := g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{})
		checkRefusal(t, refusal, contract.CodeOverCapacity, contract.RanNo)
		synctest.Wait()
		freed := 0
		for _, call := range f.runners.allCalls() {
			switch call {
			case "free@p1", "free@p2":
				freed++
			case "free@":
				t.Error("a KV cache was freed without the engine's identifier")
			}
		}
		if freed == 0 {
			t.Errorf("no KV cache was freed: %v", f.runners.allCalls())
		}
	})
}

// TestOnceIsNotRepeated checks that a request that may run once is sent again only if it has
// not run, also where its route allows more than one attempt.
func TestOnceIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		first answer
		calls int
		code  contract.Code
		ran   contract.Ran
	}{
		{"no answer", broken, 1, contract.CodeUpstreamFailed, contract.RanUnknown},
		{"rejected", full, 2, "", contract.RanNo},
		{"not sent", notSent, 2, "", contract.RanNo},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				f.registry.change(func() {
					f.registry.config = testConfig(2)
					for _, r := range f.registry.config.Hosts["h"] {
						r.MaxAttempts = 2
					}
				})
				synctest.Wait()
				f.runners.queue("call", c.first)
				checkRefusal(t, g.Forward(context.Background(), plainMessage("/once/1"), &callerSink{}), c.code, c.ran)
				if n := f.runners.count("call"); n != c.calls {
					t.Errorf("sent %d times, want %d", n, c.calls)
				}
			})
		})
	}
}
