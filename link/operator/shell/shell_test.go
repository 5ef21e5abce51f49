package shell

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sebdah/goldie/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/operator/client"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// fixedClock always returns the same time; its timers are real.
type fixedClock struct{ clock.System }

func (fixedClock) Now() time.Time { return time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC) }

// node is the instance that serves the API.
type node struct {
	mu         sync.Mutex
	replicator *config.Replicator
}

func (n *node) Snapshot() *config.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replicator.Current()
}

func (n *node) Offer(loaded config.Loaded) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicator.InstallSnapshot(loaded.Snapshot)
}

// fleet is one entry with the revision of the node, one sidecar that lags by two
// revisions and one instance that does not respond.
type fleet struct{ node *node }

func (f fleet) QueryAll(_ context.Context, q operator.Question) ([]operator.Answer, []operator.MissingInstance) {
	revision := f.node.Snapshot().Revision
	entry := operator.Answer{Instance: operator.InstanceRow{Name: "en1", Kind: "entry", State: "serving", Place: zone.Place{Region: "north", Zone: "north-a"}, Revision: revision, Running: 2}}
	sidecar := operator.Answer{Instance: operator.InstanceRow{Name: "e1", Kind: "sidecar", State: "serving", Place: zone.Place{Region: "north", Zone: "north-a"}, Revision: max(revision, 2) - 2, Running: 1}}
	if q.Requests {
		entry.Requests = []operator.RequestRow{
			{ID: "r1", Account: "acme", Route: "read", State: "decoding", Upstream: "e1", Zone: "north-a", Entry: "en1", Attempt: 1, Age: 1500 * time.Millisecond},
			{ID: "r2", Account: "zeta", Route: "read", State: "queued", Entry: "en1", Age: 20 * time.Millisecond},
		}
	}
	if q.Loads {
		sidecar.Loads = []upstream.Load{{Upstream: "e1", Slots: 20, FreeSlots: 3, Blocks: 400, FreeBlocks: 60}}
	}
	if q.Rates {
		entry.Rates = []operator.RateRow{{Account: "acme", Entry: "en1", InHand: 700, Cap: 1000, Waiting: 4}}
	}
	return []operator.Answer{entry, sidecar}, []operator.MissingInstance{{Instance: "e2", Reason: "timeout"}}
}

const script = `
create account acme rate 1000 burst 2000
create account acme rate 1000 burst 2000
create account zeta rate 5 burst 5 --dry-run
create account zeta rate 5 burst 5 --expect 7
create account zeta rate 0 burst 5
create account zeta rate 5 burst 5 weight 3
grant key to acme label "till 7"
grant key to nobody
add upstream e1 role decode region north zone north-a address 10.0.0.7:7100 models reader
load model writer version v2 on e1
create route read model reader timeout 2m first_token 380ms
set route read between_tokens 61ms --wait 1ms
role upstream e1 prefill
retire upstream e1
drain upstream e1
drain upstream e1
accounts
accounts where rate > 5
accounts order by rate desc limit 1
keys
routes
upstreams
requests where age > 1s
rates
instances
zones
revisions where by = asha order by revision limit 3
withdraw key 0000000000
accounts where nme = acme
`

var (
	secrets = regexp.MustCompile(`tw_[0-9a-f]{64}`)
	hashes  = regexp.MustCompile(`\b[0-9a-f]{8}([0-9a-f]{8})?\b`)
)

// start serves the API over a store and returns a shell that uses the key, with
// its output.
func start(t *testing.T, p *memplatform.Platform, n *node, key string) (*Shell, *strings.Builder) {
	t.Helper()
	service := operator.NewService(configstore.New(p.Table, p.Objects), n, fleet{n}, fixedClock{})
	server := httptest.NewServer(api.NewHandler(api.Options{
		Service: service,
		Operators: []api.Operator{
			{Name: "asha", Key: contract.HashKey("write-key"), Role: api.RoleWrite},
			{Name: "ravi", Key: contract.HashKey("read-key"), Role: api.RoleRead},
		},
		Ready: func() (bool, string) { return true, "" },
		Log:   hclog.NewNullLogger(),
	}))
	t.Cleanup(server.Close)
	out := &strings.Builder{}
	return &Shell{Runner: client.New(server.URL, key, http.DefaultTransport), Out: out, Err: out, Format: FormatTable}, out
}

func TestScript(t *testing.T) {
	n := &node{replicator: config.NewReplicator(0)}
	s, out := start(t, memplatform.New(), n, "write-key")
	for line := range strings.Lines(strings.TrimPrefix(script, "\n")) {
		_, _ = fmt.Fprintf(out, "> %s", line)
		if code := s.RunLine(t.Context(), strings.TrimSpace(line)); code != ExitOK {
			_, _ = fmt.Fprintf(out, "exit %d\n", code)
		}
	}
	shown := out.String()
	if key := secrets.FindString(shown); strings.Count(shown, key) != 1 || key == "" {
		t.Errorf("the key is shown %d times", strings.Count(shown, key))
	} else if _, refusal := n.Snapshot().Authenticate(key); refusal != nil {
		t.Errorf("the key that was shown does not work: %v", refusal)
	}
	shown = secrets.ReplaceAllString(shown, "KEY")
	shown = hashes.ReplaceAllString(shown, "HASH")
	goldie.New(t).Assert(t, "script", []byte(shown))
}

