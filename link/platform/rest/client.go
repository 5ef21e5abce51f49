// Package rest reaches the platform's services over HTTP and JSON.
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

	"github.com/trefoilwalk/trefoilwalk/link/platform"
)

// Limits of the client.
const (
	dialTimeout  = time.Second
	idleConns    = 64
	maxReply     = 64 << 20
	maxErrorText = 1 << 10
)

// Client is a connection to the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// list is the list of instances that was read last.
	list atomic.Pointer[taggedList]
}

// New returns a client of the services at a base URL such as
// "http://127.0.0.1:7000". A nil transport means one of the client's own.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConns,
		}
	}
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// Table gives the transactional table service.
func (c *Client) Table() platform.Table { return table{c} }

// Objects gives the object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

// Instances gives the list of instances.
func (c *Client) Instances() platform.Instances { return instances{c} }

// Weights gives the weight store.
func (c *Client) Weights() platform.Weights { return weights{c} }

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// refuseRedirect keeps a call from being sent a second time elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write says that a call without an answer may have taken effect.
	write bool
	// known is the entity tag of the reply at hand, empty if there is none;
	// an unchanged one is not sent again.
	known string
}

// exchange makes a call within CallTimeout and reads the whole reply.
func (c *Client) exchange(ctx context.Context, q call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", noAnswer(q.write), err)
	}
	return body, nil
}

// send makes a call and returns the reply if its status is a success.
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
	if q.known != "" {
		req.Header.Set("If-None-Match", q.known)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Without a connection nothing can have been sent.
		return nil, fmt.Errorf("%w: %w", noAnswer(q.write && connected.Load()), err)
	}
	if resp.StatusCode/100 == 2 || (q.known != "" && resp.StatusCode == http.StatusNotModified) {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp, q.write)
}

// noAnswer is the error of a call that got no answer.
func noAnswer(written bool) error {
	if written {
		return platform.ErrLostAnswer
	}
	return platform.ErrUnavailable
}

// statusError turns an answer that is not a success into an error.
func statusError(resp *http.Response, write bool) error {
	// A request that the service found wrong was not carried out; a server's
	// failure or a gateway's says nothing about that.
	wrong := resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout
	cause := noAnswer(write && !wrong)
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

// StatusOf gives the HTTP status of an error; ok is false for errors that must
// get no answer at all.
func StatusOf(err error) (status int, ok bool) {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status, true
		}
	}
	return 0, false
}
