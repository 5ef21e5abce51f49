package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// TestOutcomes sends one request through each kind of failure and checks the answer or
// refusal that the caller gets and the calls that upstreams get.
func TestOutcomes(t *testing.T) {
	type queued map[string][]answer
	cases := []struct {
		name    string
		path    string
		answers queued
		// code is the refusal's, empty for a complete answer.
		code contract.Code
		ran  contract.Ran
		body string
		// calls are the expected numbers of calls by kind.
		calls map[string]int
	}{
		{name: "a stream", path: "/stream/1", body: "1 2 3 4 5 ", calls: map[string]int{"reserve": 1, "prefill": 1, "stream": 1, "release": 0}},
		{
			name: "the first engine is full", path: "/stream/1", answers: queued{"reserve": {full}},
			body: "1 2 3 4 5 ", calls: map[string]int{"reserve": 2, "stream": 1},
		},
		{
			name: "a prefill engine rejects", path: "/stream/1", answers: queued{"prefill": {full}},
			body: "1 2 3 4 5 ", calls: map[string]int{"prefill": 2, "stream": 1},
		},
		{
			name: "all prefills fail: the decode engine prefills the prompt", path: "/stream/1", answers: queued{"prefill": {broken, broken}},
			body: "1 2 3 4 5 ", calls: map[string]int{"prefill": 2, "stream": 1},
		},
		{
			name: "the KV cache is gone", path: "/resumable/1", answers: queued{"stream": {full}},
			body: "1 2 3 4 5 ", calls: map[string]int{"reserve": 2, "prefill": 2, "stream": 2},
		},
		{
			name: "a stream breaks before its first event and may not run again", path: "/stream/1", answers: queued{"stream": {broken}},
			code: contract.CodeUpstreamFailed, ran: contract.RanUnknown, calls: map[string]int{"stream": 1},
		},
		{
			name: "a resumable stream breaks before its first event", path: "/resumable/1", answers: queued{"stream": {broken}},
			body: "1 2 3 4 5 ", calls: map[string]int{"prefill": 1, "stream": 2},
		},
		{
			name: "the engine had fetched the KV cache before it broke off", path: "/resumable/1", answers: queued{"stream": {broken, full}},
			body: "1 2 3 4 5 ", calls: map[string]int{"stream": 3, "prefill": 2},
		},
		{
			name: "no connection to the engine that was to fetch the KV cache", path: "/stream/1", answers: queued{"stream": {notSent}},
			body: "1 2 3 4 5 ", calls: map[string]int{"stream": 2, "prefill": 1},
		},
		{
			name: "a KV cache that no engine fetched is freed", path: "/stream/1", answers: queued{"stream": {broken}},
			code: contract.CodeUpstreamFailed, ran: contract.RanUnknown, calls: map[string]int{"stream": 1, "prefill": 1, "free": 1},
		},
		{
			name: "a stream breaks off", path: "/stream/1", answers: queued{"stream": {brokenAfterTwo}},
			code: contract.CodeStreamBroken, ran: contract.RanYes, body: "1 2 ", calls: map[string]int{"stream": 1},
		},
		{
			name: "a resumable stream breaks off", path: "/resumable/1", answers: queued{"stream": {brokenAfterTwo}},
			body: "1 2 3 4 5 ", calls: map[string]int{"stream": 2},
		},
		{
			name: "a resumable stream breaks off too often", path: "/resumable/1", answers: queued{"stream": {brokenAfterTwo, brokenAfterTwo}},
			code: contract.CodeStreamBroken, ran: contract.RanYes, body: "1 2 ", calls: map[string]int{"stream": 2},
		},
		{name: "a stream without an engine", path: "/plain-stream/1", body: "1 2 3 4 5 ", calls: map[string]int{"reserve": 0, "prefill": 0, "stream": 1}},
		{
			name: "a stream without an engine breaks off", path: "/plain-stream/1", answers: queued{"stream": {brokenAfterTwo}},
			body: "1 2 3 4 5 ", calls: map[string]int{"reserve": 0, "stream": 2},
		},
		{name: "a plain read", path: "/read/1", body: "body", calls: map[string]int{"call": 1}},
		{
			name: "a plain read fails once", path: "/read/1", answers: queued{"call": {serverError}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "a plain read fails twice: the upstream's answer is passed on", path: "/read/1", answers: queued{"call": {serverError, serverError}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "a plain read fails and then breaks: the first upstream's answer is passed on", path: "/read/1", answers: queued{"call": {serverError, broken}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "another upstream answers at the address of a plain read's upstream", path: "/read/1", answers: queued{"call": {misdirected}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "an upstream hangs", path: "/read/1", answers: queued{"call": {hanging}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "a call that must not repeat breaks off", path: "/once/1", answers: queued{"call": {broken}},
			code: contract.CodeUpstreamFailed, ran: contract.RanUnknown, calls: map[string]int{"call": 1},
		},
		{
			name: "a call that must not repeat fails", path: "/once/1", answers: queued{"call": {serverError}},
			body: "body", calls: map[string]int{"call": 1},
		},
		{
			name: "a call that must not repeat is rejected", path: "/once/1", answers: queued{"call": {full}},
			code: contract.CodeOverCapacity, ran: contract.RanNo, calls: map[string]int{"call": 1},
		},
		{
			name: "a call that must not repeat was not sent", path: "/once/1", answers: queued{"call": {notSent}},
			body: "body", calls: map[string]int{"call": 2},
		},
		{
			name: "a call that must not repeat hangs", path: "/once/1", answers: queued{"call": {hanging}},
			code: contract.CodeDeadline, ran: contract.RanUnknown, calls: map[string]int{"call": 1},
		},
		{name: "no route", path: "/nowhere/", code: contract.CodeRouteUnknown, calls: map[string]int{"call": 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet()
				g := f.start(t, "g1")
				defer g.Close()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				for kind, answers := range c.answers {
					f.runners.queue(kind, answers...)
				}
				caller := &callerSink{}
				refusal := g.Forward(context.Background(), testMessage(c.path), caller)
				checkRefusal(t, refusal, c.code, c.ran)
				if caller.body != c.body {
					t.Errorf("the caller got %q, want %q", caller.body, c.body)
				}
				synctest.Wait()
				for kind, want := range c.calls {
					if got := f.runners.count(kind); got != want {
						t.Errorf("%d calls to %s, want %d: %v", got, kind, want, f.runners.allCalls())
					}
				}
				if g.Running() != 0 {
					t.Errorf("%d requests have not ended", g.Running())
				}
			})
		})
	}
}

func checkRefusal(t *testing.T, refusal *contract.Refusal, code contract.Code, ran contract.Ran) {
	t.Helper()
	switch {
	case refusal == nil && code != "":
		t.Errorf("answered, want %s", code)
	case refusal != nil && (refusal.Code != code || refusal.Ran != ran):
		t.Errorf("%v, want %s (ran: %s)", refusal, code, ran)
	}
}

// withGateway calls f with a gateway that is ready.
func withGateway(t *testing.T, f func(t *testing.T, fleet *fleet, g *Gateway)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := testFleet()
		g := fleet.start(t, "g1")
		defer g.Close()
		// Quotas are full a second after the start.
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f(t, fleet, g)
	})
}

// TestFullEngines checks that a request waits while no engine has room and is refused as
// not run before its first event would be late. Full engines must not be asked for every
// waiter, and no prompt may be prefilled without a reservation.
func TestFullEngines(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		many := make([]answer, 1000)
		for i := range many {
			many[i] = full
		}
		f.runners.queue("reserve", many...)
		began := time.Now()
		refusal := g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{})
		checkRefusal(t, refusal, contract.CodeOverCapacity, contract.RanNo)
		if !refusal.Repeat || refusal.After != retryDelay {
			t.Errorf("%+v has no retry delay", refusal)
		}
		if took := time.Since(began); took > 900*time.Millisecond-FirstEventAllowance+ReserveRetryDelay {
			t.Errorf("refused after %v", took)
		}
		if f.runners.count("prefill") != 0 {
			t.Error("a prompt was prefilled without a reservation")
		}
		if f.runners.count("reserve") > 60 {
			t.Errorf("full engines were asked %d times", f.runners.count("reserve"))
		}
	})
}

