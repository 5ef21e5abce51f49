package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// pipeListener is a listener of in-memory connections, opened by dial.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// streamUntilError streams until a write to the caller fails, then closes ended.
func streamUntilError(ended chan<- struct{}) func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
	return func(_ context.Context, _ contract.Incoming, sink contract.Sink) *contract.Refusal {
		for next := contract.Tokens(0); ; next++ {
			if sink.WriteChunk(contract.Chunk{Offset: next, Texts: []string{" warp"}}) != nil {
				close(ended)
				return nil
			}
		}
	}
}

// TestSlowCallersAreDisconnected checks the timeouts and size limits of a
// connection in fake time, and that a caller that only waits is not disconnected.
func TestSlowCallersAreDisconnected(t *testing.T) {
	const post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key-123\r\n"
	const stream = `{"model":"m","prompt":"a","stream":true}`
	limits := Limits{HeaderTimeout: time.Second, BodyTimeout: 2 * time.Second, WriteTimeout: 3 * time.Second, Connections: 1}
	cases := []struct {
		name, send string
		// answer must be part of the response. Headers that are too slow or too
		// large are answered by net/http itself, in plain text.
		answer string
		within time.Duration
	}{
		{"half a header", "POST /v1/comp", "400", limits.HeaderTimeout},
		{"half a body", post + "Content-Length: 10\r\n\r\nabc", `"code":"too_slow"`, limits.BodyTimeout},
		{"large body announced", post + "Content-Length: 99999999\r\n\r\n", `"code":"too_large"`, 0},
		{"large headers", post + "X: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", "431", 0},
		{"malformed chunk length", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", `"code":"malformed"`, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, stop := serveOne(t, &fakeServer{}, limits)
				defer stop()
				start := time.Now()
				go func() { _, _ = io.WriteString(conn, c.send) }()
				got, _ := io.ReadAll(conn)
				if !strings.Contains(string(got), c.answer) {
					t.Errorf("got %q, want %q", got, c.answer)
				}
				// net/http waits a little before it closes on unread input.
				if took := time.Since(start); took > c.within+time.Second {
					t.Errorf("took %v, want at most %v", took, c.within)
				}
			})
		})
	}
	t.Run("caller does not read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ended := make(chan struct{})
			conn, stop := serveOne(t, &fakeServer{serve: streamUntilError(ended)}, limits)
			defer stop()
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", post, len(stream), stream)
			start := time.Now()
			<-ended
			if took := time.Since(start); took != limits.WriteTimeout {
				t.Errorf("disconnected after %v, want %v", took, limits.WriteTimeout)
			}
		})
	})
	t.Run("caller disconnects while waiting", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			left := make(chan struct{})
			wait := func(ctx context.Context, _ contract.Incoming, _ contract.Sink) *contract.Refusal {
				<-ctx.Done()
				close(left)
				return nil
			}
			conn, stop := serveOne(t, &fakeServer{serve: wait}, limits)
			defer stop()
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", post, len(stream), stream)
			time.Sleep(time.Hour)
			select {
			case <-left:
				t.Error("a waiting caller was treated as disconnected")
			default:
			}
			_ = conn.Close()
			<-left
		})
	})
}

// TestConnectionsAreBounded checks that a connection above the limit is closed, and
// that a new one is served after the first has closed.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, stop := serve(t, &fakeServer{}, Limits{Connections: 1})
		defer stop()
		getReady := func(conn net.Conn) error {
			go func() { _, _ = io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") }()
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			return err
		}
		first := listener.dial()
		if err := getReady(first); err != nil {
			t.Errorf("first: %v", err)
		}
		if err := getReady(listener.dial()); err == nil {
			t.Error("the second connection was served")
		}
		_ = first.Close()
		synctest.Wait()
		if err := getReady(listener.dial()); err != nil {
			t.Errorf("after the first closed: %v", err)
		}
	})
}

// TestHeldBytesAreBounded checks that a body that would exceed the budget is refused,
// and that one is accepted after the budget has been released.
func TestHeldBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		hold := func(context.Context, contract.Incoming, contract.Sink) *contract.Refusal {
			<-release
			return contract.Refuse(contract.CodeNoConfig, "test")
		}
		listener, stop := serve(t, &fakeServer{serve: hold}, Limits{BodyBytes: 4096, HeldBytes: 6000})
		defer stop()
		send := func() string {
			conn := listener.dial()
			go func() {
				fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4000\r\n\r\n%s", strings.Repeat("a", 4000))
			}()
			got, _ := io.ReadAll(conn)
			return string(got)
		}
		first := make(chan string, 1)
		go func() { first <- send() }()
		synctest.Wait()
		if got := send(); !strings.Contains(got, `"code":"over_capacity"`) {
			t.Errorf("second got %q", got)
		}
		close(release)
		if got := <-first; !strings.Contains(got, `"code":"no_configuration"`) {
			t.Errorf("first got %q", got)
		}
		if got := send(); !strings.Contains(got, `"code":"no_configuration"`) {
			t.Errorf("after release got %q", got)
		}
	})
}

func serve(t *testing.T, server contract.Server, limits Limits) (*pipeListener, func()) {
	log := hclog.NewNullLogger()
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := NewServer(NewHandler(server, limits, log), limits, log)
	go func() { _ = s.Serve(listener) }()
	return listener, func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		synctest.Wait()
	}
}

func serveOne(t *testing.T, server contract.Server, limits Limits) (net.Conn, func()) {
	listener, stop := serve(t, server, limits)
	conn := listener.dial()
	return conn, func() {
		_ = conn.Close()
		stop()
	}
}
