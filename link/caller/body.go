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

// errHeldBytes means that the bodies of all requests reached their limit.
var errHeldBytes = errors.New("caller: bodies of running requests reached the limit")

// budget bounds the bytes held by all running requests.
type budget struct {
	limit int64
	held  atomic.Int64
}

// hold takes n bytes or fails.
func (b *budget) hold(n int64) error {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return errHeldBytes
	}
	return nil
}

// heldReader charges what it reads to a budget, before it reads it.
type heldReader struct {
	from   io.Reader
	budget *budget
	taken  int64
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	if err := r.budget.hold(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := r.from.Read(p)
	r.taken += int64(n)
	r.budget.held.Add(int64(n - len(p)))
	return n, err
}

// release gives back all that was taken.
func (r *heldReader) release() {
	r.budget.held.Add(-r.taken)
	r.taken = 0
}

// readBody reads a body within its limits. The caller calls release when the
// request is over.
func (h *Handler) readBody(e *exchange, r *http.Request) (body []byte, release func(), refusal *contract.Refusal) {
	limits := h.limits
	if r.ContentLength > limits.BodyBytes {
		return nil, nil, tooLarge(limits.BodyBytes)
	}
	if err := setReadDeadline(e, h.clock.Now().Add(limits.BodyTimeout)); err != nil {
		return nil, nil, contract.Refuse(contract.CodeCanceled, "the connection is gone")
	}
	reader := &heldReader{from: http.MaxBytesReader(e.w, r.Body, limits.BodyBytes), budget: &h.bodies}
	body, err := io.ReadAll(reader)
	if err != nil {
		reader.release()
		return nil, nil, bodyRefusal(err, limits)
	}
	// The connection is watched for the caller's leaving from here on, and
	// must not be cut for being silent.
	if err := setReadDeadline(e, time.Time{}); err != nil {
		reader.release()
		return nil, nil, contract.Refuse(contract.CodeCanceled, "the connection is gone")
	}
	return body, reader.release, nil
}

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

// bodyRefusal says why a body could not be read.
func bodyRefusal(err error, limits Limits) *contract.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(limits.BodyBytes)
	case errors.Is(err, errHeldBytes):
		return contract.RefuseRepeat(contract.CodeOverCapacity, time.Second, "the entry holds as many request bodies as it may")
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason := fmt.Sprintf("the body did not arrive within %v", limits.BodyTimeout)
		return contract.RefuseRepeat(contract.CodeTooSlow, 0, reason)
	default:
		return contract.Refuse(contract.CodeMalformed, "the body could not be read")
	}
}
