package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

const fuzzKey = "fuzz-key-0123456789"

// FuzzHandler sends arbitrary targets, headers and bodies through the handler.
// What reaches the server must be within the limits and must not contain the
// caller's key; every response but that of the readiness check must be an error
// body.
func FuzzHandler(f *testing.F) {
	f.Add("POST", PathCompletions, "", "application/json", `{"model":"m","prompt":"a","max_tokens":3,"stream":true}`)
	f.Add("POST", PathChat, "", "application/json", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`)
	f.Add("PUT", "/desk/a b/%2e", "key="+fuzzKey+"&x=%66uzz-key-0123456789", "text/csv", "a="+fuzzKey)
	f.Add("GET", "/desk/../x", "a=1&a=2;b", "fuzz%2Dkey-0123456789", "")
	f.Fuzz(func(t *testing.T, method, path, query, contentType, body string) {
		server := &fakeServer{serve: refuseWith(contract.Refuse(contract.CodeNoConfig, "fuzz"))}
		h := NewHandler(server, Limits{BodyBytes: 4096, MaxTokens: 100}, hclog.NewNullLogger())
		r, err := http.NewRequestWithContext(context.Background(), method, "http://127.0.0.1/", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL = &url.URL{Path: path, RawQuery: query}
		r.Header.Set("Authorization", "Bearer "+fuzzKey)
		r.Header.Set("Content-Type", contentType)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		for _, in := range server.got {
			checkIncoming(t, &in)
		}
		readinessCheck := method == http.MethodGet && path == PathReady || method == http.MethodHead && path == PathReady
		if !readinessCheck && !strings.Contains(w.Body.String(), `"ran":"no"`) {
			t.Errorf("status %d, body %q", w.Code, w.Body.String())
		}
	})
}

func checkIncoming(t *testing.T, in *contract.Incoming) {
	if g := in.Generate; g != nil {
		if g.MaxTokens < 1 || g.MaxTokens > 100 || g.Model == "" || g.Prompt == "" || strings.Contains(g.Prompt, fuzzKey) {
			t.Errorf("passed on %+v", g)
		}
		return
	}
	call := in.Call
	if len(call.Body) > 4096 || strings.Contains(call.Path, "/../") {
		t.Errorf("passed on %+v", call)
	}
	for _, part := range []string{call.Path, call.Query, call.ContentType, string(call.Body)} {
		plain, _ := url.QueryUnescape(part)
		if strings.Contains(part, fuzzKey) || strings.Contains(plain, fuzzKey) {
			t.Errorf("the key was passed on in %q", part)
		}
	}
}
