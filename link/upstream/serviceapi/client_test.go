package serviceapi_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/inproc"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/serviceapi"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/upstreamtest"
)

func newClient(t testing.TB, base string, transport http.RoundTripper) *serviceapi.Client {
	c, err := serviceapi.New(base, transport)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestContractOverLoopback(t *testing.T) {
	upstreamtest.RunService(t, func(t *testing.T) (link.Service, *service.Service) {
		s := service.New(service.Options{})
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		return newClient(t, server.URL, nil), s
	})
}

func TestContractInProcess(t *testing.T) {
	upstreamtest.RunService(t, func(t *testing.T) (link.Service, *service.Service) {
		s := service.New(service.Options{})
		return newClient(t, "http://service", inproc.Transport{Handler: s.Handler()}), s
	})
}

// TestNotSentOnlyWithoutConnection checks that only a call without a connection fails
// with ErrNotSent, and that each call with an incomplete answer fails with ErrInterrupted,
// since it may have run.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	cases := []struct {
		name string
		// serve handles each connection; nil closes the listener.
		serve func(c net.Conn)
		want  error
	}{
		{"no listener", nil, link.ErrNotSent},
		{"connection closed at once", func(net.Conn) {}, link.ErrInterrupted},
		{"closed after the first byte", func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, link.ErrInterrupted},
		{"not HTTP", answerWith("hello\r\n\r\n"), link.ErrInterrupted},
		{"body cut short", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), link.ErrInterrupted},
		{"body without an end", answerWith("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"), link.ErrInterrupted},
		{"chunk cut short", answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), link.ErrInterrupted},
		{"whole", answerWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull"), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var accepted atomic.Int32
			addr := listen(t, &accepted, c.serve)
			for n, method := range []string{http.MethodGet, http.MethodPost} {
				_, err := newClient(t, "http://"+addr, nil).Call(t.Context(), contract.CallID{Request: "r"}, "", contract.ServiceCall{Method: method, Path: "/"})
				if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
					t.Errorf("%s: got %v, want %v", method, err, c.want)
				}
				if c.serve != nil && int(accepted.Load()) != n+1 {
					t.Errorf("%s: %d connections for %d calls", method, accepted.Load(), n+1)
				}
			}
		})
	}
}

func answerWith(text string) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1<<16))
		_, _ = c.Write([]byte(text))
	}
}

func listen(t *testing.T, accepted *atomic.Int32, serve func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if serve == nil {
		l.Close()
		return l.Addr().String()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			serve(c)
			c.Close()
		}
	}()
	return l.Addr().String()
}

// TestTransportDoesNotResend guards against resends by net/http, which repeats a GET
// by itself if the server closes a reused connection. The server aborts every second
// request.
func TestTransportDoesNotResend(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	c := newClient(t, server.URL, nil)
	for n := range 10 {
		_, err := c.Call(t.Context(), contract.CallID{Request: "r"}, "", contract.ServiceCall{Method: http.MethodGet, Path: "/"})
		if wantErr := n%2 == 1; (err != nil) != wantErr {
			t.Errorf("call %d: got %v", n, err)
		}
	}
	if got := requests.Load(); got != 10 {
		t.Errorf("10 calls made %d requests", got)
	}
}

// BenchmarkCall compares one connection per call with reused connections.
func BenchmarkCall(b *testing.B) {
	s := service.New(service.Options{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	kinds := map[string]http.RoundTripper{"new": nil, "kept": &http.Transport{}}
	for name, transport := range kinds {
		b.Run("connection="+name, func(b *testing.B) {
			c := newClient(b, server.URL, transport)
			call := contract.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 256))}
			for b.Loop() {
				if _, err := c.Call(b.Context(), contract.CallID{Request: "r"}, "a", call); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
