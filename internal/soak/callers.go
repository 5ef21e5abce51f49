package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// kind is a kind of request with a route of the same name.
type kind struct {
	name, method string
	// once requests must run at most once; stream requests are answered with server-sent
	// events.
	once, stream bool
}

var kinds = []kind{
	{"once", http.MethodPost, true, false},
	{"read", http.MethodGet, false, false},
	{"stream", http.MethodPost, true, true},
	{"resumable", http.MethodPost, false, true},
}

// sentRequest is a request that was sent and the HTTP status of its answer; 0 if there is
// none.
type sentRequest struct {
	kind    kind
	gateway *process
	sentAt  time.Time
	status  int
	// cutAt is when its connection ended after the whole answer and before its end, at a
	// gateway that was not killed; zero if it did not.
	cutAt time.Time
}

const (
	key = "a-callers-key"
	// secondKey is valid only in every second configuration.
	secondKey = "another-key"
	account   = "weaver"
	host      = "soak.example"
	// requestTimeout is how long callers wait for an answer.
	requestTimeout = 4 * time.Second
)

// configuration returns the configuration document that the operator writes to the
// store; second adds secondKey.
func configuration(version int, second bool) map[string]any {
	keys := []string{key}
	if second {
		keys = append(keys, secondKey)
	}
	var routes []map[string]any
	for _, k := range kinds {
		wire := map[string]any{
			"name": k.name, "host": host, "prefix": "/" + k.name + "/", "timeout_ms": 4000, "latency_goal_ms": 500, "priority": 1,
			"max_attempts": 2, "kind": "idempotent", "service": "desk",
		}
		switch {
		case k.stream:
			wire["kind"], wire["service"], wire["resumable"] = "streaming", "engines", !k.once
		case k.once:
			wire["kind"], wire["max_attempts"] = "non_idempotent", 1
		}
		routes = append(routes, wire)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "engines", "warmup_s": coldFor.Seconds(), "warmup_per_s": coldPerSecond, "engine": map[string]any{"slots": 64, "kv_tokens": 123_000, "kv_hold_s": 0.5, "stage_switch_s": 1, "hold_ms": 2000}},
			{"name": "desk", "warmup_s": coldFor.Seconds(), "warmup_per_s": coldPerSecond},
		},
		"tenants": []map[string]any{{"name": account, "api_keys": keys}},
	}
}

