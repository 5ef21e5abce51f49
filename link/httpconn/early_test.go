package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// earlyAnswer is part of an answer that ends with its connection.
const earlyAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart"

// serveEarly answers each request with earlyAnswer before it has read the body, and then calls
// end with the connection, which it closes afterwards.
func serveEarly(t *testing.T, end func(c *net.TCPConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 256)); err != nil {
					return
				}
				_, _ = io.WriteString(c, earlyAnswer)
				end(c.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String()
}

// uploadOne sends a request with a body that fills the connection, and reads its response.
func uploadOne(p *Pool, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q := request("1")
	q.Body = make([]byte, 8<<20)
	resp, err := p.Do(ctx, addr, q)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestResetDuringUploadIsNoEnd guards against part of an answer without a length that passes for all of it.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	addr := serveEarly(t, func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	p := New(Options{})
	defer p.Close()
	for range 200 {
		if body, err := uploadOne(p, addr); err == nil {
			t.Fatalf("%q was taken for a whole answer", body)
		}
	}
}

// TestUploadGoesOnAfterEnd checks that an answer without a length is whole if the server reads
// the rest of the request after it.
func TestUploadGoesOnAfterEnd(t *testing.T) {
	addr := serveEarly(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	})
	p := New(Options{})
	defer p.Close()
	if body, err := uploadOne(p, addr); err != nil || body != "part" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestUndefinedStatusIsNoAnswer guards against an answer whose status HTTP does not define.
func TestUndefinedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "2e2"} {
		s := serve(t, []string{"HTTP/1.1 " + status + " Odd\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok"})
		p := New(Options{})
		if body, err := exchangeOne(p, s.addr, "1"); !errors.Is(err, ErrNoResponse) {
			t.Errorf("status %s: body %q, error %v", status, body, err)
		}
		p.Close()
	}
}
