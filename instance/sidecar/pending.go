package sidecar

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// progressInterval is the number of tokens between two progress reports of a call
// to the ledger.
const progressInterval contract.Tokens = 4

// startDecode sends a call to the engine or, if its slot was granted before it is
// free, keeps the call pending until release frees the slot.
func (s *Sidecar) startDecode(h *table.HeldLocks, r *runningCall, effect pool.Effect) []pool.Effect {
	s.calls.With(h, keyOf(r.call), func(map[callKey]*runningCall) { r.pending = &effect })
	admitted := false
	s.ledger.With(h, func(l **engine.Ledger) { admitted = (*l).Admit(s.clock.Now(), r.call) })
	if !admitted {
		return nil
	}
	if effect, ok := s.takePending(h, r.call); ok {
		return []pool.Effect{effect}
	}
	return nil
}

// takePending removes and returns the call's pending engine call. ok is false if
// there is none, so concurrent callers start it only once.
func (s *Sidecar) takePending(h *table.HeldLocks, call contract.CallID) (effect pool.Effect, ok bool) {
	s.calls.With(h, keyOf(call), func(rows map[callKey]*runningCall) {
		r, found := rows[keyOf(call)]
		if !found || r.call != call || r.pending == nil {
			return
		}
		effect, ok = *r.pending, true
		r.pending = nil
	})
	return effect, ok
}

// dropPending removes a call whose grant was released before it was sent.
func (s *Sidecar) dropPending(h *table.HeldLocks, call contract.CallID) {
	if _, waited := s.takePending(h, call); !waited {
		return
	}
	s.calls.With(h, keyOf(call), func(rows map[callKey]*runningCall) { delete(rows, keyOf(call)) })
}

// progress measures the token rate of a call's output and reports it to the
// ledger. One goroutine uses it, the one that reads the output.
type progress struct {
	sidecar *Sidecar
	held    *table.HeldLocks
	call    contract.CallID
	limit   contract.Tokens

	// firstAt is when the first chunk arrived, firstNext the offset after it.
	firstAt   time.Time
	firstNext contract.Tokens
	// reported is the offset of the last report.
	reported contract.Tokens
}

// observe records a chunk. The first chunk shows that the KV transfer is complete
// and frees its window on the import link. Progress is reported every
// progressInterval tokens, and on each chunk close to the limit.
func (p *progress) observe(now time.Time, chunk contract.Chunk) {
	next := chunk.Offset + contract.Tokens(len(chunk.Texts))
	if p.firstAt.IsZero() {
		p.firstAt, p.firstNext = now, next
		p.sidecar.ledger.With(p.held, func(l **engine.Ledger) { (*l).ReleaseWindow(p.call) })
	} else if next < p.reported+progressInterval && next < p.limit-progressInterval {
		return
	}
	p.reported = next
	step := time.Duration(0)
	if next > p.firstNext {
		step = now.Sub(p.firstAt) / time.Duration(next-p.firstNext)
	}
	p.sidecar.ledger.With(p.held, func(l **engine.Ledger) { (*l).UpdateExpectedEnd(now, p.call, p.limit-next, step) })
}
