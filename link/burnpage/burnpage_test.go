package burnpage

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/link/burnstats"
)

// debugVars returns the /debug/vars response of one entry that started 20 minutes
// ago and has an account with late first tokens.
func debugVars(t *testing.T) string {
	t.Helper()
	start := time.Unix(1_000_000_800, 0).UTC()
	r := burn.NewRecorder(start)
	for i := range 40 {
		for _, account := range []contract.AccountID{"franchise-1", "franchise-2"} {
			e := burn.Event{Key: burn.Key{Route: "summary", Account: account}, FirstToken: 200 * time.Millisecond, LongestGap: 40 * time.Millisecond}
			e.Counts = burn.Counts{Asked: 1, Answered: 1, PrefillTokens: 1000}
			if account == "franchise-2" && i%4 == 0 {
				e.LateFirst, e.FirstToken, e.WastedTokens = 1, time.Second, 100
			}
			r.Record(start.Add(time.Duration(i)*30*time.Second), e)
		}
	}
	r.Record(start.Add(time.Minute), burn.Event{Key: burn.Key{Route: "ledger", Account: "franchise-1"}, Counts: burn.Counts{Asked: 1, Refused: 1, RateRefused: 1}})
	encoded, err := json.Marshal(map[string]any{"burn": map[string]any{"entry-a.1": r.Snapshot(start.Add(20*time.Minute), "entry-a.1")}})
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// TestReport compares the three formats with golden files.
func TestReport(t *testing.T) {
	snapshots, err := burnstats.DecodeJSON(strings.NewReader(debugVars(t)))
	if err != nil {
		t.Fatal(err)
	}
	report := burn.Evaluate(snapshots, []string{"http://entry-b: no route"}, burn.DefaultGoals)
	g := goldie.New(t)
	for name, write := range map[string]func(io.Writer, burn.Report) error{"table": Table, "json": JSON, "html": HTML} {
		var out bytes.Buffer
		if err := write(&out, report); err != nil {
			t.Fatal(err)
		}
		g.Assert(t, name, out.Bytes())
	}
}

// TestDecodeRejectsOtherInput checks that input without burn snapshots is an error
// and not an empty report.
func TestDecodeRejectsOtherInput(t *testing.T) {
	for _, body := range []string{"", "[]", `{"cmdline":[]}`, `{"burn":7}`} {
		if _, err := burnstats.DecodeJSON(strings.NewReader(body)); !errors.Is(err, burnstats.ErrMalformed) {
			t.Errorf("%q: %v", body, err)
		}
	}
}