// TestRoomFreed checks that a waiter is placed when an engine has room again.
func TestRoomFreed(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("reserve", full, full, full, full)
		caller := &callerSink{}
		if refusal := g.Forward(context.Background(), testMessage("/stream/1"), caller); refusal != nil {
			t.Error(refusal)
		}
		if caller.body != "1 2 3 4 5 " {
			t.Errorf("the caller got %q", caller.body)
		}
	})
}

// TestCallerLeaves checks that no call is made after the caller left, in whichever step
// the request is, and that its reservation is released.
func TestCallerLeaves(t *testing.T) {
	cases := []struct{ at, then string }{
		{"reserve", ""}, {"prefill", "release"}, {"stream", ""}, {"call", ""},
	}
	for _, c := range cases {
		t.Run(c.at, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
				path := "/resumable/1"
				if c.at == "call" {
					path = "/read/1"
				}
				hang := hanging
				if c.at == "reserve" {
					// The request is a waiter when its caller leaves.
					hang = full
					hang.takes = 100 * time.Millisecond
				}
				f.runners.queue(c.at, hang, hang, hang, hang)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(50*time.Millisecond, cancel)
				refusal := g.Forward(ctx, testMessage(path), &callerSink{})
				if refusal == nil || refusal.Code != contract.CodeCanceled {
					t.Errorf("%v, want canceled", refusal)
				}
				synctest.Wait()
				sent := len(f.runners.allCalls())
				time.Sleep(5 * time.Second)
				for _, call := range f.runners.allCalls()[sent:] {
					if call[0] != 'r' {
						t.Errorf("%s after the caller left", call)
					}
				}
				if c.then != "" && f.runners.count(c.then) != 1 {
					t.Errorf("%s was not called: %v", c.then, f.runners.allCalls())
				}
			})
		})
	}
}

