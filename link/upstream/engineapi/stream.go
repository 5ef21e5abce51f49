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

// stream makes a call whose reply is a stream, and cancels it at the engine when
// the caller here gives up.
func (c *Client) stream(ctx context.Context, path string, question any, r reader) error {
	err := c.follow(ctx, path, question, &r)
	if err == nil || (ctx.Err() == nil && !r.refused) || errors.Is(err, link.ErrNotSent) {
		return err
	}
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if cancelErr := c.Cancel(late, r.call); cancelErr != nil {
		return fmt.Errorf("%w (and not cancelled: %w)", err, cancelErr)
	}
	return err
}

func (c *Client) follow(ctx context.Context, path string, question any, r *reader) error {
	resp, err := c.send(ctx, path, question)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return r.read(resp.Body)
}

// reader passes a stream on and checks that nothing is missing, doubled or of
// another call.
type reader struct {
	call contract.CallID
	next contract.Tokens
	emit func(contract.Chunk) error
	// refused says that emit failed.
	refused bool
}

func (r *reader) read(body io.Reader) error {
	lines := json.NewDecoder(body)
	if err := r.open(lines); err != nil {
		return err
	}
	for {
		var event Event
		if err := lines.Decode(&event); err != nil {
			return fmt.Errorf("%w: stream broke off at token %d: %w", link.ErrGone, r.next, err)
		}
		if event.Error != nil {
			return event.Error.decode()
		}
		if err := r.pass(event); err != nil {
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// open reads the first line, which names the call.
func (r *reader) open(lines *json.Decoder) error {
	var first Event
	if err := lines.Decode(&first); err != nil {
		return fmt.Errorf("%w: stream without a first line: %w", link.ErrGone, err)
	}
	if first.Call == nil || contract.CallID(*first.Call) != r.call {
		return fmt.Errorf("%w: stream of another call", link.ErrGone)
	}
	return nil
}

// pass emits one piece of output.
func (r *reader) pass(event Event) error {
	if event.Offset != r.next {
		return fmt.Errorf("%w: stream is at token %d, not %d", link.ErrGone, event.Offset, r.next)
	}
	r.next += contract.Tokens(len(event.Texts))
	chunk := contract.Chunk{Call: r.call, Offset: event.Offset, Texts: event.Texts, Done: event.Done}
	if event.Usage != nil {
		chunk.Usage = contract.Usage(*event.Usage)
	}
	if err := r.emit(chunk); err != nil {
		r.refused = true
		return err
	}
	return nil
}
