package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// logBuffer collects log lines in JSON.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// text returns all that was logged.
func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// eventsOf returns the events logged for a request, and how many of them were logged
// later than they happened.
func (b *logBuffer) eventsOf(t *testing.T, request string) (events []string, earlier int) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		var l struct {
			Message string `json:"@message"`
			Request string `json:"request"`
			At      string `json:"at"`
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		if l.Request == request {
			events = append(events, l.Message)
		}
		if l.Request == request && l.At != "" {
			earlier++
		}
	}
	return events, earlier
}

// TestSampledRequests checks that requests above the sampling rate are logged only if
// they fail, and then with all of their lines.
func TestSampledRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		busy       bool
		answer     answer
		code       contract.Code
		want       string
		earlier    int
		sampledOut uint64
	}{
		{"within the rate", false, success, "", "request_admitted call_sent request_ended", 0, 0},
		{"busy, answered", true, success, "", "", 0, 1},
		{"busy, failed", true, broken, contract.CodeUpstreamFailed, "request_admitted call_sent attempt_failed request_ended", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet()
				out := &logBuffer{}
				f.log = hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true})
				g := f.start(t, "g1")
				defer g.Close()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if c.busy {
					for g.sampler.allow(g.clock.Now()) {
					}
				}
				f.runners.queue("call", c.answer)
				m := plainMessage("/once/1")
				m.ID = "sampled"
				checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), c.code, contract.RanUnknown)
				synctest.Wait()
				events, earlier := out.eventsOf(t, "sampled")
				if got := strings.Join(events, " "); got != c.want || earlier != c.earlier {
					t.Errorf("%q with %d earlier lines, want %q with %d", got, earlier, c.want, c.earlier)
				}
				if got := g.metrics.Snapshot(time.Now()).SampledOut; got != c.sampledOut {
					t.Errorf("%d requests counted as not logged, want %d", got, c.sampledOut)
				}
			})
		})
	}
}
