package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// scriptedServer answers each connection by the next script, which holds the raw
// response to each request in turn.
type scriptedServer struct {
	addr string

	mu      sync.Mutex
	scripts [][]string
	// requests are the method, target and body of each request received.
	requests []string
	conns    int
}

// hangUp closes the connection instead of sending a response.
const hangUp = "hang up"

func serve(t *testing.T, scripts ...[]string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{addr: l.Addr().String(), scripts: scripts}
	var done sync.WaitGroup
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Go(func() { s.conn(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		done.Wait()
	})
	return s
}

func (s *scriptedServer) conn(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	s.conns++
	var script []string
	if len(s.scripts) > 0 {
		script, s.scripts = s.scripts[0], s.scripts[1:]
	}
	s.mu.Unlock()
	reader := bufio.NewReader(c)
	for _, answer := range script {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, q.Method+" "+q.RequestURI+" "+string(body))
		s.mu.Unlock()
		if answer == hangUp {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
	// Keep the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, reader)
}

func (s *scriptedServer) received() (conns int, requests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, append([]string(nil), s.requests...)
}

const (
	okFirst     = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"
	okSecond    = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 2\r\n\r\nok"
	okClose     = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	unframed    = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nok"
	provisional = "HTTP/1.1 100 Continue\r\n\r\n" + okFirst
	truncated   = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 20\r\n\r\nok"
	garbage     = "this is no HTTP\r\n\r\n"
)

func request(id string) *Request {
	return &Request{
		Method: "POST", Target: "/a//b?c=%2f", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte("body"),
		MatchResponse: func(r *http.Response) bool { return r.Header.Get("Request-Id") == id },
	}
}

// exchangeOne sends one request and reads its whole response.
func exchangeOne(p *Pool, addr, id string) (string, error) {
	resp, err := p.Do(context.Background(), addr, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestExchanges checks errors and connection reuse for well-formed, late, surplus
// and missing responses.
func TestExchanges(t *testing.T) {
	cases := []struct {
		name    string
		scripts [][]string
		// want is the error of each request in turn, and conns the number of
		// connections used by all of them.
		want  []error
		conns int
	}{
		{"a connection is reused", [][]string{{okFirst, okSecond}}, []error{nil, nil}, 1},
		{"the upstream closes", [][]string{{okClose}, {okSecond}}, []error{nil, nil}, 2},
		{"provisional responses are skipped", [][]string{{provisional, okSecond}}, []error{nil, nil}, 1},
		{"a late surplus response on an idle connection", [][]string{{okFirst + okFirst}, {okSecond}}, []error{nil, nil}, 2},
		{"a surplus response before the right one", [][]string{{okFirst, okFirst + okSecond}}, []error{nil, nil}, 1},
		{"only responses to other requests", [][]string{{okSecond + okSecond + okSecond}}, []error{ErrWrongResponse}, 1},
		{"no response", [][]string{{hangUp}}, []error{ErrNoResponse}, 1},
		{"not HTTP", [][]string{{garbage}}, []error{ErrNoResponse}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, c.scripts...)
			p := New(Options{})
			defer p.Close()
			for i, want := range c.want {
				_, err := exchangeOne(p, s.addr, string(rune('1'+i)))
				if !errors.Is(err, want) || want == nil && err != nil {
					t.Errorf("request %d: %v, want %v", i+1, err, want)
				}
			}
			conns, requests := s.received()
			if conns != c.conns || len(requests) != len(c.want) {
				t.Errorf("%d connections and requests %q, want %d and %d", conns, requests, c.conns, len(c.want))
			}
			if requests[0] != "POST /a//b?c=%2f body" {
				t.Errorf("the upstream got %q", requests[0])
			}
		})
	}
}

// TestShortBody checks that reading a body that ends before its Content-Length
// is an error.
func TestShortBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, truncated)
		_ = c.Close()
	}()
	p := New(Options{})
	defer p.Close()
	if body, err := exchangeOne(p, l.Addr().String(), "1"); err == nil {
		t.Errorf("truncated body %q was read without an error", body)
	}
}

// TestUnframedIsNotReused checks that a response without a length is read until
// the connection closes, and that the connection is not reused.
func TestUnframedIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, unframed)
			_ = c.Close()
		}
	}()
	p := New(Options{})
	defer p.Close()
	for range 2 {
		if body, err := exchangeOne(p, l.Addr().String(), "1"); err != nil || body != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	}
	if p.DialCount() != 2 {
		t.Errorf("%d connections, want 2", p.DialCount())
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	p := New(Options{})
	defer p.Close()
	if _, err := exchangeOne(p, addr, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("%v, want ErrNotSent", err)
	}
}

// TestCancel checks that canceling the context closes the connection to the
// upstream.
func TestCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			closed <- err
			return
		}
		cancel()
		_, err = io.Copy(io.Discard, reader)
		closed <- err
	}()
	p := New(Options{})
	defer p.Close()
	if _, err := p.Do(ctx, l.Addr().String(), request("1")); !errors.Is(err, ErrNoResponse) {
		t.Errorf("%v, want ErrNoResponse", err)
	}
	<-closed
}

func TestEvents(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
		end        error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"lines end with CR LF", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"no id", "data: a\n\n", []string{""}, io.EOF},
		{"empty", "", nil, io.EOF},
		{"truncated inside a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, ErrTruncated},
		{"truncated between lines", "id: 1\ndata: a\n\nid: 2\n", []string{"1"}, ErrTruncated},
		{"long line", "id: 1\ndata: " + strings.Repeat("x", 70_000) + "\n\n", []string{"1"}, io.EOF},
	}
	for _, c := range cases {
		reader := NewEventReader(strings.NewReader(c.text))
		var got []string
		var all strings.Builder
		for {
			id, raw, err := reader.Next()
			if err != nil {
				if err != c.end {
					t.Errorf("%s: ended with %v, want %v", c.name, err, c.end)
				}
				break
			}
			got = append(got, id)
			all.Write(raw)
		}
		if strings.Join(got, ",") != strings.Join(c.want, ",") {
			t.Errorf("%s: events %q, want %q", c.name, got, c.want)
		}
		if c.end == io.EOF && all.String() != c.text {
			t.Errorf("%s: bytes changed", c.name)
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewEventReader(strings.NewReader(text))
		read := 0
		for {
			_, raw, err := reader.Next()
			if err != nil {
				return
			}
			read += len(raw)
			if len(raw) == 0 || read > len(text) {
				t.Fatalf("%d bytes of events from %d bytes", read, len(text))
			}
		}
	})
}

func TestKeepAlive(t *testing.T) {
	for field, want := range map[string]float64{"timeout=5, max=100": 5, "max=1": 0, "timeout=x": 0, "": 0, "Timeout=2": 2} {
		if got := keepAlive(http.Header{"Keep-Alive": {field}}); got.Seconds() != want {
			t.Errorf("%q: %v, want %vs", field, got, want)
		}
	}
}
