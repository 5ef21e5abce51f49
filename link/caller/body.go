package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// errHeldBytes means that the bodies of all running requests reached HeldBytes.
var errHeldBytes = errors.New("caller: bodies of running requests reached the limit")

// byteBudget bounds the body bytes held by all running requests together.
type byteBudget struct {
	limit int64
	held  atomic.Int64
}

// acquire charges n bytes, or charges none and returns errHeldBytes.
func (b *byteBudget) acquire(n int64) error {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return errHeldBytes
	}
	return nil
}

// budgetReader charges what it reads to a budget. It acquires the whole buffer
// before a read and returns the unused part after it.
type budgetReader struct {
	source  io.Reader
	budget  *byteBudget
	charged int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	if err := r.budget.acquire(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.charged += int64(n)
	r.budget.held.Add(int64(n - len(p)))
	return n, err
}

// release returns all charged bytes to the budget.
func (r *budgetReader) release() {
	r.budget.held.Add(-r.charged)
	r.charged = 0
}

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
	reader := &budgetReader{source: http.MaxBytesReader(e.w, r.Body, limits.BodyBytes), budget: &h.bodies}
	body, err := io.ReadAll(reader)
	if err != nil {
		reader.release()
		return nil, nil, bodyRefusal(err, limits)
	}
	// From here on the server reads the connection only to detect a disconnect of
	// the caller, so the lack of data must not close it.
	if err := setReadDeadline(e, time.Time{}); err != nil {
		reader.release()
		return nil, nil, contract.Refuse(contract.CodeCanceled, "the connection is gone")
	}
	return body, reader.release, nil
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
	case errors.Is(err, errHeldBytes):
		return contract.RefuseRetryable(contract.CodeOverCapacity, time.Second, "the entry holds as many request bodies as it may")
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason := fmt.Sprintf("the body did not arrive within %v", limits.BodyTimeout)
		return contract.RefuseRetryable(contract.CodeTooSlow, 0, reason)
	default:
		return contract.Refuse(contract.CodeMalformed, "the body could not be read")
	}
}
