// Package client calls the administration API.
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
	// Margin is added to the time that a command waits.
	Margin = 30 * time.Second
	// MaxAnswer bounds an answer, in bytes.
	MaxAnswer = 64 << 20
)

// Errors of this layer.
var (
	// ErrNotSent means that the API was not reached: nothing was changed.
	ErrNotSent = errors.New("not sent")
	// ErrNoAnswer means that no answer came: a command may have been accepted.
	ErrNoAnswer = errors.New("no answer, the change may have been accepted; look it up under revisions before repeating it")
)

// RefusedError is an error that the API answered.
type RefusedError struct {
	Status int
	Detail wire.ErrorDetail
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Detail.Code, e.Detail.Message)
}

// Client calls the API of one instance.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// New returns a client of the API at a URL such as https://10.0.0.7:7200.
func New(url, key string, transport http.RoundTripper) *Client {
	return &Client{url: url, key: key, http: &http.Client{Transport: transport}}
}

// Run runs statements.
func (c *Client) Run(ctx context.Context, q wire.Request) (*wire.Response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+Margin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+wire.StatementsPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport never sends a request twice.
	request.GetBody = nil
	answer, err := c.http.Do(request)
	switch {
	case notConnected(err):
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = answer.Body.Close() }()
	return read(answer)
}

// notConnected reports whether a call failed before anything was sent.
func notConnected(err error) bool {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return true
	}
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}

func read(answer *http.Response) (*wire.Response, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if answer.StatusCode != http.StatusOK {
		var refused wire.ErrorResponse
		if err := json.Unmarshal(body, &refused); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, fmt.Errorf("status %d", answer.StatusCode))
		}
		return nil, &RefusedError{Status: answer.StatusCode, Detail: refused.Error}
	}
	var response wire.Response
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := decoder.Decode(&response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return &response, nil
}
