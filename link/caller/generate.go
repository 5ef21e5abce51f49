package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// generateBody is the JSON body of both kinds of completion. Sampling parameters
// are not decoded: the engine uses its own.
type generateBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Seed                int64           `json:"seed"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Echo                bool            `json:"echo"`
	Tools               []any           `json:"tools"`
}

// message is one turn of a chat. Content is a string or a list of text parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// malformed returns a refusal with CodeMalformed.
func malformed(format string, args ...any) *contract.Refusal {
	return contract.Refuse(contract.CodeMalformed, fmt.Sprintf(format, args...))
}

// decodeGenerate decodes and checks the body of a completion request; stream
// reports whether the caller wants the output as a stream.
func decodeGenerate(kind completionKind, body []byte, limits Limits) (g *contract.Generate, stream bool, refusal *contract.Refusal) {
	decoded, refusal := decodeBody(body)
	if refusal != nil {
		return nil, false, refusal
	}
	prompt, refusal := decoded.promptFor(kind)
	if refusal != nil {
		return nil, false, refusal
	}
	maxTokens, refusal := decoded.maxTokens(limits)
	if refusal != nil {
		return nil, false, refusal
	}
	return &contract.Generate{
		Model:        contract.ModelName(decoded.Model),
		Prompt:       prompt,
		PromptTokens: contract.EstimateTokens(prompt),
		MaxTokens:    maxTokens,
		Seed:         decoded.Seed,
	}, decoded.Stream, nil
}

// decodeBody decodes exactly one JSON object and refuses parameters that are not
// supported.
func decodeBody(body []byte) (*generateBody, *contract.Refusal) {
	var decoded generateBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&decoded); err != nil {
		return nil, malformed("the body is not a JSON object of the expected form")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, malformed("the body goes on after its JSON object")
	}
	switch {
	case decoded.Model == "":
		return nil, malformed("model is missing")
	case setAndNotOne(decoded.N), setAndNotOne(decoded.BestOf):
		return nil, malformed("n and best_of other than 1 are not supported")
	case decoded.Echo, len(decoded.Tools) > 0:
		return nil, malformed("echo and tools are not supported")
	}
	return &decoded, nil
}

func setAndNotOne(n *int64) bool {
	return n != nil && *n != 1
}

// maxTokens returns the limit on generated tokens. max_completion_tokens takes
// precedence over max_tokens.
func (b *generateBody) maxTokens(limits Limits) (contract.Tokens, *contract.Refusal) {
	requested := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		requested = b.MaxCompletionTokens
	}
	if requested == nil {
		return contract.Tokens(limits.DefaultMaxTokens), nil
	}
	if *requested < 1 || *requested > limits.MaxTokens {
		return 0, malformed("max_tokens must be from 1 to %d", limits.MaxTokens)
	}
	return contract.Tokens(*requested), nil
}

// promptFor returns the prompt for the model.
func (b *generateBody) promptFor(kind completionKind) (string, *contract.Refusal) {
	if kind == chatCompletion {
		return joinMessages(b.Messages)
	}
	prompt, ok := textOf(b.Prompt)
	if !ok || prompt == "" {
		return "", malformed("prompt must be a text that is not empty")
	}
	return prompt, nil
}

// joinMessages renders a chat as one prompt. Equal chats have equal prompts, and
// the prompt of a continued chat starts with that of the shorter one, which allows
// prefix cache hits.
func joinMessages(messages []message) (string, *contract.Refusal) {
	if len(messages) == 0 {
		return "", malformed("messages is empty")
	}
	var prompt strings.Builder
	for i, m := range messages {
		if !knownRole(m.Role) {
			return "", malformed("messages[%d].role is not known", i)
		}
		content, ok := textOf(m.Content)
		if !ok {
			return "", malformed("messages[%d].content must be a text or a list of text parts", i)
		}
		fmt.Fprintf(&prompt, "<|%s|>\n%s\n", m.Role, content)
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func knownRole(role string) bool {
	switch role {
	case "system", "developer", "user", "assistant", "tool":
		return true
	default:
		return false
	}
}

// textOf decodes a string, a list of exactly one string, or a list of text parts.
func textOf(raw json.RawMessage) (text string, ok bool) {
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, ""), len(texts) == 1
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		text += part.Text
	}
	return text, len(parts) > 0
}
