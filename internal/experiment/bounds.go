package experiment

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// cutWithin is how soon a caller sees that its entry was killed.
const cutWithin = time.Second

// granted is a request whose tokens were granted at some time between two.
type granted struct {
	from, to time.Time
	cost     contract.Tokens
}

// overRate finds the most tokens that any account was surely granted beyond rate
// and burst in any window.
func (r *run) overRate(m *Measures) {
	var over contract.Tokens
	for i, a := range r.fleet.Workload.Accounts {
		over = max(over, excess(r.grantsOf(i), a.Rate))
	}
	m.OverRate = pointer(int64(over))
}

// grantsOf gives the grants that an account used at engines: each was made after
// the request was sent and before an engine started on it.
func (r *run) grantsOf(account int) (grants []granted) {
	for _, o := range r.outcomes {
		p := o.plan
		if p.kind != kindModel || p.account != account || p.poison {
			continue
		}
		started, ok := r.observer.startOf(p.prompt)
		if !ok {
			continue
		}
		used := contract.EstimateTokens(p.prompt) + o.last().Usage.OutputTokens
		grants = append(grants, granted{o.sent, started, used})
	}
	return grants
}

// excess looks at each window that begins as a request is sent and ends as an
// engine starts on one. Only grants that lie wholly inside count, so that
// waiting between grant and start is never taken for a breach.
func excess(grants []granted, limit contract.Rate) (over contract.Tokens) {
	slices.SortFunc(grants, func(a, b granted) int { return a.to.Compare(b.to) })
	for _, first := range grants {
		var sum contract.Tokens
		for _, g := range grants {
			if g.from.Before(first.from) {
				continue
			}
			sum += g.cost
			window := g.to.Sub(first.from).Seconds()
			allowed := float64(limit.PerSecond)*window + float64(limit.Burst)
			over = max(over, sum-contract.Tokens(allowed))
		}
	}
	return max(0, over)
}

// orphans finds the longest that engine memory stayed held for a caller that had
// left by itself or whose entry was killed.
func (r *run) orphans(m *Measures) {
	now := time.Now()
	for _, o := range r.outcomes {
		left := o.left
		if left.IsZero() {
			left = r.cutOff(o)
		}
		if left.IsZero() || o.plan.kind != kindModel {
			continue
		}
		held := r.observer.heldUntil(o.plan.prompt, now).Sub(left)
		ms := float64(max(0, held)) / float64(time.Millisecond)
		if m.OrphanMSMax == nil || ms > *m.OrphanMSMax {
			m.OrphanMSMax = &ms
		}
	}
}

// cutOff gives when a request lost its entry; the zero time if it did not.
func (r *run) cutOff(o *outcome) time.Time {
	killedAt := r.events.killedAt
	last := o.tries[len(o.tries)-1]
	if killedAt.IsZero() || last.answer.Err == nil {
		return time.Time{}
	}
	// Its connection broke as the entry died.
	after := last.endedAt.Sub(killedAt)
	if o.sent.After(killedAt) || after < 0 || after > cutWithin {
		return time.Time{}
	}
	return killedAt
}

// withdrawn finds the last output that came under a key after its withdrawal.
func (r *run) withdrawn(m *Measures) {
	at := r.events.withdrawn
	if at.IsZero() {
		return
	}
	longest := time.Duration(0)
	for _, o := range r.outcomes {
		if o.plan.account == withdrawnIndex {
			longest = max(longest, o.last().LastToken.Sub(at))
		}
	}
	m.WithdrawnSMax = pointer(longest.Seconds())
}
