package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// TestResumeWaitsForRoom checks that a broken stream whose objective is already missed
// still waits for room at an engine, but no longer than its caller does.
func TestResumeWaitsForRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		full int
		body string
		code contract.Code
	}{
		{"room comes back in time", 20, "1 2 3 4 5 ", ""},
		{"room does not come back", 1000, "1 2 ", contract.CodeStreamBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				lateBreak := brokenAfterTwo
				lateBreak.takes = 2 * time.Second
				f.runners.queue("stream", lateBreak)
				time.AfterFunc(time.Second, func() {
					for range c.full {
						f.runners.queue("reserve", full)
					}
				})
				caller := &callerSink{}
				began := time.Now()
				refusal := g.Forward(context.Background(), testMessage("/resumable/1"), caller)
				checkRefusal(t, refusal, c.code, contract.RanYes)
				if caller.body != c.body {
					t.Errorf("the caller got %q, want %q", caller.body, c.body)
				}
				if took := time.Since(began); took > 2*time.Second+testGiveUp {
					t.Errorf("the call took %v", took)
				}
			})
		})
	}
}
