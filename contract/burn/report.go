package burn

import (
	"errors"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Objective is a service level objective.
type Objective uint8

// The objectives of each route and client account.
const (
	FirstToken Objective = iota
	BetweenTokens
	NotRefused
)

// Objectives lists all objectives in the order of a report's lines.
var Objectives = [...]Objective{FirstToken, BetweenTokens, NotRefused}

// String returns the name used in reports.
func (o Objective) String() string {
	return [...]string{"first token", "between tokens", "not refused"}[o]
}

// Goals are the shares of requests, over 0 and under 1, that must meet an
// objective. Latency applies to FirstToken and BetweenTokens.
type Goals struct {
	Latency, NotRefused float64
}

// DefaultGoals require 95 in 100 requests within each latency target and 999 in
// 1,000 not refused for a cause other than the account's rate.
var DefaultGoals = Goals{Latency: 0.95, NotRefused: 0.999}

// ErrGoal is returned for a goal outside the open interval (0, 1).
var ErrGoal = errors.New("burn: goals must be greater than 0 and less than 1")

// Validate returns ErrGoal unless all goals are over 0 and under 1; an error budget
// is undefined otherwise.
func (g Goals) Validate() error {
	for _, share := range []float64{g.Latency, g.NotRefused} {
		if share <= 0 || share >= 1 {
			return ErrGoal
		}
	}
	return nil
}

func (g Goals) goal(o Objective) float64 {
	if o == NotRefused {
		return g.NotRefused
	}
	return g.Latency
}

// totalAndBad returns the number of requests that count for the objective and the
// number of those that missed it. Refusals over the account's rate do not count.
func (o Objective) totalAndBad(c Counts) (total, bad uint32) {
	switch o {
	case FirstToken:
		return c.Answered, c.LateFirst
	case BetweenTokens:
		return c.Answered, c.LateGap
	default:
		return c.Asked - c.RateRefused, c.Refused - c.RateRefused
	}
}

// Severity is the urgency of an alert. The zero value is NoAlert.
type Severity uint8

// The severities of alerts.
const (
	NoAlert Severity = iota
	Ticket
	Page
)

// String returns the name used in reports; it is empty for NoAlert.
func (s Severity) String() string {
	return [...]string{"", "ticket", "page"}[s]
}

// alertRule fires when the burn rates over a short and a long window are both at
// least rate. Windows are given as indexes of Windows.
type alertRule struct {
	short, long int
	rate        float64
	severity    Severity
}

// alertRules are in order of precedence. The short window of a rule ends the
// alert soon after the burn rate drops.
var alertRules = []alertRule{
	{short: 0, long: 1, rate: 14.4, severity: Page},
	{short: 1, long: 2, rate: 6, severity: Page},
	{short: 2, long: 3, rate: 1, severity: Ticket},
}

// ObjectiveStatus is the state of one objective for one route and client account. An
// empty Account means the whole route.
type ObjectiveStatus struct {
	Route     contract.RouteName
	Account   contract.AccountID
	Objective Objective
	// Burn is the burn rate in each window: 1 uses up exactly the error budget.
	// It is nil if no request counted.
	Burn [len(Windows)]*float64
	// BudgetLeft is the unused share of the longest window's error budget,
	// negative if it is exceeded; nil if no request counted.
	BudgetLeft *float64
	Alert      Severity
}

// RouteSummary summarizes a route over the longest window.
type RouteSummary struct {
	Route contract.RouteName
	// Worst is the client account with the lowest share of good requests and
	// WorstShare is that share; nil if no request counted.
	Worst      contract.AccountID
	WorstShare *float64
	// WastedPrefill is the share of prefilled tokens that served no answer; nil
	// if none were prefilled.
	WastedPrefill *float64
	// RateRefused counts refusals over an account's rate. WrongfulRefused is
	// always nil, because counts do not show whether a refusal was wrongful; reports
	// show it as unknown.
	RateRefused     uint32
	WrongfulRefused *uint32
	// SlowestFirst and SlowestGap are the highest 95th percentiles of any
	// instance, since the instance started.
	SlowestFirst, SlowestGap time.Duration
}

// Gap reports missing data: the data of the instance covers only the time Known of
// the window. It is unrelated to gaps between tokens.
type Gap struct {
	Instance string
	Window   time.Duration
	Known    time.Duration
}

// Report is the state of all service level objectives.
type Report struct {
	At        time.Time
	Instances int
	// Unreachable lists the sources that returned no snapshot.
	Unreachable []string
	// Lines holds the state of each objective for each route and client account.
	Lines  []ObjectiveStatus
	Routes []RouteSummary
	Gaps   []Gap
}

// Evaluate computes the report from the instances' snapshots. unreachable lists the
// sources without one.
func Evaluate(snapshots []Snapshot, unreachable []string, goals Goals) Report {
	report := Report{Instances: len(snapshots), Unreachable: unreachable}
	totals := make(map[Key]*Series)
	for _, s := range snapshots {
		if s.At.After(report.At) {
			report.At = s.At
		}
		report.Gaps = append(report.Gaps, coverageGaps(s)...)
		for _, series := range s.Series {
			addTo(totals, series.Key, series)
			addTo(totals, Key{Route: series.Route}, series)
		}
	}
	keys := make([]Key, 0, len(totals))
	for key := range totals {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		for _, o := range Objectives {
			report.Lines = append(report.Lines, buildStatus(totals[key], o, goals.goal(o)))
		}
		if key.Account == "" {
			report.Routes = append(report.Routes, summarizeRoute(key.Route, keys, totals, snapshots))
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

// coverageGaps lists the windows that began before the instance started.
func coverageGaps(s Snapshot) (found []Gap) {
	known := s.At.Sub(s.Started)
	for _, window := range Windows {
		if known < window {
			found = append(found, Gap{Instance: s.Instance, Window: window, Known: known})
		}
	}
	return found
}

func buildStatus(s *Series, o Objective, goal float64) ObjectiveStatus {
	l := ObjectiveStatus{Route: s.Route, Account: s.Account, Objective: o}
	for i := range s.Windows {
		total, bad := o.totalAndBad(s.Windows[i])
		l.Burn[i] = divide(ratio(bad, total), 1-goal)
	}
	if burned := l.Burn[len(Windows)-1]; burned != nil {
		left := 1 - *burned
		l.BudgetLeft = &left
	}
	l.Alert = alertSeverity(l.Burn)
	return l
}

// alertSeverity returns the severity of the first rule that fires.
func alertSeverity(burn [len(Windows)]*float64) Severity {
	for _, r := range alertRules {
		short, long := burn[r.short], burn[r.long]
		if short != nil && long != nil && *short >= r.rate && *long >= r.rate {
			return r.severity
		}
	}
	return NoAlert
}

// ratio returns part / whole, nil if whole is 0.
func ratio(part, whole uint32) *float64 {
	if whole == 0 {
		return nil
	}
	s := float64(part) / float64(whole)
	return &s
}

// divide returns value / by, nil if value is nil.
func divide(value *float64, by float64) *float64 {
	if value == nil {
		return nil
	}
	v := *value / by
	return &v
}

// summarizeRoute builds the summary of a route from the counts of its accounts.
func summarizeRoute(route contract.RouteName, keys []Key, totals map[Key]*Series, snapshots []Snapshot) RouteSummary {
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

// goodShare returns the share of requests that were answered with the first token
// in time, not counting refusals over the account's rate.
func goodShare(c Counts) *float64 {
	total := c.Asked - c.RateRefused
	bad := c.Refused - c.RateRefused + c.LateFirst
	return ratio(total-min(bad, total), total)
}