func TestExitCodes(t *testing.T) {
	const create = "create account acme rate 1 burst 1"
	cases := []struct {
		name     string
		key      string
		faults   func(p *memplatform.Platform)
		run      func(ctx context.Context, s *Shell) int
		code     int
		contains string
		stored   contract.Revision
	}{
		{"query with a read-only key", "read-key", nil, line("accounts"), ExitOK, "NAME", 0},
		{"command with a read-only key", "read-key", nil, line(create), ExitRefused, "forbidden", 0},
		{"unknown key", "nobody", nil, line("accounts"), ExitRefused, "unauthenticated", 0},
		{"lost store response is read back", "write-key", func(p *memplatform.Platform) { p.Store.LoseAnswers(1) }, line(create), ExitOK, "revision 1", 1},
		{"store down", "write-key", func(p *memplatform.Platform) { p.Store.SetDown(true) }, line(create), ExitRefused, "not_accepted", 0},
		{"store down, query", "write-key", func(p *memplatform.Platform) { p.Store.SetDown(true) }, line("accounts"), ExitOK, "NAME", 0},
		{"lagging", "write-key", nil, line(create + " --wait 1ms"), ExitLagging, "not in force at e2", 1},
		{"file stops at an error", "write-key", nil, file(create+"\n"+create+"\n"+create, false), ExitRefused, "exists", 1},
		{"file with a syntax error runs nothing", "write-key", nil, file(create+"\ncreat", false), ExitRefused, "line 2: column 1", 0},
		{"atomic file", "write-key", nil, file(create+"\n# more\ngrant key to acme", true), ExitOK, "KEY", 1},
		{"atomic file is all or nothing", "write-key", nil, file(create+"\n"+create, true), ExitRefused, "exists", 0},
		{"query among commands", "write-key", nil, file(create+"\naccounts", true), ExitRefused, "malformed", 0},
		{"nothing listens", "write-key", nil, func(ctx context.Context, s *Shell) int {
			s.Runner = client.New("http://127.0.0.1:1", "k", http.DefaultTransport)
			return s.RunLine(ctx, create)
		}, ExitRefused, "not sent", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := memplatform.New()
			if c.faults != nil {
				c.faults(p)
			}
			s, out := start(t, p, &node{replicator: config.NewReplicator(0)}, c.key)
			code := c.run(t.Context(), s)
			shown := secrets.ReplaceAllString(out.String(), "KEY")
			if code != c.code || !strings.Contains(shown, c.contains) {
				t.Errorf("exit %d, want %d: %s", code, c.code, shown)
			}
			p.Store.SetDown(false)
			loaded, err := configstore.New(p.Table, p.Objects).Load(t.Context(), config.EmptySnapshot())
			if err != nil || loaded.Snapshot.Revision != c.stored {
				t.Errorf("stored revision %d, want %d (%v)", loaded.Snapshot.Revision, c.stored, err)
			}
		})
	}
}

func line(statement string) func(context.Context, *Shell) int {
	return func(ctx context.Context, s *Shell) int { return s.RunLine(ctx, statement) }
}

func file(text string, atomic bool) func(context.Context, *Shell) int {
	return func(ctx context.Context, s *Shell) int { return s.RunFile(ctx, strings.NewReader(text), atomic) }
}

func TestReadSettings(t *testing.T) {
	cases := []struct{ name, text, contains string }{
		{"good", "address = \"127.0.0.1:7200\"\nkey_file = \"key\"", ""},
		{"unknown key", "address = \"127.0.0.1:7200\"\nkey_file = \"key\"\nadress = \"\"", "adress: there is no such setting"},
		{"host name", "address = \"entry:7200\"\nkey_file = \"key\"", "address: must be an IP number"},
		{"no key", "address = \"127.0.0.1:7200\"", "key_file: must name"},
		{"not TOML", "address", "expected"},
	}
	for _, c := range cases {
		name := filepath.Join(t.TempDir(), "ctl.toml")
		if err := os.WriteFile(name, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadSettings(name)
		if (err == nil) != (c.contains == "") || (err != nil && !strings.Contains(err.Error(), c.contains)) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestHelp(t *testing.T) {
	out := &strings.Builder{}
	s := &Shell{Out: out, Err: out}
	s.runInteractive(t.Context(), wordHelp)
	goldie.New(t).Assert(t, "help", []byte(out.String()))
	suffixes, length := completer{}.Do([]rune("create acc"), len("create acc"))
	if len(suffixes) != 1 || string(suffixes[0]) != "ount " || length != 3 {
		t.Errorf("completion %q, %d", suffixes, length)
	}
}
