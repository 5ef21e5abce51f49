package main

import (
	"bytes"
	"expvar"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/stats"
	"github.com/trefoilwalk/trefoilwalk/link/burnstats"
)

// TestRun checks the report in each form and the errors of the command line, with an
// entry's expvar page that requires an operator's key and with a source that cannot
// be read.
func TestRun(t *testing.T) {
	now := time.Now()
	s := stats.New(now, instance.Identity{Name: "entry-a", Incarnation: 1})
	route := contract.Route{Name: "summary", Targets: contract.LatencyTargets{FirstToken: time.Second}}
	s.RecordRequest(now, entry.RequestRecord{Route: route, Account: "franchise-1", FirstToken: 2 * time.Second})
	s.RecordRequest(now, entry.RequestRecord{Route: route, Account: "franchise-1", Refusal: contract.Refuse(contract.CodeCanceled, "")})
	burnstats.Publish("entry-a", func() burn.Snapshot { return s.Snapshot(now) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer operator" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		expvar.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("operator\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		args []string
		want []string
		fail bool
	}{
		{"table", []string{"--key-file", key, server.URL}, []string{"summary  franchise-1  first token     -1900.00%", "page", "gap: entry-a.1", "1 instances"}, false},
		{"json, and one source down", []string{"--key-file", key, "--json", server.URL, "no-such-file"}, []string{`"wrongful_refusals": null`, `no-such-file`}, false},
		{"HTML", []string{"--key-file", key, "--html", server.URL}, []string{"<svg"}, false},
		{"without the key", []string{server.URL}, []string{"no answer", "401", "0 instances"}, false},
		{"goal out of range", []string{"--latency-goal", "1", server.URL}, nil, true},
		{"no key file", []string{"--key-file", "no-such-file", server.URL}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(t.Context(), c.args, &out); (err != nil) != c.fail {
				t.Fatalf("got error %v, want an error: %v", err, c.fail)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}
