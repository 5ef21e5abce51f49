package shell

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Format is the output format of responses.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// render writes a response in a format.
func render(w io.Writer, format Format, response *wire.Response) error {
	switch {
	case format == FormatJSON:
		return json.NewEncoder(w).Encode(response)
	case response.Table != nil:
		return renderTable(w, response.Table)
	case response.Change != nil:
		return renderChange(w, response.Change)
	default:
		return nil
	}
}

func renderTable(w io.Writer, t *wire.Table) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	headings := make([]string, 0, len(t.Columns))
	for _, c := range t.Columns {
		headings = append(headings, strings.ToUpper(c.Name))
	}
	_, _ = fmt.Fprintln(tabs, strings.Join(headings, "\t"))
	for _, row := range t.Rows {
		cells := make([]string, 0, len(row))
		for i, cell := range row {
			cells = append(cells, cellText(t.Columns[i].Type, cell))
		}
		_, _ = fmt.Fprintln(tabs, strings.Join(cells, "\t"))
	}
	if err := tabs.Flush(); err != nil {
		return err
	}
	if t.Total > len(t.Rows) {
		_, _ = fmt.Fprintf(w, "%d of %d rows\n", len(t.Rows), t.Total)
	}
	for _, s := range t.Silent {
		_, _ = fmt.Fprintf(w, "no answer from %s: %s\n", s.Instance, s.Reason)
	}
	return nil
}

// cellText formats a cell of a column type. An empty string becomes a dash, so that
// columns stay separable by spaces.
func cellText(columnType string, cell any) string {
	number, isNumber := cell.(json.Number)
	if isNumber && columnType == operator.Duration.String() {
		ms, err := number.Float64()
		if err != nil {
			return number.String()
		}
		return time.Duration(ms * float64(time.Millisecond)).Round(time.Microsecond).String()
	}
	if formatted := fmt.Sprint(cell); formatted != "" {
		return formatted
	}
	return "-"
}

func renderChange(w io.Writer, c *wire.Change) error {
	outcome := "accepted as"
	if c.DryRun {
		outcome = "would become"
	}
	if _, err := fmt.Fprintf(w, "%s revision %d\n", outcome, c.Revision); err != nil {
		return err
	}
	for _, d := range c.Differences {
		_, _ = fmt.Fprint(w, differenceText(d))
	}
	for _, key := range c.GrantedKeys {
		_, _ = fmt.Fprintf(w, "key, shown this once: %s\n", key)
	}
	if c.InForce != nil && *c.InForce && c.TookMS != nil {
		_, _ = fmt.Fprintf(w, "in force everywhere after %d ms\n", *c.TookMS)
	}
	for _, s := range c.Lagging {
		_, _ = fmt.Fprintf(w, "not in force at %s: %s\n", s.Instance, s.Reason)
	}
	return nil
}

func differenceText(d wire.Difference) string {
	var b strings.Builder
	if d.Before != "" {
		fmt.Fprintf(&b, "- %s\n", d.Before)
	}
	if d.After != "" {
		fmt.Fprintf(&b, "+ %s\n", d.After)
	}
	return b.String()
}
