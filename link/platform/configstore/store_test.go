package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// operator applies changes to its own copy of the configuration, as an entry does.
type operator struct {
	store *configstore.Store
	have  *config.Snapshot
	name  string
}

func newOperator(p *memplatform.Platform, name string) *operator {
	return &operator{store: configstore.New(p.Table, p.Objects), have: config.EmptySnapshot(), name: name}
}

func createAccount(name string) config.Command {
	return config.CreateAccount{Account: contract.ClientAccount{
		ID: contract.AccountID(name), Rate: contract.Rate{PerSecond: 1, Burst: 1}, Weight: 1}}
}

func (o *operator) change(ctx context.Context, cmd config.Command) error {
	at := time.Now().UTC()
	next, err := config.Apply(o.have, cmd, o.name, at)
	if err != nil {
		return err
	}
	err = o.store.Commit(ctx, o.have, config.Change{Revision: next.Revision, By: o.name, At: at, Command: cmd})
	if err == nil {
		o.have = next
	}
	return err
}

func (o *operator) load(t *testing.T) config.Loaded {
	t.Helper()
	loaded, err := o.store.Load(t.Context(), o.have)
	if err != nil {
		t.Fatal(err)
	}
	o.have = loaded.Snapshot
	return loaded
}

func TestCommitFaults(t *testing.T) {
	conflict := &config.ConflictError{}
	cases := []struct {
		name   string
		faults func(p *memplatform.Platform)
		// want is the expected error; stored is whether the change must be
		// stored once the fault is over.
		want   error
		stored bool
	}{
		{"no fault", func(*memplatform.Platform) {}, nil, true},
		{"response lost", func(p *memplatform.Platform) { p.Store.LoseAnswers(1) }, nil, true},
		{"request lost", func(p *memplatform.Platform) { p.Store.LoseRequests(1) }, nil, true},
		{"requests and then response lost", func(p *memplatform.Platform) { p.Store.LoseRequests(2); p.Store.LoseAnswers(1) }, nil, true},
		{"store down", func(p *memplatform.Platform) { p.Store.SetDown(true) }, config.ErrNotAccepted, false},
		{"all requests lost", func(p *memplatform.Platform) { p.Store.LoseRequests(memplatform.Always) }, config.ErrOutcomeUnknown, false},
		{"response lost, then down", func(p *memplatform.Platform) {
			p.Store.LoseAnswers(1)
			p.Store.SetSlow(500 * time.Millisecond)
			time.AfterFunc(800*time.Millisecond, func() { p.Store.SetDown(true) })
		}, config.ErrOutcomeUnknown, true},
		{"slower than its timeout", func(p *memplatform.Platform) {
			p.Store.SetSlow(1900 * time.Millisecond)
			time.AfterFunc(time.Second, func() { p.Store.SetSlow(3 * time.Second) })
			time.AfterFunc(7*time.Second, func() { p.Store.SetSlow(0) })
		}, nil, true},
		{"other operator committed first", func(p *memplatform.Platform) {
			if err := newOperator(p, "other").change(context.Background(), createAccount("theirs")); err != nil {
				panic(err)
			}
		}, conflict, false},
		{"other operator between read and write", func(p *memplatform.Platform) {
			p.Store.SetSlow(100 * time.Millisecond)
			go func() { _ = newOperator(p, "other").change(context.Background(), createAccount("theirs")) }()
			time.Sleep(50 * time.Millisecond)
		}, conflict, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := memplatform.New()
				c.faults(p)
				err := newOperator(p, "op").change(t.Context(), createAccount("mine"))
				var got *config.ConflictError
				switch {
				case c.want == conflict && !errors.As(err, &got):
					t.Fatalf("got %v, want a conflict", err)
				case c.want == conflict && (got.Winner != 1 || got.By != "other"):
					t.Errorf("conflict names %d by %s", got.Winner, got.By)
				case c.want != conflict && !errors.Is(err, c.want):
					t.Fatalf("got %v, want %v", err, c.want)
				}
				p.Store.SetDown(false)
				p.Store.SetSlow(0)
				p.Store.LoseRequests(0)
				time.Sleep(time.Minute)
				_, stored := newOperator(p, "reader").load(t).Snapshot.Accounts["mine"]
				if stored != c.stored {
					t.Errorf("change stored: %v, want %v", stored, c.stored)
				}
			})
		})
	}
}

