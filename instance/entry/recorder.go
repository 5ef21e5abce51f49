package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Ended tells how one request went.
type Ended struct {
	Route   contract.Route
	Account contract.AccountID
	// Refusal is nil if the caller got the whole answer.
	Refusal *contract.Refusal
	Usage   contract.Usage
	// FirstToken is from arrival to the first token; 0 if none came.
	FirstToken time.Duration
	// LongestGap is the longest time between two deliveries.
	LongestGap time.Duration
	// Took is the time from arrival to the end.
	Took time.Duration
	// PrefillTokens were run for this request; WastedTokens of them for nothing.
	PrefillTokens contract.Tokens
	WastedTokens  contract.Tokens
	// Attempts counts the tries.
	Attempts contract.Attempt
}

// Recorder takes the figures of ended requests.
type Recorder interface {
	// Ended is called once for each request.
	Ended(now time.Time, ended Ended)
}

type noRecorder struct{}

// Ended implements Recorder.
func (noRecorder) Ended(time.Time, Ended) {}
