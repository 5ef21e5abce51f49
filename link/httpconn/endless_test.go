package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/internal/endlesstest"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestEndless plays servers that send bytes without end. Each call must fail soon, without
// using much memory.
func TestEndless(t *testing.T) {
	filler := "filler filler filler filler filler filler filler filler "
	for name, a := range map[string]endlesstest.Answer{
		"header lines":          {Head: "HTTP/1.1 200 OK\r\n", Repeat: "X-Filler: " + filler + "\r\n"},
		"one header line":       {Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat: filler},
		"no status line":        {Repeat: filler},
		"provisional responses": {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"provisional with header lines": {
			Repeat: "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n",
		},
		"body of another request's response": {Head: "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\n", Repeat: filler},
		"responses to other requests":        {Repeat: okSecond},
		"trailers":                           {Head: chunkedHead + "0\r\n", Repeat: "X-Filler: " + filler + "\r\n"},
		"one trailer":                        {Head: chunkedHead + "0\r\nX-Filler: ", Repeat: filler},
		"chunk extension":                    {Head: chunkedHead + "1;", Repeat: filler},
		"chunk extensions":                   {Head: chunkedHead, Repeat: "1;" + filler + "\r\na\r\n"},
		"chunk length":                       {Head: chunkedHead, Repeat: "0"},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{DialTimeout: endlesstest.Patience})
			defer p.Close()
			addr := endlesstest.Serve(t, a, false)
			endlesstest.Check(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
				defer cancel()
				resp, err := p.Do(ctx, addr, request("1"))
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Close()
				}
				if err == nil || errors.Is(err, ErrNotSent) {
					t.Errorf("error %v, want one that says that the request may have arrived", err)
				}
			})
		})
	}
}

// TestEndlessEvent plays streams with an event that never ends.
func TestEndlessEvent(t *testing.T) {
	for name, a := range map[string]endlesstest.Answer{
		"one line": {Head: chunkless, Repeat: "data data data data data data data data data data "},
		"lines":    {Head: chunkless, Repeat: "data: data data data data data data data data data\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{DialTimeout: endlesstest.Patience})
			defer p.Close()
			addr := endlesstest.Serve(t, a, false)
			endlesstest.Check(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
				defer cancel()
				resp, err := p.Do(ctx, addr, request("1"))
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Close()
				if _, _, err := NewEventReader(resp.Body).Next(); !errors.Is(err, ErrTooLong) {
					t.Errorf("error %v, want %v", err, ErrTooLong)
				}
			})
		})
	}
}

// chunkless is the head of a response that ends with its connection.
const chunkless = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n"

// TestLongHeadIsRead checks that the bound leaves room for true heads, and that it does not
// shorten a body.
func TestLongHeadIsRead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
	for range 400 {
		head += "X-Filler: filler filler filler filler filler filler filler\r\n"
	}
	body := make([]byte, 3*maxHeadBytes)
	for i := range body {
		body[i] = 'b'
	}
	s := serve(t, []string{"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 196608\r\n\r\n" + string(body), okFirst})
	p := New(Options{DialTimeout: endlesstest.Patience})
	defer p.Close()
	got, err := exchangeOne(p, s.addr, "1")
	if err != nil || got != string(body) {
		t.Fatalf("%d bytes, error %v, want the whole body of %d", len(got), err, len(body))
	}
	if got, err := exchangeOne(p, s.addr, "1"); err != nil || got != "ok" {
		t.Errorf("%q, error %v on the same connection, want ok", got, err)
	}
	if conns, _ := s.received(); conns != 1 {
		t.Errorf("%d connections, want one", conns)
	}
}

// TestEndlessClosesConnection checks that the connection is closed at once, which makes the
// server stop.
func TestEndlessClosesConnection(t *testing.T) {
	p := New(Options{DialTimeout: endlesstest.Patience})
	defer p.Close()
	addr := endlesstest.Serve(t, endlesstest.Answer{Repeat: "x"}, false)
	_, err := p.Do(context.Background(), addr, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	if !errors.Is(err, ErrNoResponse) || !errors.Is(err, ErrTooLong) {
		t.Errorf("error %v, want %v and %v", err, ErrNoResponse, ErrTooLong)
	}
	if idle := p.IdleCount(); idle != 0 {
		t.Errorf("%d idle connections, want none", idle)
	}
}

// FuzzResponse reads arbitrary bytes as the response to a request: it must end, and a
// response that is accepted belongs to the request.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{okFirst, okSecond + okFirst, provisional, truncated, unframed, garbage, chunkedHead + "2\r\nok\r\n0\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = server.Write(sent)
			_ = server.Close()
		}()
		p := New(Options{DialTimeout: endlesstest.Patience})
		defer p.Close()
		x := &exchange{pool: p, conn: p.adopt(client, "a"), stop: func() bool { return true }}
		if err := x.send(request("1")); err != nil {
			t.Fatal(err)
		}
		resp, err := x.receive(request("1"))
		if err != nil {
			return
		}
		if resp.Header.Get("Request-Id") != "1" {
			t.Fatalf("accepted a response with the head %v", resp.Header)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
	})
}
