package engineapi_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/inproc"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/upstreamtest"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

func TestContractOverLoopback(t *testing.T) {
	start := func(t *testing.T, role upstream.Role) (*engine.Engine, link.Engine) {
		server := httptest.NewUnstartedServer(nil)
		options := upstreamtest.Options(role)
		options.URL = "http://" + server.Listener.Addr().String()
		e := engine.New(options)
		server.Config.Handler = e.Handler()
		server.Start()
		t.Cleanup(server.Close)
		t.Cleanup(e.Close)
		return e, engineapi.New(server.URL, nil)
	}
	upstreamtest.RunEngine(t, func(t *testing.T, body func(*testing.T, upstreamtest.Pair)) {
		var p upstreamtest.Pair
		p.PrefillStandin, p.Prefill = start(t, upstream.RolePrefill)
		p.DecodeStandin, p.Decode = start(t, upstream.RoleDecode)
		body(t, p)
	})
}

func TestContractInProcess(t *testing.T) {
	upstreamtest.RunEngine(t, func(t *testing.T, body func(*testing.T, upstreamtest.Pair)) {
		synctest.Test(t, func(t *testing.T) {
			prefill := engine.New(upstreamtest.Options(upstream.RolePrefill))
			decode := engine.New(upstreamtest.Options(upstream.RoleDecode))
			source := inproc.Transport{Handler: prefill.Handler()}
			decode.SetTransport(source)
			body(t, upstreamtest.Pair{
				Prefill:        engineapi.New("http://prefill", source),
				Decode:         engineapi.New("http://decode", inproc.Transport{Handler: decode.Handler()}),
				PrefillStandin: prefill,
				DecodeStandin:  decode,
			})
			prefill.Close()
			decode.Close()
		})
	})
}

// TestBadStreams checks that output of another call and output with a gap or a repeat
// is not emitted, and that a stream that ends early fails.
func TestBadStreams(t *testing.T) {
	const open = `{"call":{"request":"r","attempt":1}}`
	const first = `{"offset":0,"texts":["a","b"]}`
	cases := []struct {
		name  string
		lines string
		want  error
		texts int
	}{
		{"whole", open + first + `{"offset":2,"texts":["c"],"done":true}`, nil, 3},
		{"other request", `{"call":{"request":"q","attempt":1}}` + first, link.ErrInterrupted, 0},
		{"other attempt", `{"call":{"request":"r","attempt":2}}` + first, link.ErrInterrupted, 0},
		{"no call", first, link.ErrInterrupted, 0},
		{"gap", open + first + `{"offset":3,"texts":["c"],"done":true}`, link.ErrInterrupted, 2},
		{"repeat", open + first + `{"offset":1,"texts":["b"],"done":true}`, link.ErrInterrupted, 2},
		{"ends before done", open + first, link.ErrInterrupted, 2},
		{"cut line", open + first + `{"offset":2,"te`, link.ErrInterrupted, 2},
		{"not JSON", open + first + `<html>`, link.ErrInterrupted, 2},
		{"error", open + first + `{"error":{"code":"evicted"}}`, link.ErrEvicted, 2},
		{"unknown error", open + first + `{"error":{"code":"odd"}}`, link.ErrInterrupted, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, c.lines) }
			client := engineapi.New("http://engine", inproc.Transport{Handler: http.HandlerFunc(answer)})
			texts := 0
			err := client.Decode(t.Context(), link.Decode{Call: contract.CallID{Request: "r", Attempt: 1}}, func(chunk contract.Chunk) error {
				texts += len(chunk.Texts)
				return nil
			})
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if texts != c.texts {
				t.Errorf("%d texts were emitted, want %d", texts, c.texts)
			}
		})
	}
}

// TestConnectionRefused checks that a call to an address without a listener fails with
// ErrNotSent.
func TestConnectionRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := engineapi.New(server.URL, nil).Prefill(t.Context(), link.Prefill{})
	if !errors.Is(err, link.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}