// runCaller sends the requests of one caller, one after the other, until ctx ends. It
// reuses connections until they break.
func (s *soak) runCaller(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := number; ctx.Err() == nil; i++ {
		k, pause := kinds[i/2%len(kinds)], callerInterval
		if s.rush.Load() > time.Now().UnixNano() {
			k, pause = kinds[i/2%plainKinds], rushInterval*time.Duration(s.options.Callers)
		}
		s.ask(ctx, client, s.gateways[i%len(s.gateways)], k, fmt.Sprintf("c%d", number))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// ask sends one request and records its outcome. It reports whether the answer is a
// complete 200; one with a wrong body counts as served and as a failed check.
func (s *soak) ask(ctx context.Context, client *http.Client, g *process, k kind, caller string) bool {
	s.mu.Lock()
	id := fmt.Sprintf("%s-%d", caller, len(s.requests))
	began := time.Now()
	s.requests[id] = sentRequest{kind: k, gateway: g, sentAt: began}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, body, err := send(ctx, client, g.callersAddr, k, id, key, func(h http.Header) { s.recordLeaving(g, h) })
	outcome := strconv.Itoa(status)
	if err != nil {
		outcome += " broken"
	}
	withoutEnd := err != nil && ctx.Err() == nil && status == http.StatusOK && body == answerTo(k, id) && !g.killedSince(began)
	s.mu.Lock()
	sent := s.requests[id]
	sent.status = status
	if withoutEnd {
		sent.cutAt = time.Now()
	}
	s.requests[id] = sent
	s.report.Outcomes[k.name+" "+outcome]++
	s.mu.Unlock()
	if status != http.StatusOK || err != nil {
		return false
	}
	if want := answerTo(k, id); body != want {
		s.failCheck("request %s got %q, want %q", id, body, want)
	}
	return true
}

// checkEnds fails for each answer that a gateway cut off before its end. One whose runner may
// have broken it off is left out: the runner left, or its link had a fault meanwhile.
func (s *soak) checkEnds() {
	brokenOff := make(map[string]bool)
	for _, v := range s.ledger.Visits() {
		sent := s.requests[v.Request]
		left := slices.ContainsFunc(s.departures.nodes, func(r *runnerNode) bool { return slices.Contains(r.ids, v.Runner) })
		if left || s.linkDisturbedBetween(v.Runner, sent.sentAt, sent.cutAt) {
			brokenOff[v.Request] = true
		}
	}
	for id, sent := range s.requests {
		if !sent.cutAt.IsZero() && !brokenOff[id] {
			s.failCheck("the connection of request %s ended after the whole answer and before its end", id)
		}
	}
}

// answerTo returns the complete body that a request must be answered with.
func answerTo(k kind, id string) string {
	if !k.stream {
		return userplatform.Answer(id, bodyOf(k, id))
	}
	var b strings.Builder
	for event := 1; event <= userplatform.Events; event++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", event, userplatform.Answer(bodyOf(k, id), strconv.Itoa(event)))
	}
	return b.String()
}

// bodyOf returns the body of a request; GET requests have none.
func bodyOf(k kind, id string) string {
	if k.method == http.MethodGet {
		return ""
	}
	return "body of " + id
}

// send sends one request. It returns the status, 0 without an answer, and the body as
// far as it arrived. onHeader is called with the header of the answer. The Tenant header that
// it sets must not reach an upstream.
func send(ctx context.Context, client *http.Client, addr string, k kind, id, credential string, onHeader func(http.Header)) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, k.method, "http://"+addr+"/"+k.name+"/x", strings.NewReader(bodyOf(k, id)))
	if err != nil {
		return 0, "", err
	}
	// Keeps net/http from resending the request on its own: the checks count how often
	// each request runs.
	q.GetBody = nil
	q.Host = host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Credential", credential)
	q.Header.Set("Tenant", "forged")
	q.Header.Set("Request-Timeout-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if k.stream {
		q.Header.Set("Token-Usage", "1000,100")
	}
	resp, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	onHeader(resp.Header)
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// checkKeys checks that each gateway accepts or refuses secondKey as the last
// configuration requires, even if it missed earlier ones.
func (s *soak) checkKeys(ctx context.Context) {
	want := http.StatusUnauthorized
	if s.secondKeyActive() {
		want = http.StatusOK
	}
	end := time.Now().Add(s.options.RecoverWithin)
	for i, g := range s.gateways {
		for {
			status, _, err := send(ctx, http.DefaultClient, g.callersAddr, kinds[1], fmt.Sprintf("key-%d", i), secondKey, func(http.Header) {})
			if status == want && err == nil {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.failCheck("gateway %d answers the second key with %d (%v) after configuration %d, want %d", i, status, err, s.changes, want)
				break
			}
			clock.Wait(ctx, retryEvery)
		}
	}
}

// check compares the answers of callers with the runs at upstreams: a once request runs
// at most once and never if it was answered with 429 or 503, the caller's key does not
// reach an upstream, each run has the right account, and no request is answered with
// 401 or 404.
func (s *soak) check() {
	for id, a := range s.requests {
		run := s.ledger.Run(id)
		claimsNotRun := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		switch {
		case a.kind.once && run.Times > 1:
			s.failCheck("request %s (%s) ran %d times", id, a.kind.name, run.Times)
		case claimsNotRun && a.kind.once && run.Times > 0:
			s.failCheck("request %s (%s) was answered %d and ran", id, a.kind.name, a.status)
		case run.Key:
			s.failCheck("the key of request %s reached an upstream", id)
		case run.Times > 0 && run.Account != account:
			s.failCheck("request %s ran for account %q", id, run.Account)
		case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound:
			s.failCheck("request %s was answered %d", id, a.status)
		}
	}
}
