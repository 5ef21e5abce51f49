package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	standin "github.com/trefoilwalk/trefoilwalk/internal/standin/platform"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

const callerKey = "key-of-the-order-desk"

// rig is two sidecars and two entries as processes, before one stand-in service.
type rig struct {
	t        *testing.T
	platform *memplatform.Platform
	service  *service.Service
	storeURL string
	sidecars []*Sidecar
	entries  []*Entry
}

// serveHTTP answers on a loopback port until the test ends.
func serveHTTP(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

func plain(l *settings.Listener) {
	l.Listen, l.PlainText = "127.0.0.1:0", true
}

func newRig(t *testing.T, takes time.Duration) *rig {
	r := &rig{t: t, platform: memplatform.New(), service: service.New(service.Options{Takes: takes})}
	r.storeURL = serveHTTP(t, standin.Handler(r.platform))
	url := serveHTTP(t, r.service.Handler())
	commands := []config.Command{
		config.CreateAccount{Account: contract.ClientAccount{ID: "desk", Weight: 1, Rate: contract.Rate{PerSecond: 1e6, Burst: 1e6}}},
		config.GrantKey{Hash: contract.HashKey(callerKey), Account: "desk", Label: "main"},
		config.CreateRoute{Route: contract.Route{Name: "dispatch", Kind: contract.RouteService, Service: "desk", PathPrefix: "/dispatch/", Timeout: 20 * time.Second}},
	}
	for _, id := range []string{"desk-1", "desk-2"} {
		s := settings.DefaultSidecar()
		s.Where = settings.Where{Name: id, Region: "west", Zone: "west-a"}
		plain(&s.Peer)
		plain(&s.Operator)
		s.Platform.URL = r.storeURL
		s.Upstream.ID, s.Upstream.Kind, s.Upstream.URL = id, settings.KindService, url
		s.Drain.Notice.Duration = 100 * time.Millisecond
		p, err := StartSidecar(s, Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		r.sidecars = append(r.sidecars, p)
		commands = append(commands, config.AddUpstream{Upstream: upstream.Upstream{ID: upstream.ID(id), Role: upstream.RoleService,
			State: upstream.StateServing, Pool: "desk", Place: zone.Place{Region: "west", Zone: "west-a"}, SidecarAddr: p.PeerAddr}})
	}
	store := configstore.New(r.platform.Table, r.platform.Objects)
	next, err := config.Apply(config.Empty(), config.Batch{Commands: commands}, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	change := config.Change{Revision: next.Revision, By: "test", At: next.ChangedAt, Command: config.Batch{Commands: commands}}
	if err := store.Accept(t.Context(), config.Empty(), change); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		r.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	return r
}

func (r *rig) startEntry(name string) *Entry {
	s := settings.DefaultEntry()
	s.Where = settings.Where{Name: name, Region: "west", Zone: "west-a"}
	s.Zones = []string{"west-a"}
	for _, l := range []*settings.Listener{&s.Caller, &s.Peer, &s.Operator} {
		plain(l)
	}
	s.Platform.URL = r.storeURL
	s.Rates.Policy = rate.PolicyFixedSplit
	s.PseudonymSecret = "pseudonyms-of-a-test"
	s.Drain.Notice.Duration = 300 * time.Millisecond
	p, err := StartEntry(s, Options{})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(p.Kill)
	r.entries = append(r.entries, p)
	for range 400 {
		if ok, _ := p.core.Ready(); ok {
			return p
		}
		time.Sleep(25 * time.Millisecond)
	}
	r.t.Fatal("the entry is not ready")
	return nil
}

// send starts a call and returns what its caller will see.
func (r *rig) send(calls *sync.WaitGroup, e *Entry, key string) *load.Answer {
	a := new(load.Answer)
	transport := &http.Transport{}
	calls.Go(func() {
		defer transport.CloseIdleConnections()
		*a = load.NewClient(transport).Call(r.t.Context(), http.MethodPost, "http://"+e.CallerAddr+"/dispatch/wire", callerKey, key, "coil "+key)
	})
	return a
}

// TestShutdownCutsNoRequest shuts a sidecar down, then an entry, while calls that
// may not be repeated run through both. All calls are answered, each ran once,
// and what comes after is refused as not run.
func TestShutdownCutsNoRequest(t *testing.T) {
	const calls = 20
	r := newRig(t, 400*time.Millisecond)
	var running, shutdowns sync.WaitGroup
	var answers []*load.Answer
	round := func(name string, end func(context.Context) error) {
		for i := range calls {
			answers = append(answers, r.send(&running, r.entries[i%2], fmt.Sprintf("%s-%d", name, i)))
		}
		time.Sleep(150 * time.Millisecond)
		shutdowns.Go(func() {
			if err := end(t.Context()); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	round("sidecar", r.sidecars[0].Shutdown)
	time.Sleep(50 * time.Millisecond)
	round("entry", r.entries[0].Shutdown)
	time.Sleep(100 * time.Millisecond)
	resp, err := http.Get("http://" + r.entries[0].CallerAddr + "/-/ready")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("while draining the balancer got %v, %v", resp, err)
	}
	running.Wait()
	shutdowns.Wait()
	for i, a := range answers {
		if !a.Whole || !strings.Contains(a.Text, "ran") {
			t.Errorf("call %d: %+v", i, *a)
		}
	}
	for body, n := range r.service.Bodies() {
		if n != 1 {
			t.Errorf("%q ran %d times", body, n)
		}
	}
	if late := r.send(&running, r.entries[0], "late"); true {
		running.Wait()
		if late.Whole || r.service.RanBody("coil late") != 0 {
			t.Errorf("a call after the shutdown got %+v", *late)
		}
	}
}

// TestKeysStopAtTheEntry sends a key in every place where callers put one and
// searches all that the service received.
func TestKeysStopAtTheEntry(t *testing.T) {
	r := newRig(t, time.Millisecond)
	cases := []struct {
		name, query, body string
		header            map[string]string
		status            int
	}{
		{"header", "", "", nil, 200},
		{"query forms", "?key=KEY&api_key=KEY&Access-Token=KEY&x=1", "", nil, 200},
		{"other headers", "", "", map[string]string{"X-Api-Key": "KEY", "Cookie": "session=KEY", "Proxy-Authorization": "Bearer KEY"}, 200},
		{"other parameter", "?note=KEY", "", nil, 400},
		{"escaped parameter", "?note=%6bey-of-the-order-desk", "", nil, 400},
		{"body", "", "key=KEY", nil, 400},
		{"content type", "", "", map[string]string{"Content-Type": "text/KEY"}, 400},
		{"path", "/KEY", "", nil, 400},
	}
	for i, c := range cases {
		fill := func(s string) string { return strings.ReplaceAll(s, "KEY", callerKey) }
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.entries[0].CallerAddr+"/dispatch/wire"+fill(c.query), strings.NewReader(fill(c.body)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+callerKey)
		req.Header.Set("Idempotency-Key", fmt.Sprint("key-", i))
		for name, value := range c.header {
			req.Header.Set(name, fill(value))
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", c.name, resp.StatusCode, c.status)
		}
	}
	if r.service.Received.Contains(callerKey) || r.service.Received.Contains(contract.HashKey(callerKey).Short()) {
		t.Error("the service was sent the key")
	}
}
