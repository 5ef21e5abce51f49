package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request; each has a route.
type kind struct {
	name, service, kind string
	attempts            int
	resumable           bool
	timeout             time.Duration
}

// The kinds of the deployment.
var (
	reports    = kind{"report", "report-writers", "streaming", 1, false, 14 * time.Second}
	provenance = kind{"provenance", "report-writers", "streaming", 2, true, 14 * time.Second}
	fees       = kind{"fee", "appraisal-ledger", "non_idempotent", 1, false, 800 * time.Millisecond}
)

const (
	host      = "appraisal.example"
	firstKey  = "key-of-the-first-tenant"
	firstName = "huka270"
)

// tenant is a client account with its keys.
type tenant struct {
	name string
	keys []string
}

// configuration returns the operator's document.
func configuration(version int, tenants []tenant) map[string]any {
	var routes []map[string]any
	for _, k := range []kind{reports, provenance, fees} {
		goal, gap := 900, 300
		if k.kind != "streaming" {
			goal, gap = 300, 0
		}
		routes = append(routes, map[string]any{
			"name": "r-" + k.name, "host": host, "prefix": "/" + k.name + "/", "kind": k.kind, "timeout_ms": k.timeout.Milliseconds(),
			"latency_goal_ms": goal, "priority": 1, "service": k.service, "max_attempts": k.attempts, "public": false,
			"sticky": k.kind == "streaming", "resumable": k.resumable, "target_gap_ms": gap,
		})
	}
	accounts := []map[string]any{}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{
			"name": t.name, "api_keys": t.keys, "priority": 1, "unit": "token_count", "uncached_tokens": 200,
			"rate_per_s": 2_000_000, "burst": 2_000_000,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{
			{"name": "report-writers", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 38202, "kv_token_bytes": 18432, "link_mbps": 740000.0, "stride": 13, "kv_hold_s": 0.5,
				"stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "appraisal-ledger", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// call is one request of a client and its outcome.
type call struct {
	id      string
	kind    kind
	gateway *gateway
	key     string
	// prompt and output are the sizes in tokens.
	prompt, output int
	sentAt         time.Time
	endedAt        time.Time
	// status is 0 without an answer; complete is set if the body arrived whole.
	status   int
	complete bool
	right    bool
	signed   bool
	err      error
}

// clients sends requests and keeps their outcomes.
type clients struct {
	mu    sync.Mutex
	calls []*call
	wg    sync.WaitGroup
	next  int
}

func (c *clients) newCall(k kind, g *gateway, key string, prompt, output int) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	q := &call{id: fmt.Sprintf("%s-%06d", k.name, c.next), kind: k, gateway: g, key: key, prompt: prompt, output: output}
	c.calls = append(c.calls, q)
	return q
}

// send sends a request on a client's connections and waits for its answer.
func (q *call) send(client *http.Client) {
	body := "body of " + q.id + strings.Repeat(".", 500)
	ctx, cancel := context.WithTimeout(context.Background(), q.kind.timeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.gateway.callers+"/"+q.kind.name+"/2f", bytes.NewReader([]byte(body)))
	if err != nil {
		q.err = err
		return
	}
	// net/http must not send a request again by itself.
	h.GetBody = nil
	h.Host = host
	h.Header.Set(name("id-header"), q.id)
	h.Header.Set(name("key-header"), q.key)
	h.Header.Set(name("timeout-header"), strconv.FormatInt(q.kind.timeout.Milliseconds(), 10))
	if q.kind.kind == "streaming" {
		h.Header.Set(name("model-header"), "m")
		h.Header.Set(name("size-header"), fmt.Sprintf("%d,%d", q.prompt, q.output))
		h.Header.Set(name("parts-header"), fmt.Sprintf("%x:200,%x:%d", 7, time.Now().UnixNano(), q.prompt-200))
	}
	q.sentAt = time.Now()
	resp, err := client.Do(h)
	if err != nil {
		q.err, q.endedAt = err, time.Now()
		return
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	q.endedAt = time.Now()
	q.status, q.err, q.complete = resp.StatusCode, err, err == nil
	q.signed = resp.Header.Get(name("signature-header")) != ""
	if q.kind.kind == "streaming" {
		var want strings.Builder
		for event := 1; event <= q.output; event++ {
			want.WriteString(eventText(q.id, event))
		}
		q.right = string(text) == want.String()
		return
	}
	q.right = string(text) == answerText(q.id, body)
}

// outcome is the outcome in words, for the record.
func (q *call) outcome() string {
	switch {
	case q.status == 0:
		return fmt.Sprintf("no answer (%v)", q.err)
	case !q.complete:
		return fmt.Sprintf("%d, cut off (%v)", q.status, q.err)
	case q.status == http.StatusOK && !q.right:
		return "200 with a wrong body"
	}
	return strconv.Itoa(q.status)
}

// newClient returns a client that keeps up to 64 connections open.
func newClient() *http.Client { return newClientKeeping(64) }

// newClientKeeping returns a client that keeps up to so many connections open.
func newClientKeeping(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}
