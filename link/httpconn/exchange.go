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

// Errors wrapped by Pool.Do.
var (
	// ErrNotSent means that no byte of the request was written to a connection.
	ErrNotSent = errors.New("httpconn: request was not sent")
	// ErrNoResponse means that the request may have arrived, but no complete
	// response head was received.
	ErrNoResponse = errors.New("httpconn: no whole answer")
	// ErrTooLong means that a response exceeded a bound on its size. It is wrapped
	// besides ErrNoResponse.
	ErrTooLong = errors.New("httpconn: response too long")
	// ErrWrongResponse means that only responses to other requests were received.
	ErrWrongResponse = errors.New("httpconn: answer belongs to another request")
)

// maxInlineBody is the size in bytes up to which a body is written before the
// response is read. A larger one could fill the connection while the upstream
// already responds.
const maxInlineBody = 16 << 10

// Bounds of what is read before the body of a response.
const (
	// maxSkippedResponses bounds the responses to other requests that are skipped, and
	// maxSkippedBytes the body of each.
	maxSkippedResponses = 2
	maxSkippedBytes     = 1 << 20
	// maxProvisional bounds the provisional responses.
	maxProvisional = 8
	// maxHeadBytes bounds the heads of all these and of the response together.
	maxHeadBytes = MaxHeadBytes
)

// MaxHeadBytes bounds the head of a response, also for clients that use net/http.
const MaxHeadBytes = 64 << 10

// Request is one request. Its fields are written as they are, except that a
// Content-Length is added.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// MatchResponse reports whether a response belongs to the request; nil accepts any.
	MatchResponse func(*http.Response) bool
	// Writing is called before and after a body is written beside the wait for the
	// response; nil for no call. Smaller bodies are written with the head.
	Writing func(ended bool)
}

// Response is a response whose body is being read. Close must be called once.
type Response struct {
	*http.Response
	exchange *exchange
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// upload is the body that is written beside the wait for the response; nil if the body
	// was written inline.
	upload *upload
	// stop cancels the function that closes the connection when the context ends.
	stop func() bool
	// bodyRead is set when the response body was read to its end.
	bodyRead bool
}

// Do sends a request and reads the head of its response. When ctx ends the
// connection is closed. If a reused connection fails before a byte of the request
// is written, another connection is tried. The error wraps ErrNotSent, ErrNoResponse
// or ErrWrongResponse.
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

// send writes the head, and the body up to maxInlineBody. A larger body is written
// by a goroutine while the response is awaited.
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
	inline := len(q.Body) <= maxInlineBody
	if inline {
		head.Write(q.Body)
	}
	n, err := x.conn.Write(head.Bytes())
	switch {
	case err != nil && n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	case inline:
		return nil
	}
	x.upload = &upload{ended: make(chan struct{})}
	writing := q.Writing
	if writing == nil {
		writing = func(bool) {}
	}
	writing(false)
	go func() {
		_, x.upload.err = x.conn.Write(q.Body)
		writing(true)
		close(x.upload.ended)
	}()
	return nil
}

// upload is a body that is being written. err is its result once ended is closed.
type upload struct {
	ended chan struct{}
	err   error
}

// receive reads the head of the response. It skips provisional responses and up to
// maxSkippedResponses responses to other requests, each within the bounds above.
func (x *exchange) receive(q *Request) (*Response, error) {
	head := x.conn.limit
	head.left = maxHeadBytes
	for range maxSkippedResponses + 1 {
		head.on = true
		resp, err := x.readHead(q.Method)
		head.on = false
		if head.left <= 0 && !errors.Is(err, ErrTooLong) {
			// The parser may report a line that was cut by the bound as malformed.
			err = errors.Join(err, head.tooLong())
		}
		if err != nil {
			x.abort()
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		if q.MatchResponse == nil || q.MatchResponse(resp) {
			return x.response(resp), nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
		if err != nil || resp.Close || skipped > maxSkippedBytes {
			break
		}
	}
	x.abort()
	return nil, ErrWrongResponse
}

// readHead reads the head of the next response that is not provisional.
func (x *exchange) readHead(method string) (*http.Response, error) {
	// ReadResponse needs the method to know whether a body follows.
	request := &http.Request{Method: method}
	for range maxProvisional + 1 {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d provisional responses", ErrTooLong, maxProvisional)
}

// CheckStatus returns an error for a status that HTTP does not define (RFC 9110, section 15),
// which net/http accepts.
func CheckStatus(status int) error {
	if status < 100 || status > 599 {
		return fmt.Errorf("httpconn: undefined status %03d", status)
	}
	return nil
}

func (x *exchange) response(resp *http.Response) *Response {
	r := &Response{Response: resp, exchange: x}
	resp.Body = &body{ReadCloser: resp.Body, exchange: x, framed: isFramed(resp)}
	return r
}

// isFramed reports whether a response states where it ends; otherwise it ends with its
// connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// body records that the response was read to its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	// framed is set if the response states where it ends.
	framed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return n, err
	}
	b.exchange.bodyRead = true
	return n, io.EOF
}

// checkEnd returns an error if the end of the connection may not be the end of the response. The
// system reports a reset once, to the first call that meets it: if that is the write of the
// request, reads return what had arrived and then an end like a regular one.
func (b *body) checkEnd() error {
	upload := b.exchange.upload
	if b.framed || upload == nil {
		return nil
	}
	<-upload.ended
	if upload.err != nil {
		return fmt.Errorf("%w: connection broke off during the request: %w", ErrNoResponse, upload.err)
	}
	return nil
}

// Close returns the connection to the pool if request and response were
// transferred completely. Otherwise it closes the connection, which makes the
// upstream cancel the work.
func (r *Response) Close() {
	x := r.exchange
	sent := true
	if x.upload != nil {
		select {
		case <-x.upload.ended:
			sent = x.upload.err == nil
		default:
			sent = false
		}
	}
	if !x.stop() || !x.bodyRead || !sent || !isFramed(r.Response) || r.Response.Close || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		return
	}
	x.pool.put(x.conn, keepAlive(r.Header))
}

// abort closes the connection without returning it to the pool.
func (x *exchange) abort() {
	x.stop()
	x.pool.discard(x.conn)
}

// keepAlive returns the timeout in the Keep-Alive header, 0 without one.
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
