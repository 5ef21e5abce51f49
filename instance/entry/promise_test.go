package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestNoFalsePromiseOfService guards against a service's status that tells the caller of a call
// which must not run twice that it has not run: the caller sent it again under another
// idempotency key. A repeat under the same key must not get that status either.
func TestNoFalsePromiseOfService(t *testing.T) {
	const unknown = "unknown (whether it ran), code outcome_unknown"
	for _, status := range []int{408, 421, 429, 503} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, repeatable is %v", status, repeatable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newClaimFixture(t)
					route := w.source.current.Routes["fees"]
					route.Repeatable = repeatable
					w.source.current.Routes["fees"] = route
					w.service.status.Store(int32(status))
					want := unknown
					if repeatable {
						want = "entered"
					}
					for i := range 2 {
						if got := w.send(i, "amount 5"); got != want {
							t.Errorf("entry %d: the caller got %q, want %q", i, got, want)
						}
						time.Sleep(time.Second)
					}
					if ran := w.service.runs.Load(); !repeatable && ran != 1 {
						t.Errorf("ran %d times, want 1", ran)
					}
				})
			})
		}
	}
}
