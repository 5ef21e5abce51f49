package caller

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// errReader fails with an error, as a body does that does not arrive.
type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// TestRefusedRepeats guards against a call with an idempotency key, which may repeat one that
// ran, that is refused as not run, in the body or by the status, without the server, which
// knows its claim.
func TestRefusedRepeats(t *testing.T) {
	for _, c := range []struct {
		name   string
		drain  bool
		held   int64
		key    string
		target string
		body   io.Reader
		// served is set if the server must get the call, with the refusal.
		served    bool
		code, ran string
	}{
		{name: "draining", drain: true, key: "fee-7", served: true, code: "draining", ran: "unknown"},
		{name: "draining, no idempotency key", drain: true, code: "draining", ran: "no"},
		{name: "draining, a model", drain: true, key: "fee-7", target: PathCompletions, code: "draining", ran: "no"},
		{name: "draining, no body", drain: true, key: "fee-7", body: errReader{errors.New("reset")}, code: "malformed", ran: "unknown"},
		{name: "body too large", key: "fee-7", body: strings.NewReader(strings.Repeat("x", 2000)), code: "too_large", ran: "unknown"},
		{name: "body too large, no idempotency key", body: strings.NewReader(strings.Repeat("x", 2000)), code: "too_large", ran: "no"},
		{name: "body too slow", key: "fee-7", body: errReader{os.ErrDeadlineExceeded}, code: "too_slow", ran: "unknown"},
		{name: "body broken", key: "fee-7", body: errReader{errors.New("reset")}, code: "malformed", ran: "unknown"},
		{name: "too many bodies", key: "fee-7", held: 1, code: "over_capacity", ran: "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := &fakeServer{serve: func(_ context.Context, in contract.Incoming, _ contract.Sink) *contract.Refusal {
				return in.Refused.MaybeRan()
			}}
			h := NewHandler(server, Limits{BodyBytes: 1024, HeldBytes: c.held}, hclog.NewNullLogger())
			h.SetReady()
			if c.drain {
				h.Drain()
			}
			if c.body == nil {
				c.body = strings.NewReader("amount 5")
			}
			if c.target == "" {
				c.target = "/fees/certificate"
			}
			r := httptest.NewRequest("POST", c.target, c.body)
			r.Header.Set("Authorization", "Bearer secret-key-123")
			if c.key != "" {
				r.Header.Set("Idempotency-Key", c.key)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			for _, want := range []string{`"code":"` + c.code + `"`, `"ran":"` + c.ran + `"`} {
				if !strings.Contains(w.Body.String(), want) {
					t.Errorf("%s has no %s", w.Body.String(), want)
				}
			}
			if c.ran != "no" && contract.StatusSaysNotRun(w.Code) {
				t.Errorf("status %d says that the call has not run, which is not known", w.Code)
			}
			if served := len(server.got) == 1 && server.got[0].Refused != nil; served != c.served || len(server.got) == 1 && !served {
				t.Errorf("served %+v, want %v", server.got, c.served)
			}
			if held := h.bodies.Held(); held != 0 {
				t.Errorf("%d bytes still held", held)
			}
		})
	}
}
