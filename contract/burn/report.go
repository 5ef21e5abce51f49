package burn

import (
	"errors"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Objective is one service level.
type Objective uint8

// The objectives of each route and client account.
const (
	FirstToken Objective = iota
	BetweenTokens
	NotRefused
)

// Objectives lists them all.
var Objectives = [...]Objective{FirstToken, BetweenTokens, NotRefused}

// String gives the word used in reports.
func (o Objective) String() string {
	return [...]string{"first token", "between tokens", "not refused"}[o]
}

// Goals are the shares of requests that must be good.
type Goals struct {
	Latency, NotRefused float64
}

// DefaultGoals are 95 in 100 within each latency target, and 999 in 1,000 not
// refused for a cause other than the account's rate.
var DefaultGoals = Goals{Latency: 0.95, NotRefused: 0.999}

// ErrGoal means that a goal is not a share under 1.
var ErrGoal = errors.New("burn: goals must be over 0 and under 1")

// Check says whether budgets can be worked out.
func (g Goals) Check() error {
	for _, share := range []float64{g.Latency, g.NotRefused} {
		if share <= 0 || share >= 1 {
			return ErrGoal
		}
	}
	return nil
}

// goal gives the share that must be good.
func (g Goals) goal(o Objective) float64 {
	if o == NotRefused {
		return g.NotRefused
	}
	return g.Latency
}

// judged gives the requests that an objective judges, and the bad ones of them.
func (o Objective) judged(c Counts) (all, bad uint32) {
	switch o {
	case FirstToken:
		return c.Answered, c.LateFirst
	case BetweenTokens:
		return c.Answered, c.LateGap
	default:
		return c.Asked - c.RateRefused, c.Refused - c.RateRefused
	}
}

// Severity says how urgent an alert is.
type Severity uint8

// The severities of alerts.
const (
	Quiet Severity = iota
	Ticket
	Page
)

// String gives the word used in reports.
func (s Severity) String() string {
	return [...]string{"", "ticket", "page"}[s]
}

// rule fires when the burn rate over both of two windows is at least the rate.
type rule struct {
	short, long int
	rate        float64
	severity    Severity
}

// rules are looked at in this order; the windows are indexes of Windows. A short
// window ends the alert soon after the burn ends.
var rules = []rule{
	{short: 0, long: 1, rate: 14.4, severity: Page},
	{short: 1, long: 2, rate: 6, severity: Page},
	{short: 2, long: 3, rate: 1, severity: Ticket},
}

// Line is one objective of one route and client account; no account means the
// whole route.
type Line struct {
	Route     contract.RouteName
	Account   contract.AccountID
	Objective Objective
	// Burn is, for each window, how many times as fast as allowed the budget is
	// used; nil when nothing was judged.
	Burn [len(Windows)]*float64
	// BudgetLeft is the share of the longest window's budget, negative when it
	// is overdrawn; nil when nothing was judged.
	BudgetLeft *float64
	Alert      Severity
}

// RouteSummary is what a route's callers got over the longest window.
type RouteSummary struct {
	Route contract.RouteName
	// Worst is the client account with the least share of good requests, and
	// WorstShare that share; nil when no request was judged.
	Worst      contract.AccountID
	WorstShare *float64
	// WastedPrefill is the share of prefill tokens run for nothing.
	WastedPrefill *float64
	// RateRefused counts refusals for the accounts' rates. Whether one was
	// wrongful can't be told from counts, so WrongfulRefused is always nil.
	RateRefused     uint32
	WrongfulRefused *uint32
	// SlowestFirst and SlowestGap are the greatest 95 in 100 of any instance.
	SlowestFirst, SlowestGap time.Duration
}

// Gap says that an instance knows only a part of a window.
type Gap struct {
	Instance string
	Window   time.Duration
	Known    time.Duration
}

// Report is the state of all service levels.
type Report struct {
	At        time.Time
	Instances int
	// Silent are the sources that gave nothing.
	Silent []string
	Lines  []Line
	Routes []RouteSummary
	Gaps   []Gap
}

// Evaluate turns what the instances told into a report.
func Evaluate(snapshots []Snapshot, silent []string, goals Goals) Report {
	report := Report{Instances: len(snapshots), Silent: silent}
	totals := make(map[Key]*Series)
	for _, s := range snapshots {
		if s.At.After(report.At) {
			report.At = s.At
		}
		report.Gaps = append(report.Gaps, gaps(s)...)
		for _, one := range s.Series {
			addTo(totals, one.Key, one)
			addTo(totals, Key{Route: one.Route}, one)
		}
	}
	keys := make([]Key, 0, len(totals))
	for key := range totals {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		for _, o := range Objectives {
			report.Lines = append(report.Lines, line(totals[key], o, goals.goal(o)))
		}
		if key.Account == "" {
			report.Routes = append(report.Routes, summary(key.Route, keys, totals, snapshots))
		}
	}
	return report
}

func addTo(totals map[Key]*Series, key Key, s Series) {
	t, ok := totals[key]
	if !ok {
		t = &Series{Key: key}
		totals[key] = t
	}
	for i := range s.Windows {
		t.Windows[i].Add(s.Windows[i])
	}
}

// gaps lists the windows that an instance has not seen the whole of.
func gaps(s Snapshot) (found []Gap) {
	known := s.At.Sub(s.Started)
	for _, window := range Windows {
		if known < window {
			found = append(found, Gap{Instance: s.Instance, Window: window, Known: known})
		}
	}
	return found
}

func line(s *Series, o Objective, goal float64) Line {
	l := Line{Route: s.Route, Account: s.Account, Objective: o}
	for i := range s.Windows {
		all, bad := o.judged(s.Windows[i])
		l.Burn[i] = over(share(bad, all), 1-goal)
	}
	if burned := l.Burn[len(Windows)-1]; burned != nil {
		left := 1 - *burned
		l.BudgetLeft = &left
	}
	l.Alert = alert(l.Burn)
	return l
}

// alert gives the severity of the first rule that fires.
func alert(burn [len(Windows)]*float64) Severity {
	for _, r := range rules {
		short, long := burn[r.short], burn[r.long]
		if short != nil && long != nil && *short >= r.rate && *long >= r.rate {
			return r.severity
		}
	}
	return Quiet
}

func share(part, whole uint32) *float64 {
	if whole == 0 {
		return nil
	}
	s := float64(part) / float64(whole)
	return &s
}

func over(value *float64, by float64) *float64 {
	if value == nil {
		return nil
	}
	v := *value / by
	return &v
}

// summary looks at the longest window of a route's accounts.
func summary(route contract.RouteName, keys []Key, totals map[Key]*Series, snapshots []Snapshot) RouteSummary {
	const longest = len(Windows) - 1
	r := RouteSummary{Route: route}
	for _, key := range keys {
		if key.Route != route || key.Account == "" {
			continue
		}
		good := goodShare(totals[key].Windows[longest])
		if good != nil && (r.WorstShare == nil || *good < *r.WorstShare) {
			r.Worst, r.WorstShare = key.Account, good
		}
	}
	c := totals[Key{Route: route}].Windows[longest]
	r.RateRefused = c.RateRefused
	if c.PrefillTokens > 0 {
		wasted := float64(c.WastedTokens) / float64(c.PrefillTokens)
		r.WastedPrefill = &wasted
	}
	for _, s := range snapshots {
		for _, l := range s.Latencies {
			if l.Route == route {
				r.SlowestFirst = max(r.SlowestFirst, l.FirstToken)
				r.SlowestGap = max(r.SlowestGap, l.Gap)
			}
		}
	}
	return r
}

// goodShare is the share of requests, those over the account's rate left out,
// that were answered with the first token in time.
func goodShare(c Counts) *float64 {
	all := c.Asked - c.RateRefused
	bad := c.Refused - c.RateRefused + c.LateFirst
	return share(all-min(bad, all), all)
}
