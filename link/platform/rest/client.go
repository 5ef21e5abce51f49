// Package rest implements the interfaces of package platform over HTTP and JSON.
// It holds the client and the messages, which the stand-in server shares, and
// maps HTTP failures to the errors of package platform.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/httpconn"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
)

// Limits of the client.
const (
	dialTimeout  = time.Second
	idleConns    = 64
	maxReply     = 4 << 20
	maxErrorText = 1 << 10
)

// Client calls the services of the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// list caches the latest list of instances with its entity tag; nil before
	// the first read.
	list atomic.Pointer[taggedList]
}

// New returns a client of the services at a base URL such as
// "http://127.0.0.1:7000". With a nil transport the client makes its own.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConns,

			MaxResponseHeaderBytes: httpconn.MaxHeadBytes,
		}
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// Table returns the transactional table service.
func (c *Client) Table() platform.Table { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

// Instances returns the list of instances.
func (c *Client) Instances() platform.Instances { return instances{c} }

// Weights returns the weight store.
func (c *Client) Weights() platform.Weights { return weights{c} }

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// closeSuspect closes the kept connections after a call that got no answer in its time:
// connections go silent together, and one that was not used meanwhile does not show it.
func (c *Client) closeSuspect(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// returnRedirect makes net/http return a redirect as the response, so that a call is not sent a second time to
// another server.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write marks a call that may take effect even if its response is lost.
	write bool
	// entityTag is the entity tag of the cached reply, empty if there is none. The
	// service does not send an unchanged reply again.
	entityTag string
}

// exchange makes a call within platform.CallLimits and returns the whole body of
// the reply.
func (c *Client) exchange(ctx context.Context, q call) ([]byte, error) {
	ctx, call := progress.Start(ctx, platform.CallLimits)
	defer call.End()
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := httpconn.ReadAtMost(progress.Reader(ctx, resp.Body), maxReply)
	if err != nil {
		c.closeSuspect(ctx)
		return nil, fmt.Errorf("%w: %w", lostOrUnavailable(q.write), err)
	}
	return body, nil
}

// send makes a call and returns the response if its status is a success, or Not
// Modified for a call with an entity tag. The caller closes the body.
func (c *Client) send(ctx context.Context, q call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := c.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if q.entityTag != "" {
		req.Header.Set("If-None-Match", q.entityTag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.closeSuspect(ctx)
		// Without a connection nothing was sent.
		return nil, fmt.Errorf("%w: %w", lostOrUnavailable(q.write && connected.Load()), err)
	}
	if resp.StatusCode/100 == 2 || (q.entityTag != "" && resp.StatusCode == http.StatusNotModified) {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp, q.write)
}

// lostOrUnavailable returns the error for a call without a usable response:
// platform.ErrOutcomeUnknown if it may have taken effect.
func lostOrUnavailable(mayHaveWritten bool) error {
	if mayHaveWritten {
		return platform.ErrOutcomeUnknown
	}
	return platform.ErrUnavailable
}

// statusError converts a response that is not a success to an error.
func statusError(resp *http.Response, write bool) error {
	// A request that the service rejects with 4xx was not executed. After a
	// server or gateway failure, or a request timeout, a write may have been.
	rejected := resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout
	cause := lostOrUnavailable(write && !rejected)
	for _, s := range statuses {
		if s.status == resp.StatusCode {
			cause = s.err
		}
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	var reply ErrorReply
	if json.Unmarshal(text, &reply) != nil || reply.Error == "" {
		reply.Error = resp.Status
	}
	return fmt.Errorf("%w: %s", cause, reply.Error)
}

// StatusOf returns the HTTP status for an error of package platform. ok is false
// for errors with no status, to which the server must send no response.
func StatusOf(err error) (status int, ok bool) {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status, true
		}
	}
	return 0, false
}
