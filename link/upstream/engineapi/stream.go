package engineapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/trefoilwalk/trefoilwalk/contract"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
)

// stream makes a call whose reply is a stream. It cancels the call at the engine if
// ctx ends or emit fails.
func (c *Client) stream(ctx context.Context, path string, payload any, r streamReader) error {
	err := c.readStream(ctx, path, payload, &r)
	if err == nil || (ctx.Err() == nil && !r.emitFailed) || errors.Is(err, link.ErrNotSent) {
		return err
	}
	cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if cancelErr := c.Cancel(cancelCtx, r.call); cancelErr != nil {
		return fmt.Errorf("%w (and cancelling the call failed: %w)", err, cancelErr)
	}
	return err
}

// readStream makes the call and emits its stream to the end.
func (c *Client) readStream(ctx context.Context, path string, payload any, r *streamReader) error {
	resp, err := c.send(ctx, path, payload)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return r.read(resp.Body)
}

// streamReader emits the chunks of a stream and checks that none is missing, repeated
// or of another call.
type streamReader struct {
	call contract.CallID
	// next is the offset that the next chunk must have.
	next contract.Tokens
	emit func(contract.Chunk) error
	// emitFailed is set when emit has returned an error.
	emitFailed bool
}

// maxLineBytes bounds a line of a stream, which holds the tokens of one step.
const maxLineBytes = 256 << 10

var errLongLine = fmt.Errorf("line of more than %d bytes", maxLineBytes)

// lineLimit reads at most left bytes, which is set before each line.
type lineLimit struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (l *lineLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errLongLine
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (r *streamReader) read(body io.Reader) error {
	limited := &lineLimit{reader: body, left: maxLineBytes}
	lines := json.NewDecoder(limited)
	if err := r.checkFirstLine(lines); err != nil {
		return err
	}
	for {
		limited.left = maxLineBytes
		var event Event
		if err := lines.Decode(&event); err != nil {
			return fmt.Errorf("%w: stream interrupted at token %d: %w", link.ErrInterrupted, r.next, err)
		}
		if event.Error != nil {
			return event.Error.decode()
		}
		if err := r.deliver(event); err != nil {
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// checkFirstLine reads the first line, which must identify the call.
func (r *streamReader) checkFirstLine(lines *json.Decoder) error {
	var first Event
	if err := lines.Decode(&first); err != nil {
		return fmt.Errorf("%w: stream without a first line: %w", link.ErrInterrupted, err)
	}
	if first.Call == nil || contract.CallID(*first.Call) != r.call {
		return fmt.Errorf("%w: stream belongs to another call", link.ErrInterrupted)
	}
	return nil
}

// deliver emits one chunk of output. A gap or a repeat fails with link.ErrInterrupted.
func (r *streamReader) deliver(event Event) error {
	if event.Offset != r.next {
		return fmt.Errorf("%w: stream continues at token %d, want %d", link.ErrInterrupted, event.Offset, r.next)
	}
	r.next += contract.Tokens(len(event.Texts))
	chunk := contract.Chunk{Call: r.call, Offset: event.Offset, Texts: event.Texts, Done: event.Done}
	if event.Usage != nil {
		chunk.Usage = contract.Usage(*event.Usage)
	}
	if err := r.emit(chunk); err != nil {
		r.emitFailed = true
		return err
	}
	return nil
}
