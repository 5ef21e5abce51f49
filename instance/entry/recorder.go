package entry

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
)

// RequestRecord holds the outcome and the measurements of one request.
type RequestRecord struct {
	Route   contract.Route
	Account contract.AccountID
	// Refusal is nil if the caller got the complete answer.
	Refusal *contract.Refusal
	Usage   contract.Usage
	// FirstToken is the time from arrival to the first token; 0 if there was
	// none.
	FirstToken time.Duration
	// LongestGap is the longest time between two deliveries.
	LongestGap time.Duration
	// Took is the time from arrival to the end.
	Took time.Duration
	// PrefillTokens were prefilled for this request; WastedTokens of them were
	// never used for output.
	PrefillTokens contract.Tokens
	WastedTokens  contract.Tokens
	Attempts      contract.Attempt
}

// Recorder receives the measurements of ended requests.
type Recorder interface {
	// RecordRequest is called once for each request.
	RecordRequest(now time.Time, ended RequestRecord)
	// Retain is called when a configuration comes into force: measurements of routes and
	// accounts that it does not have are merged.
	Retain(s *config.Snapshot)
}

type noRecorder struct{}

// RecordRequest implements Recorder.
func (noRecorder) RecordRequest(time.Time, RequestRecord) {}

// Retain implements Recorder.
func (noRecorder) Retain(*config.Snapshot) {}
