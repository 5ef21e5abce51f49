package sidecar

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// grantOnce lets an attempt that may not be repeated be sent here, once. The
// place that was reserved for it is given back if it gets no grant.
func (s *Sidecar) grantOnce(h *table.Held, q *peer.ReserveRequest) (refusal *contract.Refusal) {
	s.witness.With(h, func(w **claim.Witness) { refusal = (*w).Grant(s.clock.Now(), q.Call, q.ClaimKey) })
	if refusal != nil {
		s.release(h, q.Call)
	}
	return refusal
}

// sendOnce uses up the grant of an attempt.
func (s *Sidecar) sendOnce(h *table.Held, call contract.CallID) (refusal *contract.Refusal) {
	s.witness.With(h, func(w **claim.Witness) { refusal = (*w).Send(s.clock.Now(), call) })
	return refusal
}

// finishOnce remembers how an attempt ended.
func (s *Sidecar) finishOnce(h *table.Held, call contract.CallID, answer contract.ServiceAnswer, refusal *contract.Refusal) {
	s.witness.With(h, func(w **claim.Witness) { (*w).Finish(s.clock.Now(), call, answer, refusal) })
}

// tellFate answers what became of an attempt, or of a claim's attempts.
func (s *Sidecar) tellFate(h *table.Held, q *peer.ServiceRequest) *peer.ServiceReply {
	reply := &peer.ServiceReply{Header: s.header()}
	s.witness.With(h, func(w **claim.Witness) {
		now := s.clock.Now()
		if q.AskKey {
			reply.Fate, reply.Answer, reply.Dropped = (*w).AskKey(now, q.ClaimKey, q.Call.Request)
			return
		}
		reply.Fate, reply.Answer, reply.Dropped = (*w).Ask(now, q.Call)
	})
	reply.Load = s.load(h)
	return reply
}
