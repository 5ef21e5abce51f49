package entry

import (
	"context"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/instance/pool"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Query implements peer.Entry.
func (e *Entry) Query(ctx context.Context, q *peer.QueryRequest) (*peer.QueryReply, error) {
	return pool.Ask(ctx, e.pool, func(h *table.HeldLocks, answer func(*peer.QueryReply)) []pool.Effect {
		answer(&peer.QueryReply{Header: e.header(h), Answer: e.localAnswer(h, q.Question)})
		return nil
	})
}

// localAnswer returns this entry's part of the answer to an operator's query.
func (e *Entry) localAnswer(h *table.HeldLocks, q operator.Question) operator.Answer {
	answer := operator.Answer{Instance: operator.InstanceRow{
		Name:     string(e.self.Name),
		Kind:     kindEntry,
		State:    e.life.State().String(),
		Place:    e.self.Place,
		Revision: e.snapshot(h).Revision,
		Started:  time.Unix(0, int64(e.self.Incarnation)),
		Running:  int(e.running.Load()),
	}}
	if q.Requests {
		answer.Requests = e.requestRows(h)
	}
	if q.Rates {
		answer.Rates = e.rateRows(h)
	}
	return answer
}

// rateRows lists the entry's token holdings by account; nil if the rate policy
// does not report them.
func (e *Entry) rateRows(h *table.HeldLocks) (rows []operator.RateRow) {
	now := e.clock.Now()
	e.rates.With(h, func(p *rate.Policy) {
		reporter, ok := (*p).(rate.Reporter)
		if !ok {
			return
		}
		for _, held := range reporter.Holdings(now) {
			rows = append(rows, operator.RateRow{
				Account: held.Account,
				Entry:   string(e.self.Name),
				InHand:  held.InHand,
				Cap:     held.Cap,
				Waiting: held.Waiting,
			})
		}
	})
	return rows
}

// requestRows lists the requests that run or wait at this entry.
func (e *Entry) requestRows(h *table.HeldLocks) (rows []operator.RequestRow) {
	now := e.clock.Now()
	upstreams := e.snapshot(h).Upstreams
	e.requests.Each(h, func(running map[contract.RequestID]*request) {
		for _, r := range running {
			row := operator.RequestRow{
				ID:      r.ID,
				Account: r.Account,
				Route:   r.Route.Name,
				State:   r.state.String(),
				Entry:   string(e.self.Name),
				Attempt: r.attempt,
				Age:     now.Sub(r.Arrived),
			}
			row.Upstream = r.currentUpstream()
			row.Zone = upstreams[row.Upstream].Place.Zone
			rows = append(rows, row)
		}
	})
	return rows
}

// currentUpstream returns the upstream that runs the prefill, or the one that is
// reserved for or runs the decode; empty if there is none.
func (r *request) currentUpstream() upstream.ID {
	switch {
	case r.state == statePrefilling && r.prefill != nil:
		return r.prefill.ID
	case r.decode != nil:
		return r.decode.ID
	default:
		return ""
	}
}

// Snapshot implements operator.Node.
func (e *Entry) Snapshot() *config.Snapshot {
	return e.snapshot(table.NewHeldLocks())
}

// Offer implements operator.Node. It installs a configuration that is newer than
// the current one.
func (e *Entry) Offer(loaded config.Loaded) {
	e.pool.StartEffects(e.install(table.NewHeldLocks(), loaded)...)
}
