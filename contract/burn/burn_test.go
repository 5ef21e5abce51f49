package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

var start = time.Unix(1_000_000_800, 0)

// event returns one ended request of an account, with a first token after 1 s.
func event(account string, c Counts) Event {
	return Event{Key: Key{Route: "r", Account: contract.AccountID(account)}, Counts: c, FirstToken: time.Second}
}

func formatValue(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *v)
}

func TestBurn(t *testing.T) {
	good := Counts{Asked: 1, Answered: 1}
	late := Counts{Asked: 1, Answered: 1, LateFirst: 1}
	refused := Counts{Asked: 1, Refused: 1}
	overRate := Counts{Asked: 1, Refused: 1, RateRefused: 1}
	type batch struct {
		at time.Duration
		n  int
		c  Counts
	}
	cases := []struct {
		name      string
		batches   []batch
		now       time.Duration
		objective Objective
		burn      string
		budget    string
		alert     Severity
		gaps      int
	}{
		{"no burn rate without counted requests", []batch{{0, 1, refused}}, time.Minute, FirstToken, "- - - -", "-", NoAlert, 4},
		{"all in time", []batch{{0, 100, good}}, time.Minute, FirstToken, "0.00 0.00 0.00 0.00", "1.00", NoAlert, 4},
		{"a little over the budget", []batch{{0, 94, good}, {0, 6, late}}, time.Minute, FirstToken, "1.20 1.20 1.20 1.20", "-0.20", Ticket, 4},
		{"all late", []batch{{0, 10, late}}, time.Minute, FirstToken, "20.00 20.00 20.00 20.00", "-19.00", Page, 4},
		{"late before, now in time", []batch{{0, 10, late}, {50 * time.Minute, 10, good}}, 51 * time.Minute, FirstToken, "0.00 10.00 10.00 10.00", "-9.00", Page, 3},
		{"no data in the short windows 70 minutes after the requests", []batch{{0, 10, late}}, 70 * time.Minute, FirstToken, "- - 20.00 20.00", "-19.00", Ticket, 2},
		{"no data after the longest window", []batch{{0, 10, late}}, 80 * time.Hour, FirstToken, "- - - -", "-", NoAlert, 0},
		{"refusals over the rate do not count", []batch{{0, 10, good}, {0, 10, overRate}}, time.Minute, NotRefused, "0.00 0.00 0.00 0.00", "1.00", NoAlert, 4},
		{"refused", []batch{{0, 998, good}, {0, 2, refused}}, time.Minute, NotRefused, "2.00 2.00 2.00 2.00", "-1.00", Ticket, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder(start)
			for _, b := range c.batches {
				for range b.n {
					r.Record(start.Add(b.at), event("a", b.c))
				}
			}
			report := Evaluate([]Snapshot{r.Snapshot(start.Add(c.now), "i")}, nil, DefaultGoals)
			if len(report.Gaps) != c.gaps {
				t.Errorf("gaps %v, want %d", report.Gaps, c.gaps)
			}
			l := report.Lines[c.objective]
			got := ""
			for _, b := range l.Burn {
				got += " " + formatValue(b)
			}
			if got[1:] != c.burn || formatValue(l.BudgetLeft) != c.budget {
				t.Errorf("burn %s, budget %s; want %s, %s", got[1:], formatValue(l.BudgetLeft), c.burn, c.budget)
			}
			if l.Alert != c.alert {
				t.Errorf("alert %v, want %v", l.Alert, c.alert)
			}
		})
	}
}

func TestSeriesAreBounded(t *testing.T) {
	const more = 10
	r := NewRecorder(start)
	for i := range MaxSeries + more {
		r.Record(start, event(fmt.Sprint("a", i), Counts{Asked: 1}))
	}
	if len(r.series) != MaxSeries+1 {
		t.Errorf("%d series, want %d", len(r.series), MaxSeries+1)
	}
	if others := r.series[Key{Route: "r", Account: OtherAccounts}][0].sum(start, Windows[0]); others.Asked != more {
		t.Errorf("%d requests of others, want %d", others.Asked, more)
	}
}
