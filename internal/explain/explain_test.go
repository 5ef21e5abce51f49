package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// log holds lines of two gateways. "those before it" in a "for" field means that the request
// waits behind earlier ones.
const log = `   1.000 front-a {"@level":"info","@message":"upstream_changed","@module":"g","@timestamp":"2026-01-01T00:00:01.000000Z","change":"gone","upstream":"d1"}
not a log line
   2.000 front-b {"@level":"info","@message":"upstream_changed","@module":"g","@timestamp":"2026-01-01T00:00:02.000000Z","change":"joined","upstream":"d2"}
   2.100 front-a {"@level":"info","@message":"request_parked","@module":"g","@timestamp":"2026-01-01T00:00:02.100000Z","for":"room at a decode engine","patience_ms":600,"request":"r1"}
   2.200 front-a {"@level":"info","@message":"request_parked","@module":"g","@timestamp":"2026-01-01T00:00:02.200000Z","for":"those before it","patience_ms":600,"request":"r2"}
   2.700 front-a {"@level":"info","@message":"request_ended","@module":"g","@timestamp":"2026-01-01T00:00:02.700000Z","outcome":"over_capacity","ran":"no","request":"r1"}
   2.800 front-a {"@level":"warn","@message":"log_lines_dropped","@timestamp":"2026-01-01T00:00:02.800000Z","count":7}
   3.000 front-b {"@level":"info","@message":"request_admitted","@module":"g","@timestamp":"2026-01-01T00:00:03.000000Z","caller_waits_ms":4000,"request":"r3"}
   4.000 front-b {"@level":"info","@message":"request_ended","@module":"g","@timestamp":"2026-01-01T00:00:04.000000Z","outcome":"answered","request":"r3"}
   4.100 front-a {"@level":"info","@message":"request_admitted","@module":"g","@timestamp":"2026-01-01T00:00:04.100000Z","at":"2026-01-01T00:00:03.900000Z","caller_waits_ms":9000,"request":"r3"}
   4.100 front-a {"@level":"info","@message":"call_sent","@module":"g","@timestamp":"2026-01-01T00:00:04.100000Z","upstream":"s1","request":"r3"}
   5.500 front-a {"@level":"info","@message":"started","@module":"g","@timestamp":"2026-01-01T00:00:05.500000Z"}
   5.600 front-a {"@level":"info","@message":"attempt_failed","@module":"g","@timestamp":"2026-01-01T00:00:05.600000Z","upstream":"s1","request":"r4"}
   5.600 front-a {"@level":"info","@message":"request_ended","@module":"g","@timestamp":"2026-01-01T00:00:05.600000Z","outcome":"stream_broken","request":"r4"}
   5.700 front-a {"@level":"info","@message":"upstream_crashed","@module":"g","@timestamp":"2026-01-01T00:00:05.700000Z","upstream":"s1","request":"r4"}
   9.000 front-a {"@level":"info","@message":"draining","@module":"g","@timestamp":"2026-01-01T00:00:09.000000Z","running":1}
`

func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, request := range []string{"r1", "r2", "r3", "r4", "unknown"} {
		var out bytes.Buffer
		if err := Run(&out, request, []string{file}, false); err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(out.String(), filepath.Dir(file), "DIR")
		goldie.New(t).Assert(t, "explain_"+request, []byte(text))
	}
}

func TestMissingFile(t *testing.T) {
	if err := Run(&bytes.Buffer{}, "r1", []string{"absent.log"}, false); err == nil {
		t.Error("no error for a log file that does not exist")
	}
}
