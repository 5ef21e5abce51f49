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

// ErrBroken is the client's error if the handler aborts before it sends headers.
var ErrBroken = errors.New("inproc: connection broken")

// Transport is an http.RoundTripper that calls a handler. The response's body is
// streamed: writes block until the client reads them.
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
	w := &responseWriter{header: make(http.Header), pipe: pipe, ready: make(chan struct{}), broken: make(chan struct{})}
	go t.serve(w, serverRequest(req.WithContext(ctx)), cancel)
	select {
	case <-w.ready:
		return w.response(req, &responseBody{PipeReader: body, cancel: cancel}), nil
	case <-w.broken:
		cancel()
		return nil, ErrBroken
	case <-req.Context().Done():
		cancel()
		return nil, req.Context().Err()
	}
}

// serverRequest returns the request in the form in which a server receives it.
func serverRequest(req *http.Request) *http.Request {
	in := req.Clone(req.Context())
	in.RequestURI = req.URL.RequestURI()
	in.Host = req.URL.Host
	if in.Body == nil {
		in.Body = http.NoBody
	}
	return in
}

// serve runs the handler. A panic breaks the connection, as in net/http.
func (t Transport) serve(w *responseWriter, req *http.Request, cancel context.CancelFunc) {
	defer cancel()
	defer func() {
		if recover() != nil {
			w.abort()
			return
		}
		w.WriteHeader(http.StatusOK)
		_ = w.pipe.Close()
	}()
	// Unblocks a handler that writes after the client disconnected.
	stop := context.AfterFunc(req.Context(), func() { _ = w.pipe.CloseWithError(req.Context().Err()) })
	defer stop()
	t.Handler.ServeHTTP(w, req)
}

// responseWriter is the handler's http.ResponseWriter.
type responseWriter struct {
	pipe *io.PipeWriter
	// At most one of ready and broken is closed: ready when the headers are sent, broken
	// when the handler aborts before.
	ready  chan struct{}
	broken chan struct{}
	once   sync.Once

	header http.Header
	status int
	// sent is a copy of header at the time of WriteHeader.
	sent http.Header
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sent = w.header.Clone()
		close(w.ready)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.pipe.Write(p)
}

// Flush implements http.Flusher. Writes are not buffered.
func (w *responseWriter) Flush() {
	w.WriteHeader(http.StatusOK)
}

// abort ends the response as a broken connection would.
func (w *responseWriter) abort() {
	w.once.Do(func() { close(w.broken) })
	_ = w.pipe.CloseWithError(io.ErrUnexpectedEOF)
}

func (w *responseWriter) response(req *http.Request, body io.ReadCloser) *http.Response {
	return &http.Response{
		Status:           http.StatusText(w.status),
		StatusCode:       w.status,
		Proto:            "HTTP/1.1",
		ProtoMajor:       1,
		ProtoMinor:       1,
		Header:           w.sent,
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
