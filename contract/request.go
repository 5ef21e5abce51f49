package contract

import "time"

// Request is one caller's request after it was decoded, whatever the front end.
type Request struct {
	ID      RequestID
	Account AccountID
	Key     KeyHash
	Route   Route
	// Pseudonym stands for the client account towards upstreams.
	Pseudonym   string
	Fingerprint Fingerprint
	// Arrived and Deadline bound the request's time.
	Arrived  time.Time
	Deadline time.Time
	// IdempotencyKey is the caller's, empty when not given.
	IdempotencyKey string
	// Generate is set for model routes.
	Generate *Generate
	// Call is set for service routes.
	Call *ServiceCall
}

// Generate asks a model for output.
type Generate struct {
	Model  ModelName
	Prompt string
	// PromptTokens is an estimate from the prompt's length; the engine's count
	// settles the charge.
	PromptTokens Tokens
	// MaxTokens is the most that may be generated.
	MaxTokens Tokens
	// Seed is passed to the engine.
	Seed int64
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Method string
	// Path is below the route's prefix, in its escaped form, and starts with "/".
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Usage is what a request cost, counted by the engine.
type Usage struct {
	PromptTokens Tokens
	OutputTokens Tokens
}

// Total is the sum of prompt and output.
func (u Usage) Total() Tokens {
	return u.PromptTokens + u.OutputTokens
}

// Chunk is a piece of generated output. Offset is the index of its first token
// in the whole answer, so that lost and repeated chunks show.
type Chunk struct {
	Call   CallID
	Offset Tokens
	Texts  []string
	// Done marks the last chunk; Usage and Failure go with it.
	Done    bool
	Usage   Usage
	Failure *Refusal
}

// BytesPerToken turns the length of a prompt into an estimate of its tokens.
const BytesPerToken = 4

// EstimateTokens gives the estimated tokens of a text, rounded up.
func EstimateTokens(text string) Tokens {
	return Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Cost is what a request is charged at admission: the prompt and the most that
// may be generated, or the route's price of a call.
func (r *Request) Cost() Tokens {
	if r.Generate != nil {
		return r.Generate.PromptTokens + r.Generate.MaxTokens
	}
	return r.Route.CallCost
}
