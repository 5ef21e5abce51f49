// Package serviceapi reaches a plain service over HTTP.
package serviceapi

import (
	"bytes"
	"context"
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

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// Headers of a call, and the path of the health check.
const (
	HeaderCall    = "X-Call-Id"
	HeaderAccount = "X-Client-Account"
	PathHealth    = "/health"
)

// Limits of the client.
const (
	dialTimeout = time.Second
	// MaxAnswer bounds an answer's body, in bytes.
	MaxAnswer = 16 << 20
)

// errCutShort means that the end of an answer's body can't be told from a broken
// connection, or that the body is too large.
var errCutShort = errors.New("serviceapi: no proof that the answer is whole")

// Client is a connection to one service. It is safe for concurrent use and
// implements link.Service.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client of the service at a base URL such as
// "http://127.0.0.1:7200". A nil transport means one of the client's own, which
// makes a connection for each call: on a connection that was used before,
// net/http may send a request again by itself, and a server that closes it at
// the same moment leaves open whether the call ran.
func New(base string, transport http.RoundTripper) (*Client, error) {
	parsed, err := url.Parse(strings.TrimSuffix(base, "/"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	if transport == nil {
		transport = &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}
	}
	return &Client{base: parsed, http: &http.Client{Transport: transport, CheckRedirect: passRedirect}}, nil
}

// passRedirect hands a redirect to the caller in place of sending the call a
// second time.
func passRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements link.Service. Any answer of the service is an answer, whatever
// its status. The call's path is in its escaped form and reaches the service as
// it is.
func (c *Client) Call(ctx context.Context, call contract.CallID, pseudonym string, q contract.ServiceCall) (contract.ServiceAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call, pseudonym, q)
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", noAnswer(connected.Load()), err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// Healthy implements link.Service.
func (c *Client) Healthy(ctx context.Context) error {
	answer, err := c.Call(ctx, contract.CallID{}, "", contract.ServiceCall{Method: http.MethodGet, Path: PathHealth})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("%w: health check answered %d", link.ErrGone, answer.Status)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call contract.CallID, pseudonym string, q contract.ServiceCall) (*http.Request, error) {
	plain, err := url.PathUnescape(q.Path)
	if err != nil {
		return nil, err
	}
	target := *c.base
	target.RawPath = target.EscapedPath() + q.Path
	target.Path += plain
	target.RawQuery = q.Query
	req, err := http.NewRequestWithContext(ctx, q.Method, target.String(), bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http can't send the body a second time.
	req.GetBody = nil
	if q.ContentType != "" {
		req.Header.Set("Content-Type", q.ContentType)
	}
	if call.Request != "" {
		req.Header.Set(HeaderCall, call.String())
	}
	if pseudonym != "" {
		req.Header.Set(HeaderAccount, pseudonym)
	}
	return req, nil
}

// noAnswer is the error of a call that got no answer. Without a connection
// nothing can have been sent.
func noAnswer(connected bool) error {
	if connected {
		return link.ErrGone
	}
	return link.ErrNotSent
}

func readAnswer(resp *http.Response) (contract.ServiceAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrGone, err)
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
	if untilClose || len(body) > MaxAnswer {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrGone, errCutShort)
	}
	return contract.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
