// Package load makes requests as callers do and checks their answers against
// what the stand-ins must have given.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// headerRequestID carries the request's identifier in answers.
const headerRequestID = "X-Request-Id"

// maxLine bounds one line of a streamed answer, in bytes.
const maxLine = 1 << 20

// Errors of a request without a refusal.
var (
	// ErrBroken means that the answer broke off, or that none came.
	ErrBroken = errors.New("load: answer broke off")
	// ErrForm means that the answer is not of the form that was promised.
	ErrForm = errors.New("load: answer has the wrong form")
)

// Client makes requests at entries.
type Client struct {
	http *http.Client
}

// NewClient returns a client over a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Generate is a request for model output.
type Generate struct {
	Key       string
	Model     contract.ModelName
	Prompt    string
	MaxTokens contract.Tokens
	Seed      int64
	Stream    bool
}

// Refusal is the JSON error that a caller gets.
type Refusal struct {
	Code    contract.Code `json:"code"`
	Message string        `json:"message"`
	Ran     string        `json:"ran"`
	Repeat  bool          `json:"repeat"`
	// RetryAfterMS is the wait asked for, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// Answer is what a caller saw of one request.
type Answer struct {
	Request contract.RequestID
	Status  int
	// Text is the output, or the body of a service's answer.
	Text string
	// Whole says that the answer was marked as complete; Endings counts the
	// marks.
	Whole   bool
	Endings int
	Usage   contract.Usage
	Refusal *Refusal
	// Err is set when there is neither an answer nor a refusal.
	Err error
	// FirstToken and LongestGap are 0 when not seen; only streams have them.
	FirstToken, LongestGap time.Duration
	// Gaps are all times between two pieces of output.
	Gaps []time.Duration
	// LastToken is when the last output came.
	LastToken time.Time
}

// completion is the part of an answer, or of a piece of one, that is looked at.
type completion struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     contract.Tokens `json:"prompt_tokens"`
		CompletionTokens contract.Tokens `json:"completion_tokens"`
	} `json:"usage"`
	Error *Refusal `json:"error"`
}

// Generate makes one request at an entry's URL.
func (c *Client) Generate(ctx context.Context, url string, q Generate) (a Answer) {
	body, err := json.Marshal(map[string]any{
		"model":      q.Model,
		"prompt":     q.Prompt,
		"max_tokens": q.MaxTokens,
		"seed":       q.Seed,
		"stream":     q.Stream,
	})
	if err != nil {
		return Answer{Err: fmt.Errorf("%w: %w", ErrForm, err)}
	}
	sent := time.Now()
	resp, err := c.send(ctx, http.MethodPost, url+"/v1/completions", q.Key, "", body)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	a = Answer{Request: contract.RequestID(resp.Header.Get(headerRequestID)), Status: resp.StatusCode}
	if q.Stream && resp.StatusCode == http.StatusOK {
		a.readStream(resp.Body, sent)
		return a
	}
	a.readWhole(resp.Body)
	return a
}

// leastWait is the wait before a repeat when the refusal asks for none.
const leastWait = 100 * time.Millisecond

// Persist makes a request again after refusals that allow it, as often as tries
// says, and counts the refusals.
func Persist(ctx context.Context, tries int, request func() Answer) (a Answer, refused int) {
	for {
		a = request()
		if a.Refusal == nil || !a.Refusal.Repeat || refused == tries {
			return a, refused
		}
		refused++
		wait := time.Duration(a.Refusal.RetryAfterMS) * time.Millisecond
		select {
		case <-time.After(max(wait, leastWait)):
		case <-ctx.Done():
			return a, refused
		}
	}
}

// Call makes one call of a plain service. idempotencyKey may be empty.
func (c *Client) Call(ctx context.Context, method, url, key, idempotencyKey, body string) (a Answer) {
	resp, err := c.send(ctx, method, url, key, idempotencyKey, []byte(body))
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	a = Answer{Request: contract.RequestID(resp.Header.Get(headerRequestID)), Status: resp.StatusCode}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrBroken, err)
		return a
	}
	var failed completion
	if resp.StatusCode != http.StatusOK && json.Unmarshal(text, &failed) == nil && failed.Error != nil {
		a.Refusal = failed.Error
		return a
	}
	a.Text = string(text)
	a.Whole = true
	a.Endings = 1
	return a
}

func (c *Client) send(ctx context.Context, method, url, key, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return resp, nil
}

// readWhole takes an answer of one body.
func (a *Answer) readWhole(body io.Reader) {
	var whole completion
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrBroken, err)
		return
	}
	a.take(whole)
	if a.Refusal == nil && a.Whole {
		a.Endings = 1
	}
}

// readStream takes an answer of server-sent events.
func (a *Answer) readStream(body io.Reader, sent time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Endings++
			continue
		}
		var piece completion
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			a.Err = fmt.Errorf("%w: %w", ErrForm, err)
			return
		}
		if a.take(piece) {
			a.time(sent, time.Now())
		}
	}
	if err := lines.Err(); err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrBroken, err)
	} else if a.Refusal == nil && a.Endings == 0 {
		a.Err = ErrBroken
	}
}

// take adds an answer or a piece of one and reports whether it has output.
func (a *Answer) take(piece completion) (output bool) {
	if piece.Error != nil {
		a.Refusal = piece.Error
		return false
	}
	for _, choice := range piece.Choices {
		output = output || choice.Text != ""
		a.Text += choice.Text
		a.Whole = a.Whole || choice.FinishReason != nil
	}
	if piece.Usage != nil {
		a.Usage = contract.Usage{PromptTokens: piece.Usage.PromptTokens, OutputTokens: piece.Usage.CompletionTokens}
	}
	return output
}

// time takes the figures of the latency targets.
func (a *Answer) time(sent, now time.Time) {
	if a.LastToken.IsZero() {
		a.FirstToken = now.Sub(sent)
	} else {
		gap := now.Sub(a.LastToken)
		a.Gaps = append(a.Gaps, gap)
		a.LongestGap = max(a.LongestGap, gap)
	}
	a.LastToken = now
}
