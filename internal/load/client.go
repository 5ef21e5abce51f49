// Package load is a client of the callers' API for tests and load generators. It
// parses whole and streamed responses and measures their latencies; the comparison
// with the expected output is left to its users.
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

// Errors of a request that got no refusal.
var (
	// ErrBroken means that there was no response or an incomplete one.
	ErrBroken = errors.New("load: response missing or incomplete")
	// ErrMalformed means that the request could not be built, or that an event of the
	// response is not valid JSON.
	ErrMalformed = errors.New("load: malformed request or response")
)

// Client sends requests to entries. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client over a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Generate holds the parameters of a completion request, which Client.Generate sends.
type Generate struct {
	Key       string
	Model     contract.ModelName
	Prompt    string
	MaxTokens contract.Tokens
	Seed      int64
	Stream    bool
}

// Refusal is the JSON error of a response.
type Refusal struct {
	Code    contract.Code `json:"code"`
	Message string        `json:"message"`
	// Ran states whether the request ran, as contract.Ran.String writes it.
	Ran string `json:"ran"`
	// Repeat reports that the request may be sent again.
	Repeat bool `json:"repeat"`
	// RetryAfterMS is the requested wait before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// Answer is the result of one request.
type Answer struct {
	Request contract.RequestID
	Status  int
	// Text is the output, or the body of a service's answer.
	Text string
	// Whole reports that a finish reason, or for a service the whole body, was
	// received. EndMarkers counts the end markers; a correct answer has one.
	Whole      bool
	EndMarkers int
	Usage      contract.Usage
	Refusal    *Refusal
	// Err is set when there is neither an answer nor a refusal.
	Err error
	// FirstToken is the time from the request to the first output, LongestGap the
	// longest of Gaps. They are 0 if not observed, and without a stream.
	FirstToken, LongestGap time.Duration
	// Gaps are the times between consecutive events with output.
	Gaps []time.Duration
	// LastTokenAt is the arrival time of the last event with output.
	LastTokenAt time.Time
}

// completion holds the fields of a completion, or of a chunk of one, that are
// checked.
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

// Generate sends one completion request to an entry's URL.
func (c *Client) Generate(ctx context.Context, url string, q Generate) (a Answer) {
	body, err := json.Marshal(map[string]any{
		"model":      q.Model,
		"prompt":     q.Prompt,
		"max_tokens": q.MaxTokens,
		"seed":       q.Seed,
		"stream":     q.Stream,
	})
	if err != nil {
		return Answer{Err: fmt.Errorf("%w: %w", ErrMalformed, err)}
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

// minRetryWait is the shortest wait before a retry, for refusals that request none.
const minRetryWait = 100 * time.Millisecond

// Retry repeats a request up to tries times after refusals that allow a retry,
// and returns the last answer with the number of refusals before it.
func Retry(ctx context.Context, tries int, request func() Answer) (a Answer, refused int) {
	for {
		a = request()
		if a.Refusal == nil || !a.Refusal.Repeat || refused == tries {
			return a, refused
		}
		refused++
		wait := time.Duration(a.Refusal.RetryAfterMS) * time.Millisecond
		select {
		case <-time.After(max(wait, minRetryWait)):
		case <-ctx.Done():
			return a, refused
		}
	}
}

// Call sends one call of a plain service. An empty idempotencyKey is not sent.
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
	a.EndMarkers = 1
	return a
}

func (c *Client) send(ctx context.Context, method, url, key, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
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

// readWhole parses a response that is one JSON body.
func (a *Answer) readWhole(body io.Reader) {
	var whole completion
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrBroken, err)
		return
	}
	a.add(whole)
	if a.Refusal == nil && a.Whole {
		a.EndMarkers = 1
	}
}

// readStream parses a response of server-sent events and times its output.
func (a *Answer) readStream(body io.Reader, sent time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.EndMarkers++
			continue
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.Err = fmt.Errorf("%w: %w", ErrMalformed, err)
			return
		}
		if a.add(chunk) {
			a.recordTiming(sent, time.Now())
		}
	}
	if err := lines.Err(); err != nil {
		a.Err = fmt.Errorf("%w: %w", ErrBroken, err)
	} else if a.Refusal == nil && a.EndMarkers == 0 {
		a.Err = ErrBroken
	}
}

// add adds a completion or a chunk of one and reports whether it has output.
func (a *Answer) add(chunk completion) (output bool) {
	if chunk.Error != nil {
		a.Refusal = chunk.Error
		return false
	}
	for _, choice := range chunk.Choices {
		output = output || choice.Text != ""
		a.Text += choice.Text
		a.Whole = a.Whole || choice.FinishReason != nil
	}
	if chunk.Usage != nil {
		a.Usage = contract.Usage{PromptTokens: chunk.Usage.PromptTokens, OutputTokens: chunk.Usage.CompletionTokens}
	}
	return output
}

// recordTiming updates the latencies for an event with output received at now.
func (a *Answer) recordTiming(sent, now time.Time) {
	if a.LastTokenAt.IsZero() {
		a.FirstToken = now.Sub(sent)
	} else {
		gap := now.Sub(a.LastTokenAt)
		a.Gaps = append(a.Gaps, gap)
		a.LongestGap = max(a.LongestGap, gap)
	}
	a.LastTokenAt = now
}
