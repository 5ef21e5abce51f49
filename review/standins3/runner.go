package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a runner sends for one request.
type answer struct {
	status int
	header [][2]string
	body   string
	// cut closes the connection without an answer.
	cut bool
}

// server is an HTTP/1.1 server of a runner. It serves one request at a time on a connection
// and drops the work when the connection closes.
type server struct {
	addr   string
	handle func(q *http.Request, body []byte, left <-chan struct{}) answer

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.listener, s.addr, s.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		left, peeked := make(chan struct{}), make(chan error, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				close(left)
			}
			peeked <- err
		}()
		a := s.handle(q, body, left)
		if a.cut {
			return
		}
		if _, err := c.Write(a.whole()); err != nil {
			return
		}
		if <-peeked != nil {
			return
		}
	}
}

// whole returns the text of an answer.
func (a answer) whole() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

// run is one run of a client's request.
type run struct {
	id, runner string
	began      time.Time
}

// ledger holds what runners did. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	runs  []*run
	lines []string
	began time.Time
}

// begin records that a runner begins to work on a request.
func (l *ledger) begin(q *http.Request, runner string) {
	r := &run{id: q.Header.Get("Request-Id"), runner: runner, began: time.Now()}
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	l.note("run     %s at %s", r.id, runner)
}

// note adds a line to the record.
func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%9.3f ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// runsOf returns the runs of a request.
func (l *ledger) runsOf(id string) (out []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.id == id {
			out = append(out, *r)
		}
	}
	return out
}

// isControl reports whether a call is the gateway's own.
func isControl(q *http.Request) bool {
	return strings.HasPrefix(q.URL.Path, "/trefoilwalk/")
}

// refuse is an answer that says that the request was not run.
func refuse(q *http.Request, status int) answer {
	return answer{status: status, header: [][2]string{{"Request-Id", q.Header.Get("Request-Id")}, {names["not-run-header"], "1"}}}
}
