package contract

import "time"

// Request is a caller's decoded request, independent of the front end. Exactly
// one of Generate and Call is set.
type Request struct {
	ID      RequestID
	Account AccountID
	Key     KeyHash
	Route   Route
	// Pseudonym replaces the client account in calls to upstreams.
	Pseudonym   string
	Fingerprint Fingerprint
	Arrived     time.Time
	Deadline    time.Time
	// IdempotencyKey is chosen by the caller; empty if none was sent.
	IdempotencyKey string
	// Generate is set for model routes.
	Generate *Generate
	// Call is set for service routes.
	Call *ServiceCall
}

// Generate is the content of a request for model output.
type Generate struct {
	Model  ModelName
	Prompt string
	// PromptTokens is estimated from the prompt's length; the final charge uses
	// the engine's count.
	PromptTokens Tokens
	// MaxTokens bounds the generated output.
	MaxTokens Tokens
	// Seed is the sampling seed for the engine.
	Seed int64
}

// ServiceCall is the content of a request to a plain service. It is unrelated to
// CallID, which identifies an attempt.
type ServiceCall struct {
	Method string
	// Path is the escaped path below the route's prefix, starting with "/".
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// ServiceAnswer is the whole response of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Usage is the number of tokens that a request used, as counted by the engine.
type Usage struct {
	PromptTokens Tokens
	OutputTokens Tokens
}

// Total returns the sum of prompt and output tokens.
func (u Usage) Total() Tokens {
	return u.PromptTokens + u.OutputTokens
}

// Chunk is a piece of generated output. Offset is the index of its first token
// in the whole answer, so that receivers detect lost and repeated chunks.
type Chunk struct {
	Call   CallID
	Offset Tokens
	Texts  []string
	// Done marks the last chunk. Usage and Failure are set only in that one.
	Done    bool
	Usage   Usage
	Failure *Refusal
}

// BytesPerToken is the assumed average length of a prompt token in bytes.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in text, rounded up.
func EstimateTokens(text string) Tokens {
	return Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Cost returns the charge at admission, in tokens: prompt plus maximum output for
// a model route, the route's call cost for a service route.
func (r *Request) Cost() Tokens {
	if r.Generate != nil {
		return r.Generate.PromptTokens + r.Generate.MaxTokens
	}
	return r.Route.CallCost
}
