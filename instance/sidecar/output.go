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

// outbox is a row of the output table: the unacknowledged output for one entry.
// Output is kept until a poll acknowledges it, so a lost reply loses no output.
type outbox struct {
	incarnation instance.Incarnation
	streams     map[contract.CallID]*stream
	// wake holds a value while there is output that no poll has returned yet.
	wake chan struct{}
	// usedAt is when the entry last polled or a stream was opened.
	usedAt time.Time
}

// stream is the unacknowledged output of one call.
type stream struct {
	chunks []contract.Chunk
	// next is the offset after the last chunk.
	next contract.Tokens
	// finished is when the last chunk arrived; zero while the call is running.
	finished time.Time
	// listed is set once a poll has listed the call. A poll already in flight
	// when the stream was opened does not list it yet.
	listed bool
}

// outboxOf returns an entry's outbox and creates it if needed. The caller holds the
// table's lock. A newer incarnation of the entry gets an empty outbox, because it does
// not know the calls of the previous one.
func outboxOf(rows map[instance.Name]*outbox, owner instance.Identity) *outbox {
	box, found := rows[owner.Name]
	if found && box.incarnation >= owner.Incarnation {
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

// openStream creates the stream of a call whose output starts at offset, replacing
// any earlier one.
func (s *Sidecar) openStream(h *table.HeldLocks, owner instance.Identity, call contract.CallID, offset contract.Tokens) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		box := outboxOf(rows, owner)
		box.usedAt = s.clock.Now()
		box.streams[call] = &stream{next: offset}
	})
}

