// Package serviceapi implements the Service interface of package link/upstream over
// HTTP. It maps each failure to "not sent" or "may have run"; retries are left to the
// sidecar.
package serviceapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/httpconn"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// Headers of a call, and the path of the health check. HeaderAccount holds the
// pseudonym of the client account, never the account's name.
const (
	HeaderCall    = "X-Call-Id"
	HeaderAccount = "X-Client-Account"
	PathHealth    = "/health"
)

// Limits of the client.
const (
	dialTimeout = time.Second
	// MaxAnswer is the maximum size of an answer's body, in bytes.
	MaxAnswer = 4 << 20
)

// errIncomplete means that the end of an answer's body cannot be distinguished from a
// broken connection, or that the body is larger than MaxAnswer.
var errIncomplete = errors.New("serviceapi: answer may be incomplete")

// Client makes calls to one service. It is safe for concurrent use and
// implements link.Service.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client of the service at a base URL such as
// "http://127.0.0.1:7200". A nil transport means a new one, which opens a connection
// for each call: on a reused connection net/http may resend a request by itself, and
// if the server closes that connection at the same moment, it is unknown whether the
// call ran.
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

			MaxResponseHeaderBytes: httpconn.MaxHeadBytes,
		}
	}
	return &Client{base: parsed, http: &http.Client{Transport: transport, CheckRedirect: returnRedirect}}, nil
}

// returnRedirect makes net/http return a redirect as the answer, since following it
// would send the call a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements link.Service. An answer with any status is returned without an
// error. The call's path is in its escaped form and is sent unchanged.
func (c *Client) Call(ctx context.Context, call contract.CallID, pseudonym string, q contract.ServiceCall) (contract.ServiceAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call, pseudonym, q)
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", errorWithoutAnswer(connected.Load()), err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

// CheckHealth implements link.Service.
func (c *Client) CheckHealth(ctx context.Context) error {
	answer, err := c.Call(ctx, contract.CallID{}, "", contract.ServiceCall{Method: http.MethodGet, Path: PathHealth})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("%w: health check returned status %d", link.ErrInterrupted, answer.Status)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call contract.CallID, pseudonym string, q contract.ServiceCall) (*http.Request, error) {
	unescaped, err := url.PathUnescape(q.Path)
	if err != nil {
		return nil, err
	}
	target := *c.base
	target.RawPath = target.EscapedPath() + q.Path
	target.Path += unescaped
	target.RawQuery = q.Query
	req, err := http.NewRequestWithContext(ctx, q.Method, target.String(), bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http cannot resend the body.
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

// errorWithoutAnswer returns the error for a call without an answer. Without a
// connection nothing can have been sent.
func errorWithoutAnswer(connected bool) error {
	if connected {
		return link.ErrInterrupted
	}
	return link.ErrNotSent
}

func readAnswer(resp *http.Response) (contract.ServiceAnswer, error) {
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrInterrupted, err)
	}
	body, err := httpconn.ReadAtMost(resp.Body, MaxAnswer)
	if err != nil {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrInterrupted, err)
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
	if untilClose {
		return contract.ServiceAnswer{}, fmt.Errorf("%w: %w", link.ErrInterrupted, errIncomplete)
	}
	return contract.ServiceAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
