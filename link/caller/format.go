package caller

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// completionKind tells the two forms of completion apart.
type completionKind uint8

const (
	textCompletion completionKind = iota + 1
	chatCompletion
)

// object gives the "object" field of an answer.
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

// completion is an answer or a piece of one.
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

// output turns the chunks of one request into answers. It checks that the
// chunks follow each other, so that no gap or repeat reaches the caller.
type output struct {
	kind      completionKind
	model     contract.ModelName
	maxTokens contract.Tokens
	created   time.Time
	id        contract.RequestID
	next      contract.Tokens
	done      bool
	failure   *contract.Refusal
}

// take checks a chunk against those before it.
func (o *output) take(chunk *contract.Chunk) *contract.Refusal {
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

// verdict gives the refusal to report, if any, once Serve has returned.
func (o *output) verdict(served *contract.Refusal) *contract.Refusal {
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

// encode renders one piece of the answer, or the whole of it.
func (o *output) encode(text string, last *contract.Usage, streamed bool) ([]byte, error) {
	first := o.next == 0 || !streamed
	answer := completion{
		ID:      string(o.id),
		Object:  o.kind.object(streamed),
		Created: o.created.Unix(),
		Model:   string(o.model),
		Choices: []choice{o.choice(text, streamed, first)},
	}
	if last != nil {
		answer.Choices[0].FinishReason = o.finishReason(last)
		answer.Usage = &usage{
			PromptTokens:     last.PromptTokens,
			CompletionTokens: last.OutputTokens,
			TotalTokens:      last.Total(),
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

// finishReason says whether the model or the limit ended the output.
func (o *output) finishReason(last *contract.Usage) *string {
	reason := "stop"
	if last.OutputTokens >= o.maxTokens {
		reason = "length"
	}
	return &reason
}

// joined gives the text of a chunk.
func joined(chunk *contract.Chunk) string {
	return strings.Join(chunk.Texts, "")
}
