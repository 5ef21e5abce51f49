package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sebdah/goldie/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// fakeServer records the requests and answers them with serve.
type fakeServer struct {
	got   []contract.Incoming
	serve func(ctx context.Context, in contract.Incoming, sink contract.Sink) *contract.Refusal
}

func (f *fakeServer) Serve(ctx context.Context, in contract.Incoming, sink contract.Sink) *contract.Refusal {
	f.got = append(f.got, in)
	sink.WriteRequestID("entry-1.5/7")
	return f.serve(ctx, in, sink)
}

func chunks(chunks ...contract.Chunk) func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
	return func(_ context.Context, _ contract.Incoming, sink contract.Sink) *contract.Refusal {
		for _, c := range chunks {
			if err := sink.WriteChunk(c); err != nil {
				return nil
			}
		}
		return nil
	}
}

func refuseWith(r *contract.Refusal) func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
	return func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal { return r }
}

func answerWith(a contract.ServiceAnswer) func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
	return func(_ context.Context, _ contract.Incoming, sink contract.Sink) *contract.Refusal {
		_ = sink.WriteAnswer(a)
		return nil
	}
}

var (
	firstChunk = contract.Chunk{Offset: 0, Texts: []string{"weave", " is"}}
	lastChunk  = contract.Chunk{Offset: 2, Texts: []string{" plain"}, Done: true, Usage: contract.Usage{PromptTokens: 3, OutputTokens: 3}}
	chatBody   = `{"model":"m","stream":%v,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"what weave?"}]}]}`
)

