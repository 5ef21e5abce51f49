// Package quickstart sends a short mixed load to a running fleet and checks that each
// caller got the complete answer to its own request. The command trefoil-dev quickstart
// starts the fleet and prints the summary.
package quickstart

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/fleet"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
)

// Size of the load.
const (
	roundsPerAccount = 6
	outputTokens     = 24
	// maxTries bounds how often a caller sends a request whose refusal allows a repeat.
	// Entries that have just started have no tokens of any account yet.
	maxTries = 10
	// settleTime is the time after the last answer by which no engine memory may be
	// held. The result of an unused prefill is held the longest.
	settleTime = engine.DefaultEvictAfter + 200*time.Millisecond
)

// Counts holds how many requests of a kind were sent and how many got the right answer.
type Counts struct {
	Sent    int `json:"sent"`
	Correct int `json:"right"`
}

// Summary holds the results of the load.
type Summary struct {
	OK       bool   `json:"ok"`
	Zones    int    `json:"zones"`
	Entries  int    `json:"entries"`
	Engines  int    `json:"engines"`
	Services int    `json:"services"`
	Streamed Counts `json:"streamed"`
	// Whole counts the completions that were requested without streaming.
	Whole Counts `json:"whole"`
	Calls Counts `json:"calls"`
	// Repeated counts requests sent again after a refusal that allowed it.
	Repeated int `json:"repeated"`
	// Wrong describes each request that got a wrong answer or none.
	Wrong []string `json:"wrong"`
	// KeysSeen counts requests at upstreams that contained a caller's key.
	KeysSeen int `json:"keys_seen"`
	// Held counts the requests that still held engine memory after settleTime.
	Held   int   `json:"held"`
	TookMS int64 `json:"took_ms"`
}

// run holds the state of one load.
type run struct {
	fleet  *fleet.Fleet
	client *load.Client

	// mu guards summary while callers run.
	mu      sync.Mutex
	summary Summary
}

// Run sends the load, waits until the fleet should hold no engine memory, and returns
// the summary. It returns early if ctx ends; requests in progress then count as wrong.
func Run(ctx context.Context, f *fleet.Fleet) Summary {
	r := &run{fleet: f, client: load.NewClient(f.Transport())}
	r.summary = Summary{
		Zones:    len(f.Workload.Zones),
		Entries:  len(f.Entries),
		Engines:  len(f.Engines),
		Services: len(f.Services),
		Wrong:    []string{},
	}
	f.WatchKeys()
	began := time.Now()
	var callers sync.WaitGroup
	for i, account := range f.Workload.Accounts {
		callers.Go(func() { r.caller(ctx, i, account) })
	}
	callers.Wait()
	r.summary.TookMS = time.Since(began).Milliseconds()
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	r.checkStandIns()
	return r.summary
}

// caller sends the requests of the account with index i, to the entries in turn.
func (r *run) caller(ctx context.Context, i int, account fleet.Account) {
	for round := range roundsPerAccount {
		entry := r.fleet.Entries[(i+round)%len(r.fleet.Entries)]
		prompt := fmt.Sprintf("%s asks for round %d. %s", account.ID, round, strings.Repeat("warp over weft, ", 100*(round+1)))
		var requests sync.WaitGroup
		requests.Go(func() { r.generate(ctx, entry.URL, account, prompt, true) })
		requests.Go(func() { r.generate(ctx, entry.URL, account, prompt, false) })
		requests.Go(func() { r.call(ctx, entry.URL, account, round) })
		requests.Wait()
	}
}

func (r *run) generate(ctx context.Context, url string, account fleet.Account, prompt string, stream bool) {
	seed := int64(len(prompt))
	counts, kind := &r.summary.Whole, "whole"
	if stream {
		counts, kind = &r.summary.Streamed, "streamed"
		seed++
	}
	q := load.Generate{
		Key:       account.Key,
		Model:     r.fleet.Workload.Model,
		Prompt:    prompt,
		MaxTokens: outputTokens,
		Seed:      seed,
		Stream:    stream,
	}
	a := r.retry(ctx, func() load.Answer { return r.client.Generate(ctx, url, q) })
	want := strings.Join(engine.Expected(prompt, seed, outputTokens), "")
	r.record(counts, kind, account, a, want)
}

func (r *run) call(ctx context.Context, url string, account fleet.Account, round int) {
	body := fmt.Sprintf("%s looks up order %d", account.ID, round)
	call := contract.ServiceCall{Method: http.MethodPost, Path: "/order", Body: []byte(body)}
	path := strings.TrimSuffix(r.fleet.Workload.RepeatablePath, "/") + call.Path
	a := r.retry(ctx, func() load.Answer { return r.client.Call(ctx, call.Method, url+path, account.Key, "", body) })
	r.record(&r.summary.Calls, "call", account, a, service.Expected(call))
}

// retry sends a request up to maxTries times and adds its repeats to the summary.
func (r *run) retry(ctx context.Context, request func() load.Answer) load.Answer {
	a, refused := load.Retry(ctx, maxTries, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Repeated += refused
	return a
}

// record adds one answer to the summary.
func (r *run) record(counts *Counts, kind string, account fleet.Account, a load.Answer, want string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts.Sent++
	if a.Err == nil && a.Refusal == nil && a.Whole && a.EndMarkers == 1 && a.Text == want {
		counts.Correct++
		return
	}
	r.summary.Wrong = append(r.summary.Wrong, fmt.Sprintf("%s of %s: %s", kind, account.ID, describe(a)))
}

// describe returns why an answer counts as wrong.
func describe(a load.Answer) string {
	switch {
	case a.Err != nil:
		return a.Err.Error()
	case a.Refusal != nil:
		return fmt.Sprintf("refused with %s (ran: %s): %s", a.Refusal.Code, a.Refusal.Ran, a.Refusal.Message)
	default:
		return fmt.Sprintf("status %d with wrong text or several end markers: %q", a.Status, a.Text)
	}
}

// checkStandIns adds what the stand-ins observed to the summary and sets OK.
func (r *run) checkStandIns() {
	for _, e := range r.fleet.Engines {
		r.summary.Held += e.Engine.Counts().Holding
	}
	r.summary.KeysSeen = r.fleet.KeysSeen()
	r.summary.OK = len(r.summary.Wrong) == 0 && r.summary.KeysSeen == 0 && r.summary.Held == 0
}
