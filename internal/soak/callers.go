package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// kind is one kind of request.
type kind struct {
	name, method string
	// once requests run at most once, streams have events.
	once, stream bool
}

var kinds = []kind{
	{"once", http.MethodPost, true, false},
	{"read", http.MethodGet, false, false},
	{"stream", http.MethodPost, true, true},
	{"resumable", http.MethodPost, false, true},
}

// asked is a request that was sent, and the status it got; 0 if there was none.
type asked struct {
	kind   kind
	status int
}

const (
	key = "a-callers-key"
	// secondKey comes and goes with configurations.
	secondKey = "another-key"
	account   = "weaver"
	host      = "soak.example"
	// patience is how long callers wait.
	patience = 4 * time.Second
)

// configuration is what the operator writes.
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
			{"name": "engines", "engine": map[string]any{"slots": 64, "kv_tokens": 123_000, "kv_hold_s": 0.5, "stage_switch_s": 1, "hold_ms": 2000}},
			{"name": "desk"},
		},
		"tenants": []map[string]any{{"name": account, "api_keys": keys}},
	}
}

// call is the life of one caller: request after request on connections that are
// used until they end.
func (s *soak) call(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := number; ctx.Err() == nil; i++ {
		s.ask(ctx, client, s.gateways[i%len(s.gateways)], kinds[i/2%len(kinds)], fmt.Sprintf("c%d", number))
		select {
		case <-time.After(callerPause):
		case <-ctx.Done():
		}
	}
}

// ask sends one request and checks its answer; it reports whether it was served.
func (s *soak) ask(ctx context.Context, client *http.Client, g *process, k kind, caller string) bool {
	s.mu.Lock()
	id := fmt.Sprintf("%s-%d", caller, len(s.asked))
	s.asked[id] = asked{kind: k}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	status, body, err := send(ctx, client, g.callers, k, id, key)
	outcome := strconv.Itoa(status)
	if err != nil {
		outcome += " broken"
	}
	s.mu.Lock()
	s.asked[id] = asked{k, status}
	s.report.Outcomes[k.name+" "+outcome]++
	s.mu.Unlock()
	if status != http.StatusOK || err != nil {
		return false
	}
	if want := answerTo(k, id); body != want {
		s.broken("request %s got %q, want %q", id, body, want)
	}
	return true
}

// answerTo is the whole answer to a request.
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

func bodyOf(k kind, id string) string {
	if k.method == http.MethodGet {
		return ""
	}
	return "body of " + id
}

func send(ctx context.Context, client *http.Client, addr string, k kind, id, credential string) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, k.method, "http://"+addr+"/"+k.name+"/x", strings.NewReader(bodyOf(k, id)))
	if err != nil {
		return 0, "", err
	}
	// The library must not send a request again by itself.
	q.GetBody = nil
	q.Host = host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Credential", credential)
	q.Header.Set("Tenant", "forged")
	q.Header.Set("Request-Timeout-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if k.stream {
		q.Header.Set("Token-Usage", "1000,100")
	}
	resp, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// checkKeys asks each gateway with the second key: all must go by the last
// configuration, whatever they missed of those before.
func (s *soak) checkKeys(ctx context.Context) {
	want := http.StatusUnauthorized
	if s.secondHolds() {
		want = http.StatusOK
	}
	end := time.Now().Add(s.options.RecoverWithin)
	for i, g := range s.gateways {
		for {
			status, _, err := send(ctx, http.DefaultClient, g.callers, kinds[1], fmt.Sprintf("key-%d", i), secondKey)
			if status == want && err == nil {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.broken("gateway %d answers the second key with %d (%v) after configuration %d, want %d", i, status, err, s.changes, want)
				break
			}
			clock.Wait(ctx, askAgainAfter)
		}
	}
}

// check compares what callers got with what upstreams ran.
func (s *soak) check() {
	for id, a := range s.asked {
		run := s.ledger.Run(id)
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		switch {
		case a.kind.once && run.Times > 1:
			s.broken("request %s (%s) ran %d times", id, a.kind.name, run.Times)
		case promised && a.kind.once && run.Times > 0:
			s.broken("request %s (%s) was answered %d and ran", id, a.kind.name, a.status)
		case run.Key:
			s.broken("the key of request %s reached an upstream", id)
		case run.Times > 0 && run.Account != account:
			s.broken("request %s ran for account %q", id, run.Account)
		case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound:
			s.broken("request %s was answered %d", id, a.status)
		}
	}
}