// TestMessages compares what callers and the server receive with golden files.
func TestMessages(t *testing.T) {
	whole := chunks(firstChunk, lastChunk)
	broken := &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanYes, Reason: "the decode upstream died"}
	limited := contract.RefuseRetryable(contract.CodeRateLimited, 2300*time.Millisecond, "over the rate")
	cases := []struct {
		name, method, target, body string
		header                     []string
		drain                      bool
		serve                      func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal
	}{
		{name: "whole", target: PathCompletions, body: `{"model":"m","prompt":"hi","max_tokens":3,"seed":9}`, serve: whole},
		{name: "streamed", target: PathCompletions, body: `{"model":"m","prompt":["hi"],"stream":true}`, serve: whole},
		{name: "chat_whole", target: PathChat, body: fmt.Sprintf(chatBody, false), serve: whole},
		{name: "chat_streamed", target: PathChat, body: fmt.Sprintf(chatBody, true), serve: whole},
		{name: "refused_with_wait", target: PathChat, body: fmt.Sprintf(chatBody, true), serve: refuseWith(limited)},
		{name: "stream_fails_late", target: PathCompletions, body: `{"model":"m","prompt":"hi","stream":true}`,
			serve: func(ctx context.Context, in contract.Incoming, sink contract.Sink) *contract.Refusal {
				chunks(firstChunk)(ctx, in, sink)
				return broken
			}},
		{name: "stream_ends_short", target: PathCompletions, body: `{"model":"m","prompt":"hi","stream":true}`, serve: chunks(firstChunk)},
		{name: "whole_ends_short", target: PathCompletions, body: `{"model":"m","prompt":"hi"}`, serve: chunks(firstChunk)},
		{name: "stream_with_gap", target: PathCompletions, body: `{"model":"m","prompt":"hi","stream":true}`,
			serve: chunks(firstChunk, contract.Chunk{Offset: 3, Done: true})},
		{name: "stream_with_repeat", target: PathCompletions, body: `{"model":"m","prompt":"hi","stream":true}`, serve: chunks(firstChunk, firstChunk)},
		{name: "panic", target: PathCompletions, body: `{"model":"m","prompt":"hi"}`,
			serve: func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
				panic("panic while serving")
			}},
		{name: "draining", target: PathCompletions, body: `{}`, drain: true},
		{name: "service", method: "PUT", target: "/desk/wire%2Fa%20b?x=1&API-Key=k&key=k&access_token=t&y=2", body: "raw\x00",
			header: []string{"Content-Type: text/csv", "Cookie: c=1", "Idempotency-Key: a-1", "X-Api-Key: k"},
			serve:  answerWith(contract.ServiceAnswer{Status: 201, ContentType: "text/csv", Body: []byte("a,b\n")})},
		{name: "service_bad_status", target: "/desk/x", serve: answerWith(contract.ServiceAnswer{Status: 7})},
		{name: "service_no_answer", target: "/desk/x", serve: refuseWith(nil)},
		{name: "key_in_query", target: "/desk/x?note=secret%2Dkey%2D123"},
		{name: "key_in_body", target: "/desk/x", body: "a=1&b=secret-key-123"},
		{name: "key_in_path", target: "/desk/secret-key-123"},
		{name: "key_in_prompt", target: PathCompletions, body: `{"model":"m","prompt":"my key is secret\u002dkey-123"}`},
		{name: "path_not_clean", target: "/desk/%2e%2e/admin"},
		{name: "query_malformed", target: "/desk/x?a=%zz"},
		{name: "scheme_not_bearer", target: "/desk/x", header: []string{"Authorization: Basic abc"}},
		{name: "two_keys", target: "/desk/x", header: []string{"Authorization: Bearer a", "Authorization: Bearer b"}},
		{name: "idempotency_key_long", target: "/desk/x", header: []string{"Idempotency-Key: " + strings.Repeat("a", 256)}},
		{name: "not_json", target: PathCompletions, body: `{"model":`},
		{name: "json_goes_on", target: PathCompletions, body: `{"model":"m","prompt":"a"}{}`},
		{name: "no_model", target: PathCompletions, body: `{"prompt":"a"}`},
		{name: "no_prompt", target: PathCompletions, body: `{"model":"m"}`},
		{name: "no_messages", target: PathChat, body: `{"model":"m","messages":[]}`},
		{name: "role_unknown", target: PathChat, body: `{"model":"m","messages":[{"role":"king","content":"x"}]}`},
		{name: "content_not_text", target: PathChat, body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`},
		{name: "max_tokens_zero", target: PathCompletions, body: `{"model":"m","prompt":"a","max_tokens":0}`},
		{name: "max_tokens_high", target: PathCompletions, body: `{"model":"m","prompt":"a","max_tokens":8193}`},
		{name: "two_choices", target: PathCompletions, body: `{"model":"m","prompt":"a","n":2}`},
		{name: "too_large", target: PathCompletions, body: strings.Repeat("a", 1025)},
	}
	golden := goldie.New(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &fakeServer{serve: c.serve}
				h := NewHandler(server, Limits{BodyBytes: 1024}, hclog.NewNullLogger())
				if c.drain {
					h.Drain()
				}
				r := httptest.NewRequest(orDefaultText(c.method, "POST"), c.target, strings.NewReader(c.body))
				for _, line := range c.header {
					name, value, _ := strings.Cut(line, ": ")
					r.Header.Add(name, value)
				}
				if r.Header.Get("Authorization") == "" {
					r.Header.Set("Authorization", "Bearer secret-key-123")
				}
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				golden.Assert(t, c.name, []byte(transcript(server, w)))
				if held := h.bodies.Held(); held != 0 {
					t.Errorf("%d bytes still held", held)
				}
			})
		})
	}
}

func orDefaultText(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// transcript renders what the server received and what the caller got back.
func transcript(server *fakeServer, w *httptest.ResponseRecorder) string {
	var b strings.Builder
	for _, in := range server.got {
		fmt.Fprintf(&b, "> key %q idempotency %q\n", in.Key, in.IdempotencyKey)
		if in.Generate != nil {
			fmt.Fprintf(&b, "> generate %+v\n", *in.Generate)
		}
		if in.Call != nil {
			fmt.Fprintf(&b, "> call %q\n", fmt.Sprintf("%+v", *in.Call))
		}
	}
	fmt.Fprintf(&b, "< %d\n", w.Code)
	names := make([]string, 0, len(w.Header()))
	for name := range w.Header() {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "< %s: %s\n", name, w.Header().Get(name))
	}
	fmt.Fprintf(&b, "\n%s", w.Body.String())
	return b.String()
}

// TestStatusesAreErrors checks that every code, listed or not, has an error status.
func TestStatusesAreErrors(t *testing.T) {
	for code, status := range statuses {
		if status < 400 || status > 599 {
			t.Errorf("%s: status %d is not an error", code, status)
		}
	}
	if HTTPStatus("unlisted") != http.StatusInternalServerError {
		t.Error("an unlisted code must be an internal error")
	}
}
