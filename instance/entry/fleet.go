package entry

import (
	"cmp"
	"context"
	"slices"

	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// target is an instance that is asked.
type target struct {
	name string
	peer config.Peer
}

// asking is one question to many instances.
type asking struct {
	targets  []target
	outcomes chan heardBack
	// open holds the targets that have not answered.
	open    map[int]bool
	answers []operator.Answer
	silent  []operator.Silent
}

// heardBack is what came of asking one target.
type heardBack struct {
	target int
	answer operator.Answer
	err    error
}

// Ask implements operator.Fleet: every entry that is known or listed, and the
// sidecar of every upstream in the configuration.
func (e *Entry) Ask(ctx context.Context, q operator.Question) ([]operator.Answer, []operator.Silent) {
	h := table.NewHeld()
	a := &asking{targets: e.targets(h, q), open: make(map[int]bool)}
	a.outcomes = make(chan heardBack, len(a.targets))
	for i, t := range a.targets {
		a.open[i] = true
		e.pool.Start(pool.Effect{Lane: laneQuery, Perform: func(context.Context) pool.Step {
			answer, err := e.askInstance(ctx, t.peer, q)
			a.outcomes <- heardBack{i, answer, err}
			return nil
		}})
	}
	a.answers = append(a.answers, e.answerTo(h, q))
	a.collect(ctx)
	return a.answers, a.silent
}

// collect waits until all have answered or ctx ends.
func (a *asking) collect(ctx context.Context) {
	for len(a.open) > 0 && ctx.Err() == nil {
		select {
		case o := <-a.outcomes:
			a.take(o)
		case <-ctx.Done():
		}
	}
	for i := range a.open {
		a.silent = append(a.silent, operator.Silent{Instance: a.targets[i].name, Reason: "no answer in time"})
	}
	slices.SortFunc(a.silent, func(x, y operator.Silent) int { return cmp.Compare(x.Instance, y.Instance) })
}

func (a *asking) take(o heardBack) {
	delete(a.open, o.target)
	if o.err != nil {
		a.silent = append(a.silent, operator.Silent{Instance: a.targets[o.target].name, Reason: o.err.Error()})
		return
	}
	a.answers = append(a.answers, o.answer)
}

func (e *Entry) askInstance(ctx context.Context, to config.Peer, q operator.Question) (operator.Answer, error) {
	request := &peer.QueryRequest{Question: q}
	var reply *peer.QueryReply
	var err error
	if to.Kind == zone.KindSidecar {
		reply, err = e.peers.Sidecar(to.Addr).Query(ctx, request)
	} else {
		reply, err = e.peers.Entry(to.Addr).Query(ctx, request)
	}
	if err != nil {
		return operator.Answer{}, err
	}
	return reply.Answer, nil
}

// targets lists whom to ask. Requests and rates are known to entries alone.
func (e *Entry) targets(h *table.Held, q operator.Question) (targets []target) {
	now := e.clock.Now()
	e.members.With(h, func(m **members) {
		for _, member := range (*m).Members(now) {
			if member.Kind == zone.KindEntry && member.Addr != "" {
				targets = append(targets, target{member.Name, config.Peer{Kind: zone.KindEntry, Addr: member.Addr}})
			}
		}
	})
	if q.Requests || q.Rates {
		return targets
	}
	for id, u := range e.snapshot(h).Upstreams {
		if u.State != upstream.StateRetired {
			targets = append(targets, target{string(id), config.Peer{Kind: zone.KindSidecar, Addr: u.SidecarAddr}})
		}
	}
	return targets
}