// appendOutput adds a chunk to its stream and wakes the entry's poll. A chunk is
// discarded if its stream was dropped. A failure is placed after the last chunk.
func (s *Sidecar) appendOutput(h *table.HeldLocks, owner instance.Identity, chunk contract.Chunk) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		box := outboxOf(rows, owner)
		st, found := box.streams[chunk.Call]
		if !found {
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

// wake signals a waiting poll, or the next one. It never blocks.
func wake(box *outbox) {
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// takeOutput applies a poll's acknowledgments and returns the unacknowledged output
// and the channel that signals more. An earlier incarnation of the entry gets none.
func (s *Sidecar) takeOutput(h *table.HeldLocks, owner instance.Identity, acks []peer.Ack) (chunks []contract.Chunk, wake <-chan struct{}) {
	s.output.With(h, owner.Name, func(rows map[instance.Name]*outbox) {
		box := outboxOf(rows, owner)
		wake = box.wake
		box.usedAt = s.clock.Now()
		if box.incarnation != owner.Incarnation {
			return
		}
		current := make(map[contract.CallID]bool, len(acks))
		for _, ack := range acks {
			current[ack.Call] = true
			st, found := box.streams[ack.Call]
			if !found {
				continue
			}
			st.listed = true
			st.acknowledge(ack.Next)
		}
		box.dropUnlisted(current)
		box.clearWake()
		chunks = box.unacknowledged()
	})
	return chunks, wake
}

// clearWake discards a pending signal for output that this poll returns; it would end
// the next poll without output.
func (b *outbox) clearWake() {
	select {
	case <-b.wake:
	default:
	}
}

// unacknowledged returns the output of all the entry's calls, including those that the
// poll does not list because they were started while it was in flight.
func (b *outbox) unacknowledged() (chunks []contract.Chunk) {
	for _, st := range b.streams {
		chunks = append(chunks, st.chunks...)
	}
	return chunks
}

// dropUnlisted drops streams that an earlier poll listed and this one does not: the
// entry has all their output or has abandoned the call.
func (b *outbox) dropUnlisted(current map[contract.CallID]bool) {
	for call, st := range b.streams {
		if st.listed && !current[call] {
			delete(b.streams, call)
		}
	}
}

// acknowledge drops the chunks that end at or before an offset. The last chunk stays
// until dropUnlisted drops the stream.
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

// closeStream drops a call's stream; later chunks of the call are discarded.
func (s *Sidecar) closeStream(h *table.HeldLocks, owner instance.Name, call contract.CallID) {
	s.output.With(h, owner, func(rows map[instance.Name]*outbox) {
		if box, found := rows[owner]; found {
			delete(box.streams, call)
		}
	})
}

// dropOldOutput drops the streams that finished more than OutputRetention ago, and the
// outboxes of entries that have no stream and did not poll for so long.
func (s *Sidecar) dropOldOutput(h *table.HeldLocks) {
	now := s.clock.Now()
	s.output.Each(h, func(rows map[instance.Name]*outbox) {
		for name, box := range rows {
			if len(box.streams) == 0 && now.Sub(box.usedAt) > OutputRetention {
				delete(rows, name)
			}
			for call, st := range box.streams {
				if !st.finished.IsZero() && now.Sub(st.finished) > OutputRetention {
					delete(box.streams, call)
				}
			}
		}
	})
}

// Poll implements peer.Sidecar. It waits at most q.Wait if there is neither output nor
// a lost call.
func (s *Sidecar) Poll(ctx context.Context, q *peer.PollRequest) (*peer.PollReply, error) {
	first, err := ask(ctx, s, func(h *table.HeldLocks, answer func(pollResult)) []pool.Effect {
		answer(s.renewAndTake(h, q))
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(first.chunks) == 0 && len(first.lost) == 0 && q.Wait > 0 {
		waitForOutput(ctx, first.wake, q.Wait)
		first.chunks, _ = s.takeOutput(table.NewHeldLocks(), q.From, q.Calls)
	}
	h := table.NewHeldLocks()
	return &peer.PollReply{
		Header: s.header(),
		Load:   s.load(h),
		Chunks: first.chunks,
		Lost:   first.lost,
	}, nil
}

// pollResult is what a poll finds before it waits.
type pollResult struct {
	chunks []contract.Chunk
	lost   []contract.CallID
	wake   <-chan struct{}
}

// renewAndTake renews the leases of all listed calls and collects their output.
func (s *Sidecar) renewAndTake(h *table.HeldLocks, q *peer.PollRequest) (p pollResult) {
	s.learnQuarantine(h, q.Header)
	calls := make([]contract.CallID, 0, len(q.Calls))
	for _, ack := range q.Calls {
		calls = append(calls, ack.Call)
	}
	var unknown []contract.CallID
	s.ledger.With(h, func(l **engine.Ledger) {
		unknown = (*l).Renew(s.clock.Now(), q.From, calls)
	})
	p.chunks, p.wake = s.takeOutput(h, q.From, q.Calls)
	p.lost = s.withoutOutput(h, q.From.Name, unknown)
	return p
}

// withoutOutput returns those of the calls without a grant that have no stream here
// either, which are lost. A call that has ended has no grant but may still have
// output.
func (s *Sidecar) withoutOutput(h *table.HeldLocks, owner instance.Name, calls []contract.CallID) (lost []contract.CallID) {
	if len(calls) == 0 {
		return nil
	}
	s.output.With(h, owner, func(rows map[instance.Name]*outbox) {
		for _, call := range calls {
			box, found := rows[owner]
			if found && box.streams[call] != nil {
				continue
			}
			lost = append(lost, call)
		}
	})
	return lost
}

// waitForOutput waits at most maxWait for output, then OutputCoalesceDelay longer so that
// one reply carries all output of an engine's step.
func waitForOutput(ctx context.Context, wake <-chan struct{}, maxWait time.Duration) {
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	select {
	case <-wake:
	case <-limit.C:
		return
	case <-ctx.Done():
		return
	}
	gather := time.NewTimer(OutputCoalesceDelay)
	defer gather.Stop()
	select {
	case <-gather.C:
	case <-ctx.Done():
	}
}
