package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// TestPollWaitsAgain guards against a stale wake-up signal: output that arrives while
// a poll coalesces is returned by that poll, and must not end the next one early with
// no chunks.
func TestPollWaitsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		b.decode("r1", 1)
		b.decode("r2", 2)
		const wait = 250 * time.Millisecond
		q := &peer.PollRequest{Header: peer.Header{From: entryID}, Wait: wait}
		for _, name := range []contract.RequestID{"r1", "r2"} {
			q.Calls = append(q.Calls, peer.Ack{Call: contract.CallID{Request: name, Attempt: 1}})
		}
		first, err := b.s.Poll(t.Context(), q)
		if err != nil || len(first.Chunks) != 2 {
			t.Fatalf("%d chunks, %v", len(first.Chunks), err)
		}
		for i := range q.Calls {
			q.Calls[i].Next = 1
		}
		start := time.Now()
		second, err := b.s.Poll(t.Context(), q)
		if err != nil || len(second.Chunks) != 0 || time.Since(start) != wait {
			t.Errorf("second poll: %d chunks after %v, %v; want none after %v", len(second.Chunks), time.Since(start), err, wait)
		}
	})
}
