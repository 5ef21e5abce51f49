package caller

import (
	"errors"
	"net/http"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// errWrongAnswer means that the server gave an answer of the wrong kind.
var errWrongAnswer = errors.New("caller: answer of the wrong kind")

// responder is a sink that can also tell how the request ended.
type responder interface {
	contract.Sink
	// finish reports the end; it writes the refusal, if any.
	finish(served *contract.Refusal) error
}

// wholeSink collects output and answers with one body.
type wholeSink struct {
	*exchange
	output output
	text   strings.Builder
	usage  contract.Usage
}

// Accepted implements contract.Sink.
func (s *wholeSink) Accepted(id contract.RequestID) {
	s.exchange.Accepted(id)
	s.output.id = id
}

// Generated implements contract.Sink.
func (s *wholeSink) Generated(chunk contract.Chunk) error {
	if refusal := s.output.take(&chunk); refusal != nil {
		return refusal
	}
	s.text.WriteString(joined(&chunk))
	s.usage = chunk.Usage
	return nil
}

// Answered implements contract.Sink.
func (s *wholeSink) Answered(contract.ServiceAnswer) error {
	return errWrongAnswer
}

func (s *wholeSink) finish(served *contract.Refusal) error {
	if refusal := s.output.verdict(served); refusal != nil {
		return s.writeRefusal(refusal)
	}
	body, err := s.output.encode(s.text.String(), &s.usage, false)
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	return s.writeWhole(http.StatusOK, append(body, '\n'))
}

// streamSink sends output as server-sent events.
type streamSink struct {
	*exchange
	output output
}

// Accepted implements contract.Sink.
func (s *streamSink) Accepted(id contract.RequestID) {
	s.exchange.Accepted(id)
	s.output.id = id
}

// Generated implements contract.Sink.
func (s *streamSink) Generated(chunk contract.Chunk) error {
	first := s.output
	if refusal := s.output.take(&chunk); refusal != nil {
		return refusal
	}
	var last *contract.Usage
	if chunk.Done {
		last = &chunk.Usage
	}
	body, err := first.encode(joined(&chunk), last, true)
	if err != nil {
		return err
	}
	return s.event(body)
}

// Answered implements contract.Sink.
func (s *streamSink) Answered(contract.ServiceAnswer) error {
	return errWrongAnswer
}

func (s *streamSink) finish(served *contract.Refusal) error {
	refusal := s.output.verdict(served)
	switch {
	case refusal == nil:
		return s.event([]byte("[DONE]"))
	case s.begun:
		return s.event(encodeRefusal(refusal))
	default:
		return s.writeRefusal(refusal)
	}
}

// event sends one server-sent event; the first one opens the answer.
func (s *streamSink) event(data []byte) error {
	if !s.begun {
		header := s.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		if err := s.begin(http.StatusOK); err != nil {
			return err
		}
	}
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, strings.TrimRight(string(data), "\n")...)
	line = append(line, "\n\n"...)
	return s.write(line)
}

// serviceSink passes a service's answer on.
type serviceSink struct {
	*exchange
	answered bool
}

// Generated implements contract.Sink.
func (s *serviceSink) Generated(contract.Chunk) error {
	return errWrongAnswer
}

// Answered implements contract.Sink.
func (s *serviceSink) Answered(answer contract.ServiceAnswer) error {
	if s.answered {
		return errWrongAnswer
	}
	s.answered = true
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return s.writeRefusal(&contract.Refusal{
			Code:   contract.CodeUpstreamFailed,
			Ran:    contract.RanYes,
			Reason: "the service answered with an invalid status",
		})
	}
	if answer.ContentType != "" {
		s.w.Header().Set("Content-Type", answer.ContentType)
	}
	return s.writeWhole(answer.Status, answer.Body)
}

func (s *serviceSink) finish(served *contract.Refusal) error {
	switch {
	case s.answered:
		return nil
	case served != nil:
		return s.writeRefusal(served)
	default:
		return s.writeRefusal(&contract.Refusal{
			Code:   contract.CodeInternal,
			Ran:    contract.RanUnknown,
			Reason: "the call ended without an answer",
		})
	}
}
