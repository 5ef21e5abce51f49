// Package client calls the administration API of one instance over HTTP. It
// separates calls that were never sent from calls whose outcome is unknown, so
// that trefoilctl can report whether a change may have been accepted.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Limits of calls.
const (
	// TimeoutMargin is the timeout of a call beyond the wait that the command asks for.
	TimeoutMargin = 30 * time.Second
	// MaxResponseBytes bounds the body of a response, in bytes.
	MaxResponseBytes = 64 << 20
)

// Errors that Run returns when the API gave no usable response.
var (
	// ErrNotSent means that the request was not sent: nothing was changed.
	ErrNotSent = errors.New("not sent")
	// ErrNoResponse means that there was no response, or none that can be decoded:
	// a command may have been accepted.
	ErrNoResponse = errors.New("no response, the change may have been accepted; check the revisions before repeating it")
)

// ResponseError is an error response of the API.
type ResponseError struct {
	Status int
	Detail wire.ErrorDetail
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: %s", e.Detail.Code, e.Detail.Message)
}

// Client calls the API of one instance with one operator's key. It is safe for
// concurrent use.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// New returns a client of the API at a base URL such as https://10.0.0.7:7200.
func New(url, key string, transport http.RoundTripper) *Client {
	return &Client{url: url, key: key, http: &http.Client{Transport: transport}}
}

// Run sends statements and returns the response. An error is a *ResponseError or
// wraps ErrNotSent or ErrNoResponse. The call is never repeated.
func (c *Client) Run(ctx context.Context, q wire.Request) (*wire.Response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+TimeoutMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+wire.StatementsPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot resend a request.
	request.GetBody = nil
	response, err := c.http.Do(request)
	switch {
	case notConnected(err):
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response)
}

// notConnected reports whether a call failed before anything was sent.
func notConnected(err error) bool {
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		return true
	}
	var certificateError *tls.CertificateVerificationError
	return errors.As(err, &certificateError)
}

func decodeResponse(response *http.Response) (*wire.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if response.StatusCode != http.StatusOK {
		var refused wire.ErrorResponse
		if err := json.Unmarshal(body, &refused); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, fmt.Errorf("status %d", response.StatusCode))
		}
		return nil, &ResponseError{Status: response.StatusCode, Detail: refused.Error}
	}
	var decoded wire.Response
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return &decoded, nil
}
