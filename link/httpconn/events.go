package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event of a stream; a larger one is an error.
const maxEventBytes = 256 << 10

// ErrTruncated is returned when a stream ends inside an event.
var ErrTruncated = errors.New("httpconn: stream ended inside an event")

// EventReader splits a text/event-stream into whole events.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next returns the next event unchanged, including the empty line that ends it,
// and its id, "" without one. At the end of the stream the error is io.EOF.
func (e *EventReader) Next() (id string, raw []byte, err error) {
	for {
		line, err := e.reader.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case len(raw) > maxEventBytes:
			return "", nil, fmt.Errorf("%w: event of more than %d bytes", ErrTooLong, maxEventBytes)
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(raw) == 0:
			return "", nil, io.EOF
		case err == io.EOF:
			return "", nil, ErrTruncated
		case err != nil:
			return "", nil, fmt.Errorf("httpconn: stream: %w", err)
		}
		if len(bytes.TrimRight(lastLine(raw), "\r\n")) == 0 {
			return eventID(raw), raw, nil
		}
	}
}

// lastLine returns the last line of raw with its line feed.
func lastLine(raw []byte) []byte {
	end := len(raw) - 1
	return raw[bytes.LastIndexByte(raw[:end], '\n')+1:]
}

// eventID returns the id field of an event, "" without one.
func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
