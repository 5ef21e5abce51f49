package upstreamtest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// serviceCase is one fault and the expected outcome of a call. timeout is that of the
// call; 0 means none. ran is how often the service runs the call.
type serviceCase struct {
	name    string
	fault   func(s *service.Service)
	timeout time.Duration
	want    error
	status  int
	ran     int
}

const slowAnswerTime = 200 * time.Millisecond

var serviceCases = []serviceCase{
	{name: "no fault", fault: func(*service.Service) {}, status: http.StatusOK, ran: 1},
	{name: "answer lost", fault: func(s *service.Service) { s.LoseAnswers(service.Always) }, want: link.ErrInterrupted, ran: 1},
	{name: "request lost", fault: func(s *service.Service) { s.LoseRequests(service.Always) }, want: link.ErrInterrupted},
	{name: "down", fault: (*service.Service).Crash, want: link.ErrInterrupted},
	{name: "refuses", fault: func(s *service.Service) { s.Refuse(http.StatusServiceUnavailable) }, status: http.StatusServiceUnavailable},
	{name: "redirects", fault: func(s *service.Service) { s.Refuse(http.StatusTemporaryRedirect) }, status: http.StatusTemporaryRedirect},
	{name: "crashes on the body", fault: func(s *service.Service) { s.CrashOn("7 coils") }, want: link.ErrInterrupted, ran: 1},
	{name: "slow", fault: func(s *service.Service) { s.SetSlow(slowAnswerTime) }, status: http.StatusOK, ran: 1},
	{name: "slower than the caller's timeout", timeout: slowAnswerTime / 4,
		fault: func(s *service.Service) { s.SetSlow(slowAnswerTime) }, want: link.ErrInterrupted, ran: 1},
	{name: "caller gone before the call", timeout: -1, fault: func(*service.Service) {}, want: link.ErrNotSent},
}

var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete}

// RunService runs the suite for link.Service: each fault with each method, since HTTP
// clients resend requests of some methods by themselves. newPair returns a client and
// the stand-in that serves it.
func RunService(t *testing.T, newPair func(t *testing.T) (link.Service, *service.Service)) {
	for _, c := range serviceCases {
		t.Run(c.name, func(t *testing.T) {
			client, standin := newPair(t)
			for n, method := range methods {
				testCall(t, client, standin, c, contract.Attempt(n+1), method)
			}
		})
	}
}

func testCall(t *testing.T, client link.Service, standin *service.Service, c serviceCase, n contract.Attempt, method string) {
	t.Helper()
	standin.Restart()
	// A call before the fault leaves a connection that the client may reuse.
	check(t, client.CheckHealth(t.Context()), nil)
	c.fault(standin)
	defer clearFaults(standin)
	ctx, cancel := t.Context(), context.CancelFunc(func() {})
	if c.timeout != 0 {
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
	}
	defer cancel()
	q := contract.ServiceCall{Method: method, Path: "/dispatch/%C3%BC%20b%2F7", Query: "a=1&b=%20", Body: []byte("7 coils of " + method)}
	answer, err := client.Call(ctx, id(n), "account-17", q)
	check(t, err, c.want)
	if answer.Status != c.status {
		t.Errorf("%s: got status %d, want %d", method, answer.Status, c.status)
	}
	if c.status == http.StatusOK && string(answer.Body) != service.Expected(q) {
		t.Errorf("%s: got answer %q, want %q", method, answer.Body, service.Expected(q))
	}
	if ran := standin.CallRuns(id(n).String()); ran != c.ran || standin.BodyRuns(string(q.Body)) != c.ran {
		t.Errorf("%s: ran %d times, want %d", method, ran, c.ran)
	}
	if c.ran > 0 && !standin.Received.Contains("account-17") {
		t.Errorf("%s: the pseudonym did not arrive", method)
	}
}

func clearFaults(s *service.Service) {
	s.LoseAnswers(0)
	s.LoseRequests(0)
	s.Refuse(0)
	s.CrashOn("")
	s.SetSlow(0)
}
