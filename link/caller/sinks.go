package caller

import (
	"errors"
	"net/http"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// errUnexpectedAnswer means that the server sent an answer that does not belong to
// this kind of request, or a second one.
var errUnexpectedAnswer = errors.New("caller: answer of an unexpected kind, or a second answer")

// responder is a sink that can also finish the response.
type responder interface {
	contract.Sink
	// finish completes the response after Serve has returned served, which is nil
	// if the request was not refused.
	finish(served *contract.Refusal) error
}

// wholeSink collects the output and sends it in one body.
type wholeSink struct {
	*exchange
	output output
	text   strings.Builder
	usage  contract.Usage
}

// WriteRequestID implements contract.Sink.
func (s *wholeSink) WriteRequestID(id contract.RequestID) {
	s.exchange.WriteRequestID(id)
	s.output.id = id
}

// WriteChunk implements contract.Sink.
func (s *wholeSink) WriteChunk(chunk contract.Chunk) error {
	if refusal := s.output.advance(&chunk); refusal != nil {
		return refusal
	}
	s.text.WriteString(chunkText(&chunk))
	s.usage = chunk.Usage
	return nil
}

// WriteAnswer implements contract.Sink.
func (s *wholeSink) WriteAnswer(contract.ServiceAnswer) error {
	return errUnexpectedAnswer
}

func (s *wholeSink) finish(served *contract.Refusal) error {
	if refusal := s.output.finalRefusal(served); refusal != nil {
		return s.writeRefusal(refusal)
	}
	body, err := s.output.encode(s.text.String(), &s.usage, false)
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	return s.writeResponse(http.StatusOK, append(body, '\n'))
}

// streamSink sends output as server-sent events.
type streamSink struct {
	*exchange
	output output
}

// WriteRequestID implements contract.Sink.
func (s *streamSink) WriteRequestID(id contract.RequestID) {
	s.exchange.WriteRequestID(id)
	s.output.id = id
}

// WriteChunk implements contract.Sink.
func (s *streamSink) WriteChunk(chunk contract.Chunk) error {
	before := s.output
	if refusal := s.output.advance(&chunk); refusal != nil {
		return refusal
	}
	var finalUsage *contract.Usage
	if chunk.Done {
		finalUsage = &chunk.Usage
	}
	// The chunk is encoded with the state before advance, which holds its offset.
	body, err := before.encode(chunkText(&chunk), finalUsage, true)
	if err != nil {
		return err
	}
	return s.writeEvent(body)
}

// WriteAnswer implements contract.Sink.
func (s *streamSink) WriteAnswer(contract.ServiceAnswer) error {
	return errUnexpectedAnswer
}

func (s *streamSink) finish(served *contract.Refusal) error {
	refusal := s.output.finalRefusal(served)
	switch {
	case refusal == nil:
		return s.writeEvent([]byte("[DONE]"))
	case s.headerWritten:
		return s.writeEvent(encodeRefusal(refusal))
	default:
		return s.writeRefusal(refusal)
	}
}

// writeEvent sends one server-sent event. The first one also writes the headers.
func (s *streamSink) writeEvent(data []byte) error {
	if !s.headerWritten {
		header := s.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		if err := s.writeHeader(http.StatusOK); err != nil {
			return err
		}
	}
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, strings.TrimRight(string(data), "\n")...)
	line = append(line, "\n\n"...)
	return s.write(line)
}

// serviceSink forwards the answer of a service.
type serviceSink struct {
	*exchange
	answered bool
}

// WriteChunk implements contract.Sink.
func (s *serviceSink) WriteChunk(contract.Chunk) error {
	return errUnexpectedAnswer
}

// WriteAnswer implements contract.Sink.
func (s *serviceSink) WriteAnswer(answer contract.ServiceAnswer) error {
	if s.answered {
		return errUnexpectedAnswer
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
	return s.writeResponse(answer.Status, answer.Body)
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
