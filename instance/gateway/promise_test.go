package gateway

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// TestNoFalsePromise guards against an upstream's answer that reaches the caller as a promise
// that the request has not run, although the upstream did not say so: the caller sent it again
// and it ran twice.
func TestNoFalsePromise(t *testing.T) {
	const readCalls, onceCalls = 2, 1
	for _, status := range []int{408, 421, 429, 503} {
		cases := []struct {
			name, path, kind string
			calls            int
			withheld         bool
		}{
			{"a call that must not repeat", "/once/1", "call", onceCalls, true},
			{"a stream that must not repeat", "/stream/1", "stream", onceCalls, true},
			{"a read", "/read/1", "call", onceCalls, false},
			{"a resumable stream", "/resumable/1", "stream", onceCalls, false},
		}
		for _, c := range cases {
			t.Run(strconv.Itoa(status)+" to "+c.name, func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
					unstated := answer{result: runner.Result{Reach: runner.Answered, Status: status}, whole: true}
					f.runners.queue(c.kind, unstated, unstated)
					caller := &callerSink{}
					refusal := g.Forward(context.Background(), testMessage(c.path), caller)
					switch {
					case c.withheld:
						checkRefusal(t, refusal, contract.CodeUpstreamFailed, contract.RanUnknown)
						if refusal != nil && refusal.Repeat {
							t.Error("the caller is invited to repeat the request")
						}
						if caller.status != 0 {
							t.Errorf("the caller got status %d", caller.status)
						}
					case refusal != nil || caller.status != status || caller.body != "body":
						t.Errorf("the caller got %v, status %d and body %q, want the upstream's answer", refusal, caller.status, caller.body)
					}
					want := c.calls
					if status >= 500 && c.path == "/read/1" {
						want = readCalls
					}
					if got := f.runners.count(c.kind); got != want {
						t.Errorf("%d calls, want %d", got, want)
					}
				})
			})
		}
	}
}

// TestWithheldAnswerIsLogged guards against a log in which a request whose answer the caller
// did not get counts as answered, or as not run.
func TestWithheldAnswerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		out := &logBuffer{}
		f.log = hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true})
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.runners.queue("call", answer{result: runner.Result{Reach: runner.Answered, Status: 429}})
		_ = g.Forward(context.Background(), plainMessage("/once/1"), &callerSink{})
		synctest.Wait()
		for _, want := range []string{
			`"@message":"attempt_failed"`, `"reach":"answered"`, `"status":429`,
			`"outcome":"upstream_failed"`, `"ran":"unknown"`, `"reason":"the upstream answered 429 and did not say that it had not run the request"`,
		} {
			if !strings.Contains(out.text(), want) {
				t.Errorf("the log lacks %s:\n%s", want, out.text())
			}
		}
		if strings.Contains(out.text(), `"outcome":"answered"`) {
			t.Errorf("the log counts the request as answered:\n%s", out.text())
		}
	})
}
