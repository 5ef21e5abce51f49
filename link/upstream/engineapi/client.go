// Package engineapi implements the Engine interface of package link/upstream over HTTP
// and JSON. It holds the message types, which the stand-in engine uses too, and checks
// that streams are complete. Output is streamed as one JSON value per line.
package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/httpconn"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// Limits of the client.
const (
	dialTimeout   = time.Second
	idleConns     = 64
	maxReplyBytes = 2 << 20
	// cancelTimeout limits the call that cancels a stream after its context ended.
	cancelTimeout = 2 * time.Second
)

// Client makes calls to one engine. It is safe for concurrent use and
// implements link.Engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at a base URL such as
// "http://127.0.0.1:7100". A nil transport means a new one.
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

// Close closes idle connections; running calls continue.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Prefill implements link.Engine.
func (c *Client) Prefill(ctx context.Context, p link.Prefill) (link.Handle, error) {
	q := PrefillRequest{Call: Call(p.Call), Model: p.Model, Prompt: p.Prompt, Priority: p.Priority, User: p.Pseudonym}
	var reply Handle
	err := c.exchange(ctx, PathPrefill, q, &reply)
	return link.Handle(reply), err
}

// Decode implements link.Engine. When ctx ends or emit fails, the call is cancelled
// at the engine. When only the connection breaks, the call keeps running there and
// Resume can continue its output.
func (c *Client) Decode(ctx context.Context, d link.Decode, emit func(contract.Chunk) error) error {
	q := DecodeRequest{
		Call:      Call(d.Call),
		Model:     d.Model,
		Handle:    Handle(d.Handle),
		MaxTokens: d.MaxTokens,
		Priority:  d.Priority,
		User:      d.Pseudonym,
		Seed:      d.Seed,
		Offset:    d.Offset,
	}
	return c.stream(ctx, PathDecode, q, streamReader{call: d.Call, next: d.Offset, emit: emit})
}

// Resume implements link.Engine.
func (c *Client) Resume(ctx context.Context, call contract.CallID, offset contract.Tokens, emit func(contract.Chunk) error) error {
	q := ResumeRequest{Call: Call(call), Offset: offset}
	return c.stream(ctx, PathResume, q, streamReader{call: call, next: offset, emit: emit})
}

// Cancel implements link.Engine.
func (c *Client) Cancel(ctx context.Context, call contract.CallID) error {
	return c.exchange(ctx, PathCancel, CancelRequest{Call: Call(call)}, &struct{}{})
}

// Load implements link.Engine.
func (c *Client) Load(ctx context.Context) (link.EngineLoad, error) {
	var reply Load
	err := c.exchange(ctx, PathLoad, nil, &reply)
	return reply.decode(), err
}

// Order implements link.Engine.
func (c *Client) Order(ctx context.Context, o link.Order) error {
	return c.exchange(ctx, PathOrders, encodeOrder(o), &struct{}{})
}

// State implements link.Engine.
func (c *Client) State(ctx context.Context) (link.EngineState, error) {
	var reply State
	err := c.exchange(ctx, PathState, nil, &reply)
	return reply.decode(), err
}

// Events implements link.Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]link.CacheEvent, error) {
	var reply EventsReply
	query := url.Values{ParamAfter: {strconv.FormatUint(after, 10)}}
	err := c.exchange(ctx, PathEvents+"?"+query.Encode(), nil, &reply)
	events := make([]link.CacheEvent, len(reply.Events))
	for i, event := range reply.Events {
		events[i] = link.CacheEvent(event)
	}
	return events, err
}

// returnRedirect makes net/http return a redirect, since following it would send the
// call a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// exchange makes a call and decodes its complete reply. A nil payload makes it a GET.
func (c *Client) exchange(ctx context.Context, path string, payload, reply any) error {
	resp, err := c.send(ctx, path, payload)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(reply); err != nil {
		return fmt.Errorf("%w: %w", link.ErrInterrupted, err)
	}
	return nil
}

// send makes a call and returns the response if its status is 200. The caller closes
// the body.
func (c *Client) send(ctx context.Context, path string, payload any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), path, payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", link.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", link.ErrInterrupted, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

func (c *Client) request(ctx context.Context, path string, payload any) (*http.Request, error) {
	if payload == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	}
	body, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// statusError returns the error for a response with another status than 200. If the
// body is not an ErrorReply, the response does not come from the engine, and the call
// may have run.
func statusError(resp *http.Response) error {
	var reply ErrorReply
	err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply)
	if err != nil {
		return fmt.Errorf("%w: %s", link.ErrInterrupted, resp.Status)
	}
	return reply.Error.decode()
}

func (e Error) decode() error {
	known, ok := errorCodes[e.Code]
	if !ok {
		return fmt.Errorf("%w: %s: %s", link.ErrInterrupted, e.Code, e.Message)
	}
	return fmt.Errorf("%w: %s", known.err, e.Message)
}
