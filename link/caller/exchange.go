package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// headerRequestID carries the request's identifier to the caller.
const headerRequestID = "X-Request-Id"

// exchange is one request and its answer on a connection.
type exchange struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	now          func() time.Time
	writeTimeout time.Duration
	// begun is set once the status line was written.
	begun bool
}

// Accepted implements a part of contract.Sink.
func (e *exchange) Accepted(id contract.RequestID) {
	e.w.Header().Set(headerRequestID, string(id))
}

// requestID gives the identifier set by Accepted, for logs.
func (e *exchange) requestID() string {
	return e.w.Header().Get(headerRequestID)
}

// writeWhole writes a whole answer.
func (e *exchange) writeWhole(status int, body []byte) error {
	if err := e.begin(status); err != nil {
		return err
	}
	return e.write(body)
}

// begin writes the status line.
func (e *exchange) begin(status int) error {
	if err := e.extendDeadline(); err != nil {
		return err
	}
	e.begun = true
	e.w.WriteHeader(status)
	return nil
}

// write sends bytes at once. A caller that does not take them within the write
// timeout is cut.
func (e *exchange) write(data []byte) error {
	if err := e.extendDeadline(); err != nil {
		return err
	}
	if _, err := e.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	return e.control.Flush()
}

// extendDeadline gives the next write its time.
func (e *exchange) extendDeadline() error {
	err := e.control.SetWriteDeadline(e.now().Add(e.writeTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
