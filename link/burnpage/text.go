// Package burnpage renders a service-level burn report as a text table, as JSON
// and as one HTML page with plots. The report itself is computed by contract/burn.
package burnpage

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
)

// absent is printed for a value that was not measured.
const absent = "-"

// allAccounts is printed as the account of a line about the whole route.
const allAccounts = "(all)"

// windowName formats a window in whole days, hours or minutes, such as 3d or 5m.
func windowName(d time.Duration) string {
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

func formatNumber(v *float64) string {
	if v == nil {
		return absent
	}
	return fmt.Sprintf("%.2f", *v)
}

func formatPercent(v *float64) string {
	if v == nil {
		return absent
	}
	return fmt.Sprintf("%.2f%%", 100**v)
}

func formatLatency(d time.Duration) string {
	if d == 0 {
		return absent
	}
	return d.Round(time.Millisecond).String()
}

func accountName(a contract.AccountID) string {
	if a == "" {
		return allAccounts
	}
	return string(a)
}

// Table writes the report as aligned text for a terminal. In the table of routes,
// served is the worst account's share of good requests, and wrongful (refusals) is
// always absent, since counts do not show it. The p95 columns hold the highest 95th
// percentile of any instance.
func Table(w io.Writer, r burn.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "route\taccount\tobjective\tbudget left")
	for _, window := range burn.Windows {
		_, _ = fmt.Fprintf(t, "\tburn %s", windowName(window))
	}
	_, _ = fmt.Fprintln(t, "\talert")
	for _, l := range r.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s", l.Route, accountName(l.Account), l.Objective, formatPercent(l.BudgetLeft))
		for _, b := range l.Burn {
			_, _ = fmt.Fprintf(t, "\t%s", formatNumber(b))
		}
		_, _ = fmt.Fprintf(t, "\t%s\n", l.Alert)
	}
	_, _ = fmt.Fprintln(t, "\nroute\tworst account\tserved\twasted prefill\tover rate\twrongful\tfirst token p95\tgap p95")
	for _, s := range r.Routes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.Route, s.Worst, formatPercent(s.WorstShare),
			formatPercent(s.WastedPrefill), s.RateRefused, absent, formatLatency(s.SlowestFirst), formatLatency(s.SlowestGap))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeNotes(w, r)
}

// writeNotes writes what the report does not cover: missing parts of a window and
// instances that could not be reached.
func writeNotes(w io.Writer, r burn.Report) error {
	// A gap is a part of a window for which an instance has no counts. The line says
	// for how much of the window it has some.
	for _, g := range r.Gaps {
		_, _ = fmt.Fprintf(w, "gap: %s knows %s of the last %s\n", g.Instance, g.Known.Round(time.Second), windowName(g.Window))
	}
	for _, s := range r.Unreachable {
		_, _ = fmt.Fprintf(w, "no answer: %s\n", s)
	}
	_, err := fmt.Fprintf(w, "%d instances\n", r.Instances)
	return err
}

// line is the JSON form of a burn.Line. Values not measured are null.
type line struct {
	Route      string              `json:"route"`
	Account    string              `json:"account"`
	Objective  string              `json:"objective"`
	BudgetLeft *float64            `json:"budget_left"`
	Burn       map[string]*float64 `json:"burn"`
	Alert      string              `json:"alert,omitempty"`
}

// summary is the JSON form of a route's summary. Values not measured are null.
type summary struct {
	Route           string   `json:"route"`
	WorstAccount    string   `json:"worst_account"`
	WorstServed     *float64 `json:"worst_served"`
	WastedPrefill   *float64 `json:"wasted_prefill"`
	RateRefused     uint32   `json:"rate_refused"`
	WrongfulRefused *uint32  `json:"wrongful_refusals"`
	FirstTokenP95   *float64 `json:"first_token_p95_ms"`
	GapP95          *float64 `json:"gap_p95_ms"`
}

// gap is the JSON form of a part of a window for which an instance has no data. It is
// unrelated to GapP95, the pause between tokens.
type gap struct {
	Instance     string  `json:"instance"`
	Window       string  `json:"window"`
	KnownSeconds float64 `json:"known_s"`
}

// JSON writes the report as one indented JSON object. Its key silent lists the
// unreachable instances.
func JSON(w io.Writer, r burn.Report) error {
	out := struct {
		At        time.Time `json:"at"`
		Instances int       `json:"instances"`
		Silent    []string  `json:"silent"`
		Lines     []line    `json:"lines"`
		Routes    []summary `json:"routes"`
		Gaps      []gap     `json:"gaps"`
	}{At: r.At.UTC(), Instances: r.Instances, Silent: r.Unreachable}
	for _, l := range r.Lines {
		burns := make(map[string]*float64)
		for i, window := range burn.Windows {
			burns[windowName(window)] = l.Burn[i]
		}
		out.Lines = append(out.Lines, line{string(l.Route), string(l.Account), l.Objective.String(), l.BudgetLeft, burns, l.Alert.String()})
	}
	for _, s := range r.Routes {
		out.Routes = append(out.Routes, summary{string(s.Route), string(s.Worst), s.WorstShare, s.WastedPrefill,
			s.RateRefused, s.WrongfulRefused, millisecondsOrNil(s.SlowestFirst), millisecondsOrNil(s.SlowestGap)})
	}
	for _, g := range r.Gaps {
		out.Gaps = append(out.Gaps, gap{g.Instance, windowName(g.Window), g.Known.Seconds()})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

func millisecondsOrNil(d time.Duration) *float64 {
	if d == 0 {
		return nil
	}
	ms := float64(d) / float64(time.Millisecond)
	return &ms
}
