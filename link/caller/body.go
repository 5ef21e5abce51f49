package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/bytebudget"
)

// readBody reads a body within the limits on size, time and held bytes. Unless it
// is refused, release must be called when the request has ended.
func (h *Handler) readBody(e *exchange, r *http.Request) (body []byte, release func(), refusal *contract.Refusal) {
	limits := h.limits
	if r.ContentLength > limits.BodyBytes {
		return nil, nil, tooLarge(limits.BodyBytes)
	}
	if err := setReadDeadline(e, h.clock.Now().Add(limits.BodyTimeout)); err != nil {
		return nil, nil, contract.Refuse(contract.CodeCanceled, "the connection is gone")
	}
	reader := bytebudget.NewReader(http.MaxBytesReader(e.w, r.Body, limits.BodyBytes), h.bodies, bytebudget.Request, 0)
	body, err := io.ReadAll(reader)
	if err != nil {
		reader.Release()
		return nil, nil, bodyRefusal(err, limits)
	}
	// From here on the server reads the connection only to detect a disconnect of
	// the caller, so the lack of data must not close it.
	if err := setReadDeadline(e, time.Time{}); err != nil {
		reader.Release()
		return nil, nil, contract.Refuse(contract.CodeCanceled, "the connection is gone")
	}
	return body, reader.Release, nil
}

// setReadDeadline ignores response writers that have no deadlines.
func setReadDeadline(e *exchange, at time.Time) error {
	err := e.control.SetReadDeadline(at)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func tooLarge(limit int64) *contract.Refusal {
	return contract.Refuse(contract.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
}

// bodyRefusal maps an error of reading a body to a refusal.
func bodyRefusal(err error, limits Limits) *contract.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(limits.BodyBytes)
	case errors.Is(err, bytebudget.ErrExhausted):
		return contract.RefuseRetryable(contract.CodeOverCapacity, time.Second, "the entry holds as many request bodies as it may")
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason := fmt.Sprintf("the body did not arrive within %v", limits.BodyTimeout)
		return contract.RefuseRetryable(contract.CodeTooSlow, 0, reason)
	default:
		return contract.Refuse(contract.CodeMalformed, "the body could not be read")
	}
}
