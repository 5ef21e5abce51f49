package sidecar

import (
	"context"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Reserve implements peer.Sidecar. With Once set, it also grants one send of a
// non-repeatable attempt.
func (s *Sidecar) Reserve(ctx context.Context, q *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.ReserveReply)) []pool.Effect {
		answer(s.reserve(h, q))
		return nil
	})
}

func (s *Sidecar) reserve(h *table.HeldLocks, q *peer.ReserveRequest) *peer.ReserveReply {
	s.learnQuarantine(h, q.Header)
	reply := &peer.ReserveReply{Header: s.header()}
	reply.Refusal = s.refuseNewWork(h, q.Fingerprint)
	if reply.Refusal == nil {
		var grant engine.Grant
		s.ledger.With(h, func(l **engine.Ledger) {
			grant, reply.Refusal = (*l).Reserve(s.clock.Now(), engine.Ask{
				Call:         q.Call,
				Owner:        q.From,
				Account:      q.Account,
				Fingerprint:  q.Fingerprint,
				Blocks:       q.Blocks,
				ImportBlocks: q.ImportBlocks,
				Priority:     q.Priority,
				ReadyIn:      q.ReadyIn,
			})
		})
		if reply.Refusal == nil && q.Once {
			reply.Refusal = s.grantSend(h, q)
		}
		reply.WindowIn = grant.WindowIn
		reply.Lease = grant.Lease
	}
	reply.Load = s.load(h)
	return reply
}

// refuseNewWork returns a refusal if the process is draining, or if the request is
// quarantined or conflicts with another suspect; otherwise nil.
func (s *Sidecar) refuseNewWork(h *table.HeldLocks, fp contract.Fingerprint) *contract.Refusal {
	if s.life.State() == instance.Serving {
		return s.refuseSuspect(h, fp)
	}
	return contract.RefuseRetryable(contract.CodeDraining, 0, "the upstream takes no new work")
}

// Cancel implements peer.Sidecar. It replies before the engine has freed the calls'
// memory; unknown calls are ignored.
func (s *Sidecar) Cancel(ctx context.Context, q *peer.CancelRequest) (*peer.CancelReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.CancelReply)) []pool.Effect {
		for _, call := range q.Calls {
			s.closeStream(h, q.From.Name, call)
		}
		effects := s.abort(h, q.Calls)
		answer(&peer.CancelReply{Header: s.header(), Load: s.load(h)})
		return effects
	})
}
