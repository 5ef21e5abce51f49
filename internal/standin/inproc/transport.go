// Package inproc lets an HTTP client call a handler in the same process without
// a socket, so that tests under testing/synctest can use the real clients and
// the stand-ins' real handlers.
package inproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// ErrBroken is what the client sees when the handler aborts its answer.
var ErrBroken = errors.New("inproc: connection broken")

// Transport is an http.RoundTripper around a handler. An answer's body can be
// read while the handler still writes it.
type Transport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(req.Context())
	if err := ctx.Err(); err != nil {
		cancel()
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body, pipe := io.Pipe()
	a := &answer{header: make(http.Header), pipe: pipe, ready: make(chan struct{}), broken: make(chan struct{})}
	go t.serve(a, serverRequest(req.WithContext(ctx)), cancel)
	select {
	case <-a.ready:
		return a.response(req, &responseBody{PipeReader: body, cancel: cancel}), nil
	case <-a.broken:
		cancel()
		return nil, ErrBroken
	case <-req.Context().Done():
		cancel()
		return nil, req.Context().Err()
	}
}

// serverRequest is the request as a server would see it.
func serverRequest(req *http.Request) *http.Request {
	in := req.Clone(req.Context())
	in.RequestURI = req.URL.RequestURI()
	in.Host = req.URL.Host
	if in.Body == nil {
		in.Body = http.NoBody
	}
	return in
}

// serve runs the handler; a panic breaks the connection as in net/http.
func (t Transport) serve(a *answer, req *http.Request, cancel context.CancelFunc) {
	defer cancel()
	defer func() {
		if recover() != nil {
			a.abort()
			return
		}
		a.WriteHeader(http.StatusOK)
		_ = a.pipe.Close()
	}()
	// A caller that hangs up must not leave the handler in a write.
	stop := context.AfterFunc(req.Context(), func() { _ = a.pipe.CloseWithError(req.Context().Err()) })
	defer stop()
	t.Handler.ServeHTTP(a, req)
}

// answer is the handler's http.ResponseWriter.
type answer struct {
	pipe   *io.PipeWriter
	ready  chan struct{}
	broken chan struct{}
	once   sync.Once

	header http.Header
	status int
	sent   http.Header
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.once.Do(func() {
		a.status = status
		a.sent = a.header.Clone()
		close(a.ready)
	})
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.pipe.Write(p)
}

// Flush implements http.Flusher; nothing is held back.
func (a *answer) Flush() {
	a.WriteHeader(http.StatusOK)
}

// abort ends the answer as a broken connection would.
func (a *answer) abort() {
	a.once.Do(func() { close(a.broken) })
	_ = a.pipe.CloseWithError(io.ErrUnexpectedEOF)
}

func (a *answer) response(req *http.Request, body io.ReadCloser) *http.Response {
	return &http.Response{
		Status:           http.StatusText(a.status),
		StatusCode:       a.status,
		Proto:            "HTTP/1.1",
		ProtoMajor:       1,
		ProtoMinor:       1,
		Header:           a.sent,
		Body:             body,
		ContentLength:    -1,
		TransferEncoding: []string{"chunked"},
		Request:          req,
	}
}

// responseBody cancels the handler's context when the client closes it.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}