// TestRacingOperators has operators change the configuration concurrently while
// store responses are lost. Each revision must have one winner, and every change
// that was reported as accepted must be stored.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operators, rounds = 5, 40
		p := memplatform.New()
		p.Store.SetSlow(10 * time.Millisecond)
		var mu sync.Mutex
		accepted := make(map[contract.AccountID]bool)
		var done sync.WaitGroup
		for i := range operators {
			done.Go(func() {
				o := newOperator(p, fmt.Sprint("op", i))
				for round := range rounds {
					if round%7 == i {
						p.Store.LoseAnswers(1)
					}
					name := fmt.Sprintf("a%d-%d", i, round)
					err := o.change(t.Context(), createAccount(name))
					var conflict *config.ConflictError
					switch {
					case err == nil:
						mu.Lock()
						accepted[contract.AccountID(name)] = true
						mu.Unlock()
					case errors.As(err, &conflict):
						o.load(t)
					default:
						t.Errorf("%s: %v", name, err)
					}
				}
			})
		}
		done.Wait()
		last := newOperator(p, "reader").load(t).Snapshot
		if len(last.Accounts) != len(accepted) || int(last.Revision) != len(accepted) || len(accepted) < rounds {
			t.Errorf("%d accounts, revision %d, %d accepted", len(last.Accounts), last.Revision, len(accepted))
		}
		for name := range accepted {
			if _, ok := last.Accounts[name]; !ok {
				t.Errorf("accepted change of %s was lost", name)
			}
		}
	})
}

func TestLogStaysShort(t *testing.T) {
	cases := []struct {
		name string
		// downFrom and downTo bound the changes during which the object store
		// is down; the table keeps working.
		downFrom, downTo int
		maxRows          int
	}{
		{"no fault", 0, 0, 2*configstore.SnapshotEvery + 1},
		{"object store down", 50, 250, 200 + 2*configstore.SnapshotEvery + 1},
	}
	const changes = 600
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, objects := memplatform.New(), &memplatform.Faults{}
			p.Objects = memplatform.NewObjects(objects)
			o := newOperator(p, "op")
			late := newOperator(p, "late")
			for i := 1; i <= changes; i++ {
				objects.SetDown(i >= c.downFrom && i < c.downTo)
				if err := o.change(t.Context(), createAccount(fmt.Sprint("a", i))); err != nil {
					t.Fatal(err)
				}
				rows, _ := p.Table.Scan(t.Context(), "config/log/", "", changes)
				if len(rows) > c.maxRows {
					t.Fatalf("%d rows in the log after %d changes", len(rows), i)
				}
				if i%50 == 0 && !reflect.DeepEqual(late.load(t).Snapshot, o.have) {
					t.Fatalf("after %d changes the late reader has another configuration", i)
				}
			}
			fresh := newOperator(p, "fresh").load(t)
			if !reflect.DeepEqual(fresh.Snapshot, o.have) || fresh.Changes != nil {
				t.Error("a new reader has another configuration")
			}
			if names, _ := p.Objects.List(t.Context(), "config/snapshot/"); len(names) > 2 {
				t.Errorf("%d snapshots are kept", len(names))
			}
			audit, err := o.store.Audit(t.Context(), 0, changes)
			if err != nil || len(audit) != changes {
				t.Fatalf("audit has %d lines: %v", len(audit), err)
			}
			for i, change := range audit {
				if change.Revision != contract.Revision(changes-i) || change.By != "op" {
					t.Fatalf("line %d of the audit is %+v", i, change)
				}
			}
			if part, err := o.store.Audit(t.Context(), 120, 10); err != nil || len(part) != 10 || part[0].Revision != 120 {
				t.Errorf("part of the audit: %d lines, %v", len(part), err)
			}
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	good, err := configcodec.Encode(config.EmptySnapshot())
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{"empty": nil, "text": []byte("hello"), "cut": good[:len(good)-3]}
	for name, data := range cases {
		if err := configcodec.Decode(data, &config.Snapshot{}); !errors.Is(err, configcodec.ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// BenchmarkStored reports the encoded sizes with 9,700 accounts and 4,800
// upstreams.
func BenchmarkStored(b *testing.B) {
	s := config.EmptySnapshot()
	for i := range 9700 {
		a := contract.ClientAccount{ID: contract.AccountID(fmt.Sprint("account-", i)), Rate: contract.Rate{PerSecond: 100, Burst: 1000}, Weight: 1}
		s.Accounts[a.ID] = a
		hash := contract.HashKey(string(a.ID))
		s.Keys[hash] = contract.Key{Hash: hash, Account: a.ID, Label: "main"}
	}
	for i := range 4800 {
		id := upstream.ID(fmt.Sprint("engine-", i))
		s.Upstreams[id] = upstream.Upstream{ID: id, Place: zone.Place{Region: "north", Zone: "north-a"},
			Role: upstream.RoleDecode, State: upstream.StateServing, Models: []contract.ModelName{"model-one"}, SidecarAddr: "10.20.30.40:7100"}
	}
	for name, value := range map[string]any{"snapshot": s, "change": config.Change{Revision: 9, By: "op", At: time.Unix(0, 0), Command: createAccount("a")}} {
		b.Run(name, func(b *testing.B) {
			var body []byte
			for b.Loop() {
				var err error
				if body, err = configcodec.Encode(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}
