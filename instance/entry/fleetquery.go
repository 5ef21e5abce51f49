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

// target is an instance that a query is sent to.
type target struct {
	name string
	peer config.Peer
}

// fleetQuery is a query sent to many instances.
type fleetQuery struct {
	targets  []target
	outcomes chan queryOutcome
	// pending holds the indexes of the targets that have not answered.
	pending map[int]bool
	answers []operator.Answer
	missing []operator.MissingInstance
}

// queryOutcome is the answer or error of one target, given by its index.
type queryOutcome struct {
	target int
	answer operator.Answer
	err    error
}

// QueryAll implements operator.Fleet. It queries every other entry that is known or
// listed and the sidecar of every upstream in the configuration, and adds the answer
// of this entry. Instances that fail or do not answer before ctx ends are returned
// as missing.
func (e *Entry) QueryAll(ctx context.Context, q operator.Question) ([]operator.Answer, []operator.MissingInstance) {
	h := table.NewHeldLocks()
	f := &fleetQuery{targets: e.targets(h, q), pending: make(map[int]bool)}
	f.outcomes = make(chan queryOutcome, len(f.targets))
	for i, t := range f.targets {
		f.pending[i] = true
		e.pool.StartEffects(pool.Effect{Lane: laneQuery, Perform: func(context.Context) pool.Step {
			answer, err := e.askInstance(ctx, t.peer, q)
			f.outcomes <- queryOutcome{i, answer, err}
			return nil
		}})
	}
	f.answers = append(f.answers, e.localAnswer(h, q))
	f.collect(ctx)
	return f.answers, f.missing
}

// collect waits until all targets have answered or ctx ends.
func (f *fleetQuery) collect(ctx context.Context) {
	for len(f.pending) > 0 && ctx.Err() == nil {
		select {
		case o := <-f.outcomes:
			f.record(o)
		case <-ctx.Done():
		}
	}
	for i := range f.pending {
		f.missing = append(f.missing, operator.MissingInstance{Instance: f.targets[i].name, Reason: "no answer in time"})
	}
	slices.SortFunc(f.missing, func(x, y operator.MissingInstance) int { return cmp.Compare(x.Instance, y.Instance) })
}

func (f *fleetQuery) record(o queryOutcome) {
	delete(f.pending, o.target)
	if o.err != nil {
		f.missing = append(f.missing, operator.MissingInstance{Instance: f.targets[o.target].name, Reason: o.err.Error()})
		return
	}
	f.answers = append(f.answers, o.answer)
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

// targets lists the instances to query. Only entries hold requests and rates.
func (e *Entry) targets(h *table.HeldLocks, q operator.Question) (targets []target) {
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
