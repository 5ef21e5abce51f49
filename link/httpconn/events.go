package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one event of a stream in bytes; larger ones are an error.
const maxEvent = 1 << 20

// ErrTorn means that a stream ended inside an event.
var ErrTorn = errors.New("httpconn: stream ended inside an event")

// EventReader splits a text/event-stream into whole events.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next gives the bytes of the next event, the empty line at its end included,
// and its id ("" if it has none). At the end of the stream the error is io.EOF.
func (e *EventReader) Next() (id string, raw []byte, err error) {
	for {
		line, err := e.reader.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(raw) < maxEvent:
			continue
		case err == io.EOF && len(raw) == 0:
			return "", nil, io.EOF
		case err == io.EOF:
			return "", nil, ErrTorn
		case err != nil:
			return "", nil, fmt.Errorf("httpconn: stream: %w", err)
		case len(raw) > maxEvent:
			return "", nil, fmt.Errorf("httpconn: event of more than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(lastLine(raw), "\r\n")) == 0 {
			return eventID(raw), raw, nil
		}
	}
}

// lastLine gives the last line of raw, its end included.
func lastLine(raw []byte) []byte {
	end := len(raw) - 1
	return raw[bytes.LastIndexByte(raw[:end], '\n')+1:]
}

// eventID finds the id field of an event.
func eventID(raw []byte) string {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
