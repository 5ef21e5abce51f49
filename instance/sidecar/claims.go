package sidecar

import (
	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/claim"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// grantSend grants one send of a non-repeatable attempt. If the grant is refused,
// the attempt's reservation is released.
func (s *Sidecar) grantSend(h *table.HeldLocks, q *peer.ReserveRequest) (refusal *contract.Refusal) {
	s.claims.With(h, func(w **claim.Witness) { refusal = (*w).Grant(s.clock.Now(), q.Call, q.ClaimKey) })
	if refusal != nil {
		s.release(h, q.Call)
	}
	return refusal
}

// useSendGrant consumes an attempt's grant. It refuses an attempt whose grant is
// missing, expired or already used.
func (s *Sidecar) useSendGrant(h *table.HeldLocks, call contract.CallID) (refusal *contract.Refusal) {
	s.claims.With(h, func(w **claim.Witness) { refusal = (*w).Send(s.clock.Now(), call) })
	return refusal
}

// recordOutcome records an attempt's outcome for later AskOnly requests.
func (s *Sidecar) recordOutcome(h *table.HeldLocks, call contract.CallID, answer contract.ServiceAnswer, refusal *contract.Refusal) {
	s.claims.With(h, func(w **claim.Witness) { (*w).Finish(s.clock.Now(), call, answer, refusal) })
}

// attemptOutcome returns the recorded outcome of one attempt or, with AskKey, of the
// claim's attempts from other requests.
func (s *Sidecar) attemptOutcome(h *table.HeldLocks, q *peer.ServiceRequest) *peer.ServiceReply {
	reply := &peer.ServiceReply{Header: s.header()}
	s.claims.With(h, func(w **claim.Witness) {
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
