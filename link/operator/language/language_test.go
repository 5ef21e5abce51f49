package language_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/trefoilwalk/trefoilwalk/link/operator/language"
)

// lines holds every form of statement, and statements with each kind of error.
var lines = []string{
	`accounts`,
	`show keys where account = acme and withdrawn = false`,
	`requests where age > 2s and account != "big buyer" order by age desc, id limit 5`,
	`upstreams where zone = north-a and free_slots <= 2 and models ~ reader  # near full`,
	`revisions where at >= 2026-01-02T03:04:05Z`,
	`create account acme rate 1000 burst 2000 weight 2`,
	`set account acme burst 4000 --expect 12 --dry-run`,
	`create route read model pattern-reader first_token 380ms between_tokens 61ms timeout 2m patient true`,
	`create route desk service order-desk path /desk/ repeatable false cost 5 --wait 5s`,
	`set route desk open true`,
	`add upstream e1 role decode region north zone north-a address 10.0.0.7:7100 models reader,writer`,
	`set upstream e1 models reader`,
	`grant key to acme label "till 7"`,
	`grant key to account acme`,
	`withdraw key 0123abcd`,
	`delete key 0123abcd`,
	`delete account acme`,
	`drain upstream e1`,
	`resume upstream e1`,
	`retire upstream e1`,
	`delete upstream e1`,
	`delete route desk`,
	`role upstream e1 prefill`,
	`role upstream e1 to decode`,
	`load model reader version v2 on upstream e1`,
	`load model reader on e1`,
	``,
	`# nothing`,
	`acounts`,
	`drop account acme`,
	`accounts were name = x`,
	`accounts where`,
	`accounts where rat > 3`,
	`accounts where rate > many`,
	`accounts where rate 3`,
	`accounts order rate`,
	`accounts order by rates`,
	`accounts limit 0`,
	`accounts limit some`,
	`accounts accounts`,
	`create`,
	`create acount acme`,
	`create account`,
	`create account acme rate`,
	`create account acme rte 5`,
	`create account acme rate 5,6`,
	`create account acme rate 5 rate 6`,
	`create account acme rate fast`,
	`create route r timeout 5`,
	`create route r open yes`,
	`set account acme`,
	`withdraw key xyz`,
	`withdraw key 0123`,
	`role upstream e1 cook`,
	`drain e1`,
	`drain upstream e1 e2`,
	`drain upstream e1 --forse`,
	`drain upstream e1 --expect`,
	`drain upstream e1 --expect now`,
	`drain upstream e1 --dry-run yes`,
	`drain upstream e1 --wait 2h`,
	`drain upstream "e1`,
	`drain upstream e1; drain upstream e2`,
}

func TestParse(t *testing.T) {
	var b strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&b, "> %s\n", line)
		statement, err := language.Parse(line)
		var parseError *language.Error
		switch {
		case errors.As(err, &parseError):
			fmt.Fprintf(&b, "  %s^\n  %v\n", strings.Repeat(" ", parseError.Column-1), err)
		case err != nil:
			t.Errorf("%s: error of another type: %v", line, err)
		case statement.Query != nil:
			fmt.Fprintf(&b, "  %+v\n", *statement.Query)
		default:
			fmt.Fprintf(&b, "  %T %s %s\n", statement.Change, compact(t, statement.Change), compact(t, statement.Options))
		}
	}
	goldie.New(t).Assert(t, "parse", []byte(b.String()))
}

func compact(t *testing.T, v any) string {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestComplete(t *testing.T) {
	cases := []struct{ line, want string }{
		{"acc", "accounts"},
		{"cre", "create"},
		{"create ", "account route"},
		{"create account acme ra", "rate"},
		{"create account acme rate 5 ", "burst weight --expect --dry-run --wait"},
		{"create account acme rate ", ""},
		{"set upstream e1 role decode mod", "models"},
		{"drain upstream e1 --d", "--dry-run"},
		{"requests ", "where order limit"},
		{"requests where ac", "account"},
		{"requests where account = a and a", "account attempt age"},
		{"requests order ", "by"},
		{"requests order by age ", "asc desc limit"},
		{"show zon", "zones"},
	}
	for _, c := range cases {
		if _, got := language.Complete(c.line); strings.Join(got, " ") != c.want {
			t.Errorf("%q: %v, want %s", c.line, got, c.want)
		}
	}
}

// FuzzParse checks that Parse does not panic on any line, and that each error has
// a position in the line.
func FuzzParse(f *testing.F) {
	for _, line := range lines {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		statement, err := language.Parse(line)
		var parseError *language.Error
		if err != nil && (!errors.As(err, &parseError) || parseError.Column < 1) {
			t.Errorf("error without a position: %v", err)
		}
		if err == nil && (statement.Query == nil) == (statement.Change == nil) {
			t.Error("neither a query nor a change, or both")
		}
		language.Complete(line)
	})
}
