package experiment

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// disconnectWithin bounds the time from the kill of an entry until its callers' requests
// fail.
const disconnectWithin = time.Second

// grant is a request whose tokens were granted at an unknown time between from and to.
type grant struct {
	from, to time.Time
	cost     contract.Tokens
}

// overRate sets the largest number of tokens that an account was certainly granted
// beyond rate and burst in any window.
func (r *run) overRate(m *Measures) {
	var over contract.Tokens
	for i, a := range r.fleet.Workload.Accounts {
		over = max(over, excess(r.accountGrants(i), a.Rate))
	}
	m.OverRate = pointer(int64(over))
}

// accountGrants returns the grants that an account used at engines. Each was made after the
// request was sent and before an engine started it.
func (r *run) accountGrants(account int) (grants []grant) {
	for _, o := range r.outcomes {
		p := o.plan
		if p.kind != kindModel || p.account != account || p.poison {
			continue
		}
		started, ok := r.observer.startedAt(p.prompt)
		if !ok {
			continue
		}
		used := contract.EstimateTokens(p.prompt) + o.last().Usage.OutputTokens
		grants = append(grants, grant{o.sent, started, used})
	}
	return grants
}

// excess returns the largest number of tokens beyond limit over all windows that begin
// when a request is sent and end when an engine starts one. Only grants that lie wholly
// inside a window count, so that a wait between grant and start is never counted as a
// breach. It sorts grants.
func excess(grants []grant, limit contract.Rate) (over contract.Tokens) {
	slices.SortFunc(grants, func(a, b grant) int { return a.to.Compare(b.to) })
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

// orphans sets the longest time that engine memory stayed held after the caller left or
// its entry was killed.
func (r *run) orphans(m *Measures) {
	now := time.Now()
	for _, o := range r.outcomes {
		left := o.leftAt
		if left.IsZero() {
			left = r.disconnectedAt(o)
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

// disconnectedAt returns when a request lost its connection because its entry was
// killed; the zero time if it did not.
func (r *run) disconnectedAt(o *outcome) time.Time {
	killedAt := r.events.killedAt
	last := o.tries[len(o.tries)-1]
	if killedAt.IsZero() || last.answer.Err == nil {
		return time.Time{}
	}
	// A failure within disconnectWithin of the kill counts as caused by it.
	after := last.endedAt.Sub(killedAt)
	if o.sent.After(killedAt) || after < 0 || after > disconnectWithin {
		return time.Time{}
	}
	return killedAt
}

// measureWithdrawal sets the time from the withdrawal of a key to the last output under it; 0 if
// none came later. It sets nothing if no key was withdrawn.
func (r *run) measureWithdrawal(m *Measures) {
	at := r.events.withdrawnAt
	if at.IsZero() {
		return
	}
	longest := time.Duration(0)
	for _, o := range r.outcomes {
		if o.plan.account == withdrawnKeyAccount {
			longest = max(longest, o.last().LastTokenAt.Sub(at))
		}
	}
	m.WithdrawnSMax = pointer(longest.Seconds())
}