// TestCallerWriteFails checks that a request ends as run if writing to its caller fails.
func TestCallerWriteFails(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		refusal := g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{fail: errors.New("gone")})
		if refusal == nil || refusal.Ran == contract.RanNo {
			t.Errorf("%v, want a refusal of a request that ran", refusal)
		}
	})
}

// TestDeadline checks that upstreams get no more than the time left, and that the request
// is refused at its deadline.
func TestDeadline(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("prefill", answer{result: success.result, takes: 400 * time.Millisecond})
		f.runners.queue("stream", hanging)
		m := testMessage("/stream/1")
		m.CallerTimeout = 3 * time.Second
		began := time.Now()
		refusal := g.Forward(context.Background(), m, &callerSink{})
		checkRefusal(t, refusal, contract.CodeDeadline, contract.RanUnknown)
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("answered after %v", took)
		}
		if within := f.runners.lastOptions("stream").Within; within > 2600*time.Millisecond {
			t.Errorf("the stream call may take %v, more than the time left", within)
		}
	})
}

func TestKeys(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		for key, want := range map[string]contract.Code{"key": "", "other": contract.CodeKeyInvalid, "": contract.CodeKeyInvalid} {
			m := plainMessage("/read/1")
			m.Key = key
			checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), want, contract.RanNo)
		}
		m := plainMessage("/open/1")
		m.Key = "other"
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		if account := f.runners.lastOptions("call").Account; account != "" {
			t.Errorf("an open route is charged to %s", account)
		}
		f.registry.change(func() {
			f.registry.config = testConfig(2)
			f.registry.config.Keys = nil
		})
		synctest.Wait()
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), contract.CodeKeyInvalid, contract.RanNo)
	})
}

func TestQuota(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		m := testMessage("/stream/1")
		m.Prompt, m.MaxOutput = 9000, 1000
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		refusal := g.Forward(context.Background(), m, &callerSink{})
		checkRefusal(t, refusal, contract.CodeRateLimited, contract.RanNo)
		if refusal.After < minRetryDelay {
			t.Errorf("retry delay of %v is too short", refusal.After)
		}
		time.Sleep(refusal.After)
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
	})
}

// TestQuarantine checks that a request that ran at two upstreams when they crashed is
// refused, but not other requests.
func TestQuarantine(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		for _, id := range []upstream.ID{"d1", "d2"} {
			f.runners.unreachable[id] = true
		}
		f.runners.queue("stream", broken, broken)
		m := testMessage("/resumable/1")
		if refusal := g.Forward(context.Background(), m, &callerSink{}); refusal == nil {
			t.Error("a request that crashed two upstreams was answered")
		}
		synctest.Wait()
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), contract.CodeQuarantined, contract.RanNo)
		other := testMessage("/resumable/1")
		other.Body = []byte("another")
		if refusal := g.Forward(context.Background(), other, &callerSink{}); refusal != nil && refusal.Code == contract.CodeQuarantined {
			t.Error("another request is refused with it")
		}
	})
}

