package caller

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// completionKind is the form of a completion request and its response.
type completionKind uint8

const (
	textCompletion completionKind = iota + 1
	chatCompletion
)

// object returns the "object" field of a response.
func (k completionKind) object(streamed bool) string {
	switch {
	case k == textCompletion:
		return "text_completion"
	case streamed:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// completion is the JSON of a whole response or of one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     contract.Tokens `json:"prompt_tokens"`
	CompletionTokens contract.Tokens `json:"completion_tokens"`
	TotalTokens      contract.Tokens `json:"total_tokens"`
}

// output encodes the chunks of one request as completions. It checks that each
// chunk starts where the previous one ended, so that no gap or repeat reaches the
// caller.
type output struct {
	kind      completionKind
	model     contract.ModelName
	maxTokens contract.Tokens
	created   time.Time
	id        contract.RequestID
	// next is the offset that the next chunk must have.
	next contract.Tokens
	done bool
	// failure is the refusal that ended the output; nil if there is none.
	failure *contract.Refusal
}

// advance checks a chunk against those before it and records it. It returns the
// refusal if the output has failed.
func (o *output) advance(chunk *contract.Chunk) *contract.Refusal {
	if o.done || chunk.Offset != o.next {
		o.failure = &contract.Refusal{
			Code:   contract.CodeStreamBroken,
			Ran:    contract.RanYes,
			Reason: "the output has a gap or a repeat",
		}
		return o.failure
	}
	o.next += contract.Tokens(len(chunk.Texts))
	o.done = chunk.Done
	if chunk.Failure != nil {
		o.failure = chunk.Failure
	}
	return o.failure
}

// finalRefusal returns the refusal to report after Serve has returned served; nil
// if the output is complete.
func (o *output) finalRefusal(served *contract.Refusal) *contract.Refusal {
	switch {
	case served != nil:
		return served
	case o.failure != nil:
		return o.failure
	case !o.done:
		return &contract.Refusal{Code: contract.CodeStreamBroken, Ran: contract.RanUnknown, Reason: "the output ended early"}
	default:
		return nil
	}
}

// encode renders one event of a stream or the whole response. finalUsage is nil
// except at the end of the output.
func (o *output) encode(text string, finalUsage *contract.Usage, streamed bool) ([]byte, error) {
	first := o.next == 0 || !streamed
	answer := completion{
		ID:      string(o.id),
		Object:  o.kind.object(streamed),
		Created: o.created.Unix(),
		Model:   string(o.model),
		Choices: []choice{o.choice(text, streamed, first)},
	}
	if finalUsage != nil {
		answer.Choices[0].FinishReason = o.finishReason(finalUsage)
		answer.Usage = &usage{
			PromptTokens:     finalUsage.PromptTokens,
			CompletionTokens: finalUsage.OutputTokens,
			TotalTokens:      finalUsage.Total(),
		}
	}
	return json.Marshal(answer)
}

func (o *output) choice(text string, streamed, first bool) choice {
	if o.kind == textCompletion {
		return choice{Text: &text}
	}
	c := &content{Content: text}
	if first {
		c.Role = "assistant"
	}
	if streamed {
		return choice{Delta: c}
	}
	return choice{Message: c}
}

// finishReason returns "length" if the output has reached the token limit, else
// "stop".
func (o *output) finishReason(finalUsage *contract.Usage) *string {
	reason := "stop"
	if finalUsage.OutputTokens >= o.maxTokens {
		reason = "length"
	}
	return &reason
}

// chunkText concatenates the texts of a chunk.
func chunkText(chunk *contract.Chunk) string {
	return strings.Join(chunk.Texts, "")
}
