package experiment

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/load"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
)

// Measures holds the figures of one policy. A figure that was not measured is nil, null
// in JSON.
type Measures struct {
	Policy string `json:"policy"`
	// Offered counts all requests, WithinRate those that count for goodput, latencies
	// and refusals.
	Offered    int `json:"offered"`
	WithinRate int `json:"within_rate"`
	// Inside counts the requests disrupted by the fault: those that were at an entry when it was killed or cut off from
	// its callers. They do not count for WithinRate.
	Inside int `json:"inside"`
	// Goodput is the share of model requests within their account's rate that got a
	// complete, correct answer within both latency targets.
	Goodput *float64 `json:"goodput"`
	// WastedPrefill is the share of prefilled tokens that no engine imported.
	WastedPrefill *float64 `json:"wasted_prefill"`
	// WorstAccount is the lowest goodput of a client account.
	WorstAccount *float64 `json:"worst_account"`
	// WrongfulRefusals is the share of requests within rate that were refused.
	WrongfulRefusals *float64 `json:"wrongful_refusals"`
	// OverRate is the largest number of tokens that an account got beyond rate and
	// burst.
	OverRate *int64 `json:"over_rate"`
	// AnsweredTwice counts answers with two ends or with output after the end.
	AnsweredTwice *int `json:"answered_twice"`
	// RanTwice counts calls that must run at most once and ran more often.
	RanTwice *int `json:"ran_twice"`
	// FalseNotRun counts refusals that state "not run" of a request that ran.
	FalseNotRun *int `json:"false_not_run"`
	// Incomplete counts answers that ended normally with a wrong or partial text.
	Incomplete *int `json:"incomplete"`
	// KeysSeen counts requests at upstreams that contained a caller's key.
	KeysSeen *int `json:"keys_seen"`
	// OrphanMSMax is the longest time that engine memory stayed held after its caller
	// was gone, in milliseconds.
	OrphanMSMax *float64 `json:"orphan_ms_max"`
	// WithdrawnSMax is the time from the withdrawal of a key to the last output under
	// it, in seconds.
	WithdrawnSMax *float64 `json:"withdrawn_s_max"`
	// ConfigSMax is the time until the one change of the configuration was in force at all
	// entries, in seconds.
	ConfigSMax *float64 `json:"config_s_max"`
	// TTFTP95MS and ITLP95MS are the 95th percentiles of the time to the first token
	// and between tokens, in milliseconds.
	TTFTP95MS *float64 `json:"ttft_p95_ms"`
	ITLP95MS  *float64 `json:"itl_p95_ms"`
	// Refusals counts refusals within rate by code, and answers that broke off as
	// "broken".
	Refusals map[string]int `json:"refusals"`
	// Missed counts correct answers within rate by the latency target that they missed.
	Missed Missed `json:"missed"`
	// Second holds the counts that Goodput consists of; element i covers the requests that
	// arrived in second i of the load.
	Second []SecondCounts `json:"-"`
}

// Missed counts answers that missed a latency target.
type Missed struct {
	FirstToken    int `json:"first_token"`
	BetweenTokens int `json:"between_tokens"`
}

// SecondCounts counts the model requests within rate that arrived in one second, and
// those of them that count as good.
type SecondCounts struct {
	Sent, Good int
}

// Parameters of the latency histograms: the highest value, the significant digits, and the
// reported percentile.
const (
	highestMS = int64(10 * time.Minute / time.Millisecond)
	digits    = 3
	p95       = 95
)

// measure computes the figures of a finished run.
func measure(policy string, r *run) Measures {
	m := Measures{Policy: policy, Offered: len(r.outcomes), Refusals: make(map[string]int)}
	m.Second = make([]SecondCounts, int(r.options.Duration/time.Second)+1)
	r.goodput(&m)
	r.latencies(&m)
	r.measureWaste(&m)
	r.countViolations(&m)
	r.overRate(&m)
	r.orphans(&m)
	r.measureWithdrawal(&m)
	if propagation := r.events.configPropagation; propagation != nil {
		m.ConfigSMax = pointer(propagation.Seconds())
	}
	return m
}

func pointer[T any](value T) *T {
	return &value
}

// counted reports whether a request counts for goodput, latencies and refusals: it is
// within its rate, its caller does not leave, its key stays valid, it does not crash
// engines, and it is not inside the fault.
func (r *run) counted(o *outcome) bool {
	withdrawn := o.plan.account == withdrawnKeyAccount && !r.events.withdrawnAt.IsZero()
	return o.plan.within && o.plan.leaveAfter == 0 && !o.plan.poison && !withdrawn && !r.disruptedByFault(o)
}