// TestOneCrashCutsEqualRequests guards against a crash that counts once for each request that
// it cut: a lookup that several callers made at the same time was refused for ten minutes.
func TestOneCrashCutsEqualRequests(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.registry.change(func() { delete(f.registry.list, "s2") })
		synctest.Wait()
		f.runners.unreachable["s1"] = true
		for _, takes := range []time.Duration{100, 110, 120} {
			f.runners.queue("call", answer{result: broken.result, takes: takes * time.Millisecond})
		}
		var callers sync.WaitGroup
		for range 3 {
			callers.Go(func() { g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}) })
		}
		callers.Wait()
		synctest.Wait()
		f.runners.setReachable()
		time.Sleep(time.Second)
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
	})
}

// TestShutdown checks that a draining gateway accepts requests, since load balancers
// notice with a delay, and refuses them after StopAdmission.
func TestShutdown(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		g.Drain()
		if g.Ready() {
			t.Error("ready while draining")
		}
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), "", contract.RanNo)
		g.StopAdmission()
		checkRefusal(t, g.Forward(context.Background(), plainMessage("/read/1"), &callerSink{}), contract.CodeDraining, contract.RanNo)
	})
}

// TestRetryBudgetPerService checks that requests of one service earn no retries for
// another.
func TestRetryBudgetPerService(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		for range 200 {
			g.Forward(context.Background(), plainMessage("/open/1"), &callerSink{})
		}
		f.runners.queue("stream", slices.Repeat([]answer{broken}, 200)...)
		const streams = 60
		for range streams {
			m := testMessage("/resumable/1")
			m.Prompt, m.MaxOutput = 0, 0
			g.Forward(context.Background(), m, &callerSink{})
		}
		// The budget allows a fifth of the streams plus its floor.
		if extra := f.runners.count("stream") - streams; extra > streams/5+20 {
			t.Errorf("%d retries for %d streams", extra, streams)
		}
	})
}

// TestPanicEndsRequest checks that a panic in a call ends only its own request.
func TestPanicEndsRequest(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		f.runners.queue("stream", answer{panics: true})
		refusal := g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{})
		checkRefusal(t, refusal, contract.CodeInternal, contract.RanUnknown)
		checkRefusal(t, g.Forward(context.Background(), testMessage("/stream/1"), &callerSink{}), "", contract.RanNo)
	})
}

// TestNoObjectiveOrTimeout checks routes and callers without an objective or timeout,
// where a zero duration must not be taken for a limit.
func TestNoObjectiveOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet()
		for _, r := range f.registry.config.Hosts["h"] {
			r.Timeout, r.Objective = 0, 0
		}
		g := f.start(t, "g1")
		defer g.Close()
		time.Sleep(2 * time.Second)
		for _, path := range []string{"/read/1", "/once/1", "/plain-stream/1"} {
			m := plainMessage(path)
			m.CallerTimeout = 0
			f.runners.queue("call", answer{result: success.result, takes: time.Second})
			checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		}
		if n := f.runners.count("call"); n != 2 {
			t.Errorf("%d calls for two plain requests", n)
		}
	})
}

// TestEndlessStream checks that a stream with more events than its request has tokens ends,
// counts as a failure of its engine, and that a stream as long as allowed does not.
func TestEndlessStream(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fleet, g *Gateway) {
		m := testMessage("/stream/1")
		most := int(m.MaxOutput) + extraEvents
		f.runners.queue("stream", answer{result: success.result, events: most}, answer{result: success.result, events: 1_000_000})
		checkRefusal(t, g.Forward(context.Background(), m, &callerSink{}), "", contract.RanNo)
		sink := &callerSink{}
		checkRefusal(t, g.Forward(context.Background(), m, sink), contract.CodeStreamBroken, contract.RanYes)
		if n := strings.Count(sink.body, " "); n > most+1 {
			t.Errorf("%d events reached the caller, want at most %d", n, most+1)
		}
	})
}
