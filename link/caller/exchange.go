package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// headerRequestID is the response header with the identifier of the request.
const headerRequestID = "X-Request-Id"

// exchange writes the response to one request.
type exchange struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	now          func() time.Time
	writeTimeout time.Duration
	// headerWritten is set when the status line has been written.
	headerWritten bool
}

// WriteRequestID implements contract.Sink for the sinks that embed exchange.
func (e *exchange) WriteRequestID(id contract.RequestID) {
	e.w.Header().Set(headerRequestID, string(id))
}

// requestID returns the identifier set by WriteRequestID, for logs; "" if there is none.
func (e *exchange) requestID() string {
	return e.w.Header().Get(headerRequestID)
}

// writeResponse writes the status line, the headers and the whole body.
func (e *exchange) writeResponse(status int, body []byte) error {
	if err := e.writeHeader(status); err != nil {
		return err
	}
	return e.write(body)
}

// writeHeader writes the status line and the headers.
func (e *exchange) writeHeader(status int) error {
	if err := e.extendDeadline(); err != nil {
		return err
	}
	e.headerWritten = true
	e.w.WriteHeader(status)
	return nil
}

// write sends data without buffering. A caller that does not read it within the
// write timeout is disconnected.
func (e *exchange) write(data []byte) error {
	if err := e.extendDeadline(); err != nil {
		return err
	}
	if _, err := e.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	return e.control.Flush()
}

// extendDeadline sets the deadline of the next write, writeTimeout from now. It
// ignores response writers that have no deadlines.
func (e *exchange) extendDeadline() error {
	err := e.control.SetWriteDeadline(e.now().Add(e.writeTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