// disruptedByFault reports whether a request was at an entry while that was cut off or killed.
func (r *run) disruptedByFault(o *outcome) bool {
	switch r.options.Fault {
	case FaultZoneQuiet:
		start := r.began.Add(r.options.faultStart())
		end := r.began.Add(r.options.faultEnd())
		ended := o.tries[len(o.tries)-1].endedAt
		return o.entry == r.fleet.Entries[quietZoneIndex] && o.sent.Before(end) && ended.After(start)
	case FaultEntryKilled:
		return !r.disconnectedAt(o).IsZero()
	default:
		return false
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// share returns part/all; nil if all is 0.
func share(part, all int) *float64 {
	if all == 0 {
		return nil
	}
	return pointer(float64(part) / float64(all))
}

func (r *run) goodput(m *Measures) {
	targets := r.fleet.Workload.Routes[0].Targets
	accounts := len(r.fleet.Workload.Accounts)
	sent, good := make([]int, accounts), make([]int, accounts)
	refused, all, allGood := 0, 0, 0
	for _, o := range r.outcomes {
		m.Inside += boolToInt(r.disruptedByFault(o))
		if !r.counted(o) {
			continue
		}
		m.WithinRate++
		a := o.last()
		if a.Refusal != nil {
			refused++
			m.Refusals[string(a.Refusal.Code)]++
		} else if !a.Whole {
			m.Refusals["broken"]++
		}
		if o.plan.kind != kindModel {
			continue
		}
		all++
		sent[o.plan.account]++
		second := &m.Second[int(o.plan.at/time.Second)]
		second.Sent++
		if a.Whole && a.Text == o.plan.expected() && m.Missed.checkTargets(a, targets) {
			allGood++
			good[o.plan.account]++
			second.Good++
		}
	}
	m.Goodput = share(allGood, all)
	m.WrongfulRefusals = share(refused, m.WithinRate)
	for i := range sent {
		if s := share(good[i], sent[i]); s != nil && (m.WorstAccount == nil || *s < *m.WorstAccount) {
			m.WorstAccount = s
		}
	}
}

// checkTargets reports whether an answer met both targets, and counts the targets it missed.
func (m *Missed) checkTargets(a *load.Answer, targets contract.LatencyTargets) bool {
	lateFirst := a.FirstToken > targets.FirstToken
	lateBetween := a.LongestGap > targets.BetweenTokens
	m.FirstToken += boolToInt(lateFirst)
	m.BetweenTokens += boolToInt(lateBetween)
	return !lateFirst && !lateBetween
}

func (r *run) latencies(m *Measures) {
	first := hdrhistogram.New(1, highestMS, digits)
	between := hdrhistogram.New(1, highestMS, digits)
	for _, o := range r.outcomes {
		a := o.last()
		if o.plan.kind != kindModel || !r.counted(o) || a.LastTokenAt.IsZero() {
			continue
		}
		_ = first.RecordValue(a.FirstToken.Milliseconds())
		for _, gap := range a.Gaps {
			_ = between.RecordValue(gap.Milliseconds())
		}
	}
	if first.TotalCount() > 0 {
		m.TTFTP95MS = pointer(float64(first.ValueAtPercentile(p95)))
	}
	if between.TotalCount() > 0 {
		m.ITLP95MS = pointer(float64(between.ValueAtPercentile(p95)))
	}
}

// measureWaste sets WastedPrefill and KeysSeen.
func (r *run) measureWaste(m *Measures) {
	var run, wasted contract.Tokens
	for _, e := range r.fleet.Engines {
		counts := e.Engine.Counts()
		run += counts.PrefillTokens
		wasted += counts.WastedTokens
	}
	m.WastedPrefill = share(int(wasted), int(run))
	m.KeysSeen = pointer(r.fleet.KeysSeen())
}

// countViolations counts violations of the guarantees to callers; each count should be 0.
func (r *run) countViolations(m *Measures) {
	var twice, ranTwice, falseNotRun, incomplete int
	for _, o := range r.outcomes {
		a := o.last()
		if a.EndMarkers > 1 || outputAfterEnd(o, a) {
			twice++
		}
		if o.plan.kind == kindOnce && r.observer.runs(o.plan.body) > 1 {
			ranTwice++
		}
		if r.wronglyNotRun(o) {
			falseNotRun++
		}
		if a.Whole && !correctAnswer(o, a) {
			incomplete++
		}
	}
	m.AnsweredTwice, m.RanTwice, m.FalseNotRun, m.Incomplete = &twice, &ranTwice, &falseNotRun, &incomplete
}

// outputAfterEnd reports whether output follows the complete answer.
func outputAfterEnd(o *outcome, a *load.Answer) bool {
	if o.plan.kind != kindModel || a.Refusal != nil {
		return false
	}
	expected := o.plan.expected()
	return len(a.Text) > len(expected) && strings.HasPrefix(a.Text, expected)
}

func correctAnswer(o *outcome, a *load.Answer) bool {
	if o.plan.kind == kindModel {
		return a.Text == o.plan.expected()
	}
	return a.Text == service.Expected(expectedCall(o.plan))
}

// wronglyNotRun reports whether a refusal stated "not run" although the request had run
// by then, or ran later without being sent again.
func (r *run) wronglyNotRun(o *outcome) bool {
	for i, t := range o.tries {
		refusal := t.answer.Refusal
		if refusal == nil || refusal.Ran != contract.RanNo.String() {
			continue
		}
		if o.plan.kind == kindModel {
			return r.observer.requestRan(t.answer.Request)
		}
		final := i == len(o.tries)-1
		if t.runs > 0 || (final && r.observer.runs(o.plan.body) > 0) {
			return true
		}
	}
	return false
}
