package sidecar

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Query implements peer.Sidecar.
func (s *Sidecar) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return ask(ctx, s, func(h *table.HeldLocks, answer func(*peer.QueryReply)) []pool.Effect {
		reply := &peer.QueryReply{Header: s.header()}
		reply.Answer.Instance = s.describe(h)
		if q.Question.Loads {
			reply.Answer.Loads = []upstream.Load{s.load(h)}
		}
		answer(reply)
		return nil
	})
}

// describe builds this process's row in the operators' list of instances.
func (s *Sidecar) describe(h *table.HeldLocks) operator.InstanceRow {
	return operator.InstanceRow{
		Name:     string(s.self.Name),
		Kind:     "sidecar",
		State:    s.life.State().String(),
		Place:    s.self.Place,
		Revision: contract.Revision(s.revision.Load()),
		Started:  time.Unix(0, int64(s.self.Incarnation)),
		Running:  s.calls.Len(h),
	}
}

// draining reports whether the process is draining or has ended.
func (s *Sidecar) draining() bool {
	return s.life.State() >= instance.Draining
}
