package api_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
)

type emptyNode struct{}

func (emptyNode) Snapshot() *config.Snapshot { return config.EmptySnapshot() }
func (emptyNode) Offer(config.Loaded)        {}

type emptyFleet struct{}

func (emptyFleet) QueryAll(context.Context, operator.Question) ([]operator.Answer, []operator.MissingInstance) {
	return nil, nil
}

func newHandler(operators ...api.Operator) http.Handler {
	p := memplatform.New()
	return api.NewHandler(api.Options{
		Service:   operator.NewService(configstore.New(p.Table, p.Objects), emptyNode{}, emptyFleet{}, clock.System{}),
		Operators: operators,
		Ready:     func() (bool, string) { return false, "no configuration" },
		Log:       hclog.NewNullLogger(),
	})
}

func TestStatusAndErrorCodes(t *testing.T) {
	handler := newHandler(
		api.Operator{Name: "w", Key: contract.HashKey("w"), Role: api.RoleWrite},
		api.Operator{Name: "r", Key: contract.HashKey("r"), Role: api.RoleRead},
	)
	const statements = wire.StatementsPath
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          wire.Code
	}{
		{"live", "GET", "/live", "", "", 200, ""},
		{"not ready", "GET", "/ready", "", "", 503, ""},
		{"metrics without key", "GET", "/debug/vars", "", "", 401, wire.CodeUnauthenticated},
		{"metrics", "GET", "/debug/vars", "r", "", 200, ""},
		{"no key", "POST", statements, "", `{"statements":["accounts"]}`, 401, wire.CodeUnauthenticated},
		{"wrong key", "POST", statements, "x", `{"statements":["accounts"]}`, 401, wire.CodeUnauthenticated},
		{"query", "POST", statements, "r", `{"statements":["accounts"]}`, 200, ""},
		{"command with a read-only key", "POST", statements, "r", `{"statements":["delete account a"]}`, 403, wire.CodeForbidden},
		{"unknown account", "POST", statements, "w", `{"statements":["delete account a"]}`, 404, wire.CodeUnknownObject},
		{"no JSON", "POST", statements, "w", `accounts`, 400, wire.CodeMalformed},
		{"two values", "POST", statements, "w", `{"statements":["accounts"]} {}`, 400, wire.CodeMalformed},
		{"unknown field", "POST", statements, "w", `{"statement":"accounts"}`, 400, wire.CodeMalformed},
		{"no statement", "POST", statements, "w", `{"statements":[]}`, 400, wire.CodeMalformed},
		{"wait too long", "POST", statements, "w", `{"statements":["delete account a"],"wait_ms":9999999}`, 400, wire.CodeMalformed},
		{"bad statement", "POST", statements, "w", `{"statements":["delete"]}`, 400, wire.CodeStatement},
		{"too large", "POST", statements, "w", `{"statements":["` + strings.Repeat("a", api.MaxBody) + `"]}`, 413, wire.CodeTooLarge},
		{"by path", "GET", "/v1/accounts?where=rate+%3E+3&order_by=rate&limit=2", "r", "", 200, ""},
		{"by path, bad clause", "GET", "/v1/accounts?where=rate", "r", "", 400, wire.CodeStatement},
		{"by path, no subject", "GET", "/v1/secrets", "r", "", 404, wire.CodeUnknownPath},
		{"by path, a command", "GET", "/v1/delete%20account%20a", "w", "", 404, wire.CodeUnknownPath},
		{"unknown path", "GET", "/", "w", "", 404, wire.CodeUnknownPath},
		{"wrong method", "PUT", statements, "w", "", 404, wire.CodeUnknownPath},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.key != "" {
				request.Header.Set("Authorization", "Bearer "+c.key)
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			var body wire.ErrorResponse
			if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
				t.Fatalf("not JSON: %s", recorder.Body)
			}
			if recorder.Code != c.status || body.Error.Code != c.code {
				t.Errorf("status %d, code %q: %s", recorder.Code, body.Error.Code, recorder.Body)
			}
			if c.code != "" && (body.Error.Message == "" || body.Error.Changed != "no") {
				t.Errorf("error response is incomplete: %s", recorder.Body)
			}
		})
	}
}

// FuzzStatements checks that the response to any request body is JSON.
func FuzzStatements(f *testing.F) {
	handler := newHandler(api.Operator{Name: "w", Key: contract.HashKey("w"), Role: api.RoleWrite})
	f.Add(`{"statements":["accounts limit 1"],"expect":0,"dry_run":true}`)
	f.Add(`{"statements":["create account a rate 1 burst 1","delete account a"]}`)
	f.Fuzz(func(t *testing.T, body string) {
		request := httptest.NewRequest("POST", wire.StatementsPath, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer w")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if !json.Valid(recorder.Body.Bytes()) {
			t.Errorf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}
