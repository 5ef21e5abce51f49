package sidecar

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// outbox is the output that waits for one entry: the row of the output table.
// Output stays until the entry's poll says that it has it, so a lost reply
// loses nothing.
type outbox struct {
	incarnation instance.Incarnation
	streams     map[contract.CallID]*stream
	// wake has a value when there is output that no poll has taken.
	wake chan struct{}
}

// stream is the output of one call that its entry does not have yet.
type stream struct {
	chunks []contract.Chunk
	// next is the offset after the last chunk.
	next contract.Tokens
	// finished is when the last chunk came; zero while it runs.
	finished time.Time
	// named says that a poll has named the call. A poll that was on its way
	// when the stream was opened does not name it yet.
	named bool
}

// ofOwner finds or makes an entry's outbox; its table's lock is held. A new
// incarnation of the entry knows nothing of the calls of the one before.
func ofOwner(rows map[instance.Name]*outbox, owner instance.Identity) *outbox {
	box, there := rows[owner.Name]
	if there && box.incarnation >= owner.Incarnation {
		return box
	}
	box = &outbox{
		incarnation: owner.Incarnation,
		streams:     make(map[contract.CallID]*stream),
		wake:        make(chan struct{}, 1),
	}
	rows[owner.Name] = box
	return box
}

// openStream makes room for a call's output.
func (s *Sidecar) openStream(h *table.Held, owner instance.Identity, call contract.CallID, offset contract.Tokens) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		ofOwner(rows, owner).streams[call] = &stream{next: offset}
	})
}

// put adds output and wakes the entry's poll. A chunk of a stream that was
// dropped goes nowhere.
func (s *Sidecar) put(h *table.Held, owner instance.Identity, chunk contract.Chunk) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		box := ofOwner(rows, owner)
		st, there := box.streams[chunk.Call]
		if !there {
			return
		}
		if chunk.Failure != nil {
			chunk.Offset = st.next
		}
		st.chunks = append(st.chunks, chunk)
		st.next = chunk.Offset + contract.Tokens(len(chunk.Texts))
		if chunk.Done {
			st.finished = s.clock.Now()
		}
		wake(box)
	})
}

// wake lets a waiting poll go on.
func wake(box *outbox) {
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// take applies acknowledgements and collects the output that the entry lacks.
func (s *Sidecar) take(h *table.Held, owner instance.Identity, acks []peer.Ack) (chunks []contract.Chunk, wake <-chan struct{}) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		box := ofOwner(rows, owner)
		wake = box.wake
		if box.incarnation != owner.Incarnation {
			return
		}
		current := make(map[contract.CallID]bool, len(acks))
		for _, ack := range acks {
			current[ack.Call] = true
			st, there := box.streams[ack.Call]
			if !there {
				continue
			}
			st.named = true
			st.acknowledge(ack.Next)
		}
		box.dropReleased(current)
		box.calm()
		chunks = box.waiting()
	})
	return chunks, wake
}

// calm takes back a wake-up whose output is taken now: it would end the next
// poll with nothing.
func (b *outbox) calm() {
	select {
	case <-b.wake:
	default:
	}
}

// waiting gives all output of the entry's calls, also of those that the poll
// does not name because they were started while it was on its way.
func (b *outbox) waiting() (chunks []contract.Chunk) {
	for _, st := range b.streams {
		chunks = append(chunks, st.chunks...)
	}
	return chunks
}

// dropReleased drops streams that polls named before and name no more: their
// entry has all of them, or has given the call up.
func (b *outbox) dropReleased(current map[contract.CallID]bool) {
	for call, st := range b.streams {
		if st.named && !current[call] {
			delete(b.streams, call)
		}
	}
}

// acknowledge drops output before an offset. The last chunk stays: it is gone
// with the stream once the entry names the call no more.
func (st *stream) acknowledge(next contract.Tokens) {
	drop := 0
	for _, c := range st.chunks {
		end := c.Offset + contract.Tokens(len(c.Texts))
		if c.Done || end > next {
			break
		}
		drop++
	}
	st.chunks = st.chunks[drop:]
}

// closeStream drops a call's output.
func (s *Sidecar) closeStream(h *table.Held, owner instance.Name, call contract.CallID) {
	s.output.With(h, owner, func(rows map[instance.Name]*outbox) {
		if box, there := rows[owner]; there {
			delete(box.streams, call)
		}
	})
}

// dropOldOutput forgets finished streams that no entry asked for in time.
func (s *Sidecar) dropOldOutput(h *table.Held) {
	now := s.clock.Now()
	s.output.Each(h, func(rows map[instance.Name]*outbox) {
		for _, box := range rows {
			for call, st := range box.streams {
				if !st.finished.IsZero() && now.Sub(st.finished) > StreamKept {
					delete(box.streams, call)
				}
			}
		}
	})
}

// Poll implements peer.Sidecar.
func (s *Sidecar) Poll(ctx context.Context, q *peer.PollRequest) (*peer.PollReply, error) {
	first, err := ask(ctx, s, func(h *table.Held, answer func(polled)) []pool.Effect {
		answer(s.renewAndTake(h, q))
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(first.chunks) == 0 && len(first.lost) == 0 && q.Wait > 0 {
		waitFor(ctx, first.wake, q.Wait)
		first.chunks, _ = s.take(table.NewHeld(), q.From, q.Calls)
	}
	h := table.NewHeld()
	return &peer.PollReply{
		Header: s.header(),
		Load:   s.load(h),
		Chunks: first.chunks,
		Lost:   first.lost,
	}, nil
}

// polled is what the first look of a poll found.
type polled struct {
	chunks []contract.Chunk
	lost   []contract.CallID
	wake   <-chan struct{}
}

// renewAndTake renews the leases of all calls named and takes their output.
func (s *Sidecar) renewAndTake(h *table.Held, q *peer.PollRequest) (p polled) {
	s.heard(h, q.Header)
	calls := make([]contract.CallID, 0, len(q.Calls))
	for _, ack := range q.Calls {
		calls = append(calls, ack.Call)
	}
	var unknown []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) {
		unknown = (*l).Renew(s.clock.Now(), q.From, calls)
	})
	p.chunks, p.wake = s.take(h, q.From, q.Calls)
	p.lost = s.withoutOutput(h, q.From.Name, unknown)
	return p
}

// withoutOutput leaves those calls that have no output here either. A call that
// has ended has no grant but still has output.
func (s *Sidecar) withoutOutput(h *table.Held, owner instance.Name, calls []contract.CallID) (lost []contract.CallID) {
	if len(calls) == 0 {
		return nil
	}
	s.output.With(h, owner, func(rows map[instance.Name]*outbox) {
		for _, call := range calls {
			box, there := rows[owner]
			if there && box.streams[call] != nil {
				continue
			}
			lost = append(lost, call)
		}
	})
	return lost
}

// waitFor waits for output, then a moment longer so that one reply carries all
// that an engine's step gave.
func waitFor(ctx context.Context, wake <-chan struct{}, most time.Duration) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	select {
	case <-wake:
	case <-limit.C:
		return
	case <-ctx.Done():
		return
	}
	gather := time.NewTimer(CoalesceOutput)
	defer gather.Stop()
	select {
	case <-gather.C:
	case <-ctx.Done():
	}
}
