package sidecar

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// progressEvery is how many tokens of a call pass between two notes of its
// progress in the ledger.
const progressEvery contract.Tokens = 4

// startDecode sends a call to the engine, or keeps it until the place that it
// was granted ahead is free.
func (s *Sidecar) startDecode(h *table.Held, r *running, effect pool.Effect) []pool.Effect {
	s.calls.With(h, keyOf(r.call), func(map[callKey]*running) { r.waiting = &effect })
	admitted := false
	s.ledger.With(h, func(l **engine.Ledger) { admitted = (*l).Admit(s.clock.Now(), r.call) })
	if !admitted {
		return nil
	}
	if effect, ok := s.takeWaiting(h, r.call); ok {
		return []pool.Effect{effect}
	}
	return nil
}

// takeWaiting gives the call to the engine that waited, once.
func (s *Sidecar) takeWaiting(h *table.Held, call contract.CallID) (effect pool.Effect, ok bool) {
	s.calls.With(h, keyOf(call), func(rows map[callKey]*running) {
		r, there := rows[keyOf(call)]
		if !there || r.call != call || r.waiting == nil {
			return
		}
		effect, ok = *r.waiting, true
		r.waiting = nil
	})
	return effect, ok
}

// dropWaiting forgets a call that was given back before it was sent.
func (s *Sidecar) dropWaiting(h *table.Held, call contract.CallID) {
	if _, waited := s.takeWaiting(h, call); !waited {
		return
	}
	s.calls.With(h, keyOf(call), func(rows map[callKey]*running) { delete(rows, keyOf(call)) })
}

// pace follows how fast a call's tokens come.
type pace struct {
	sidecar *Sidecar
	held    *table.Held
	call    contract.CallID
	limit   contract.Tokens

	first      time.Time
	firstToken contract.Tokens
	noted      contract.Tokens
}

// took takes in a piece of output and tells the ledger of the progress from time
// to time.
func (p *pace) took(now time.Time, chunk contract.Chunk) {
	next := chunk.Offset + contract.Tokens(len(chunk.Texts))
	if p.first.IsZero() {
		p.first, p.firstToken = now, next
		p.sidecar.ledger.With(p.held, func(l **engine.Ledger) { (*l).Transferred(p.call) })
	} else if next < p.noted+progressEvery && next < p.limit-progressEvery {
		return
	}
	p.noted = next
	step := time.Duration(0)
	if next > p.firstToken {
		step = now.Sub(p.first) / time.Duration(next-p.firstToken)
	}
	p.sidecar.ledger.With(p.held, func(l **engine.Ledger) { (*l).Progress(now, p.call, p.limit-next, step) })
}
