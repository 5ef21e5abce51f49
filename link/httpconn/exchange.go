package httpconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("httpconn: request was not sent")
	// ErrNoAnswer means that the request may have arrived and no answer came.
	ErrNoAnswer = errors.New("httpconn: no whole answer")
	// ErrForeign means that answers to other requests came instead.
	ErrForeign = errors.New("httpconn: answer belongs to another request")
)

// inlineBody is the size up to which a body is written before the answer is
// read. A larger one could fill the connection while the upstream answers early.
const inlineBody = 16 << 10

// maxForeign bounds the answers to other requests that are skipped.
const maxForeign = 2

// Request is one request as it goes on the wire.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Match tells whether an answer belongs to the request; nil means that any
	// does.
	Match func(*http.Response) bool
}

// Response is an answer whose body is being read. Close must be called once.
type Response struct {
	*http.Response
	exchange *exchange
}

// exchange is a request on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written ends when the body is out; nil if it was written at once.
	written chan error
	// stop ends the watch of the context.
	stop func() bool
	// whole is set when the body was read to its end.
	whole bool
}

// Do sends a request and reads the head of its answer. When ctx ends the
// connection is closed. The error wraps ErrNotSent, ErrNoAnswer or ErrForeign.
func (p *Pool) Do(ctx context.Context, addr string, q *Request) (*Response, error) {
	for {
		c, err := p.get(ctx, addr)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		reused := c.used
		x := &exchange{pool: p, conn: c}
		x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
		err = x.send(q)
		if err == nil {
			return x.receive(q)
		}
		x.abort()
		if reused && errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

// send writes the head, and the body if it is small; a larger body is written
// while the answer is awaited.
func (x *exchange) send(q *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead && q.Method != http.MethodDelete {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.Body))
	}
	if err := q.Header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	head.WriteString("\r\n")
	inline := len(q.Body) <= inlineBody
	if inline {
		head.Write(q.Body)
	}
	n, err := x.conn.Write(head.Bytes())
	switch {
	case err != nil && n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	case inline:
		return nil
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(q.Body)
		x.written <- err
	}()
	return nil
}

// receive reads the head of the answer, past those of other requests.
func (x *exchange) receive(q *Request) (*Response, error) {
	// ReadResponse needs the method to know whether a body follows.
	asked := &http.Request{Method: q.Method}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(x.conn.reader, asked)
		for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
			resp, err = http.ReadResponse(x.conn.reader, asked)
		}
		if err != nil {
			x.abort()
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		if q.Match == nil || q.Match(resp) {
			return x.response(resp), nil
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Close {
			break
		}
	}
	x.abort()
	return nil, ErrForeign
}

func (x *exchange) response(resp *http.Response) *Response {
	r := &Response{Response: resp, exchange: x}
	resp.Body = &body{ReadCloser: resp.Body, exchange: x}
	return r
}

// body notices that the answer was read to its end.
type body struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.whole = true
	}
	return n, err
}

// Close keeps the connection if the exchange left it clean, and closes it
// otherwise, upon which the upstream drops the work.
func (r *Response) Close() {
	x := r.exchange
	sent := true
	if x.written != nil {
		select {
		case err := <-x.written:
			sent = err == nil
		default:
			sent = false
		}
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	if !x.stop() || !x.whole || !sent || !framed || r.Response.Close || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn, keepAlive(r.Header))
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// keepAlive gives the idle time that the answer names, 0 if none.
func keepAlive(h http.Header) time.Duration {
	for _, field := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
