package config_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func account(name string) contract.ClientAccount {
	return contract.ClientAccount{ID: contract.AccountID(name), Rate: contract.Rate{PerSecond: 10, Burst: 20}, Weight: 1}
}

func engine(name string) upstream.Upstream {
	return upstream.Upstream{
		ID: upstream.ID(name), Place: zone.Place{Region: "north", Zone: "a"}, Role: upstream.RoleDecode,
		Models: []contract.ModelName{"m"}, SidecarAddr: "127.0.0.1:7100",
	}
}

func modelRoute(name, model string) contract.Route {
	return contract.Route{Name: contract.RouteName(name), Kind: contract.RouteModel, Model: contract.ModelName(model), Timeout: time.Second}
}

func serviceRoute(name, path string) contract.Route {
	return contract.Route{Name: contract.RouteName(name), Kind: contract.RouteService, Service: "desk", PathPrefix: path, Timeout: time.Second}
}

var firstKey, secondKey = contract.HashKey("first"), contract.HashKey("second")

// baseSnapshot returns a snapshot with objects of each kind; upstream "old" is
// retired and secondKey withdrawn.
func baseSnapshot(t testing.TB) *config.Snapshot {
	t.Helper()
	next, err := config.Apply(config.EmptySnapshot(), config.Batch{Commands: []config.Command{
		config.CreateAccount{Account: account("acme")},
		config.CreateAccount{Account: account("idle")},
		config.GrantKey{Hash: firstKey, Account: "acme", Label: "till"},
		config.GrantKey{Hash: secondKey, Account: "acme"},
		config.WithdrawKey{Hash: secondKey},
		config.CreateRoute{Route: modelRoute("chat", "m")},
		config.CreateRoute{Route: serviceRoute("desk", "/desk/")},
		config.AddUpstream{Upstream: engine("e1")},
		config.AddUpstream{Upstream: engine("old")},
		config.ChangeState{ID: "old", State: upstream.StateDraining},
		config.ChangeState{ID: "old", State: upstream.StateRetired},
	}}, "root", start)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// with returns a modified copy of value.
func with[V any](value V, change func(*V)) V {
	change(&value)
	return value
}

func TestCommands(t *testing.T) {
	invalid, missing, exists, state := &config.InvalidError{}, &config.NotFoundError{}, &config.ExistsError{}, &config.StateError{}
	cases := []struct {
		cmd  config.Command
		want error
	}{
		{config.CreateAccount{Account: account("new")}, nil},
		{config.CreateAccount{Account: account("acme")}, exists},
		{config.CreateAccount{Account: account("-x")}, invalid},
		{config.CreateAccount{Account: account("a b")}, invalid},
		{config.CreateAccount{Account: with(account("x"), func(a *contract.ClientAccount) { a.Weight = 0 })}, invalid},
		{config.SetAccount{Account: with(account("acme"), func(a *contract.ClientAccount) { a.Rate.Burst = 0 })}, invalid},
		{config.SetAccount{Account: with(account("acme"), func(a *contract.ClientAccount) { a.Rate.PerSecond = -1 })}, invalid},
		{config.SetAccount{Account: account("nobody")}, missing},
		{config.DeleteAccount{ID: "acme"}, state},
		{config.DeleteAccount{ID: "idle"}, nil},
		{config.GrantKey{Hash: contract.HashKey("3"), Account: "acme"}, nil},
		{config.GrantKey{Hash: contract.HashKey("3"), Account: "nobody"}, missing},
		{config.GrantKey{Hash: firstKey, Account: "idle"}, exists},
		{config.WithdrawKey{Hash: firstKey}, nil},
		{config.WithdrawKey{Hash: secondKey}, state},
		{config.WithdrawKey{Hash: contract.HashKey("3")}, missing},
		{config.DeleteKey{Hash: firstKey}, state},
		{config.DeleteKey{Hash: secondKey}, nil},
		{config.CreateRoute{Route: modelRoute("other", "m")}, invalid},
		{config.CreateRoute{Route: modelRoute("other", "m2")}, nil},
		{config.CreateRoute{Route: serviceRoute("other", "/desk/")}, invalid},
		{config.CreateRoute{Route: serviceRoute("other", "/v1/x/")}, invalid},
		{config.CreateRoute{Route: serviceRoute("other", "desk")}, invalid},
		{config.CreateRoute{Route: contract.Route{Name: "none", Timeout: time.Second}}, invalid},
		{config.SetRoute{Route: with(modelRoute("chat", "m"), func(r *contract.Route) { r.Timeout = 0 })}, invalid},
		{config.SetRoute{Route: modelRoute("none", "m")}, missing},
		{config.DeleteRoute{Name: "chat"}, nil},
		{config.AddUpstream{Upstream: engine("e1")}, exists},
		{config.AddUpstream{Upstream: engine("old")}, nil},
		{config.AddUpstream{Upstream: with(engine("e2"), func(u *upstream.Upstream) { u.SidecarAddr = "host:1" })}, invalid},
		{config.AddUpstream{Upstream: with(engine("e2"), func(u *upstream.Upstream) { u.Role = upstream.RoleService })}, invalid},
		{config.SetUpstream{Upstream: engine("old")}, state},
		{config.ChangeState{ID: "e1", State: upstream.StateRetired}, state},
		{config.ChangeState{ID: "e1", State: upstream.StateServing}, state},
		{config.ChangeState{ID: "e1", State: upstream.StateDraining}, nil},
		{config.ChangeRole{ID: "e1", Role: upstream.RolePrefill}, nil},
		{config.ChangeRole{ID: "e1", Role: upstream.RoleService}, invalid},
		{config.LoadModel{ID: "e1", Model: "m2"}, nil},
		{config.LoadModel{ID: "e9", Model: "m2"}, missing},
		{config.DeleteUpstream{ID: "e1"}, state},
		{config.DeleteUpstream{ID: "old"}, nil},
		{config.Batch{Commands: []config.Command{config.DeleteRoute{Name: "chat"}, config.DeleteRoute{Name: "chat"}}}, missing},
	}
	for _, c := range cases {
		t.Run(c.cmd.String(), func(t *testing.T) {
			before, untouched := baseSnapshot(t), baseSnapshot(t)
			next, err := config.Apply(before, c.cmd, "op", start)
			if !reflect.DeepEqual(before, untouched) {
				t.Fatal("Apply modified the old snapshot")
			}
			if c.want != nil {
				if next != nil || !sameKind(err, c.want) {
					t.Fatalf("got %v, want a %T", err, c.want)
				}
				return
			}
			if err != nil || next.Revision != before.Revision+1 || len(config.Diff(before, next)) == 0 {
				t.Fatalf("error %v, next snapshot %+v; want no error, the next revision and a difference", err, next)
			}
		})
	}
}

func sameKind(err, want error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		if reflect.TypeOf(err) == reflect.TypeOf(want) {
			return true
		}
	}
	return false
}

func TestWithdrawnKeysOverSeveralRevisions(t *testing.T) {
	first := baseSnapshot(t)
	if got := config.InvalidatedKeys(config.EmptySnapshot(), first); len(got) != 0 {
		t.Errorf("from the empty snapshot: %v", got)
	}
	last, err := config.Apply(first, config.Batch{Commands: []config.Command{
		config.WithdrawKey{Hash: firstKey}, config.DeleteAccount{ID: "acme"}}}, "op", start)
	if err != nil {
		t.Fatal(err)
	}
	if got := config.InvalidatedKeys(first, last); len(got) != 1 || got[0] != firstKey {
		t.Errorf("withdrawn %v, want the first key only", got)
	}
}

// chain returns the snapshots of revisions 0 to n and the changes between them.
func chain(t testing.TB, n int) (snapshots []*config.Snapshot, changes []config.Change) {
	t.Helper()
	snapshots = append(snapshots, config.EmptySnapshot())
	for i := 1; i <= n; i++ {
		cmd := config.CreateAccount{Account: account(fmt.Sprint("a", i))}
		next, err := config.Apply(snapshots[i-1], cmd, "op", start)
		if err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, next)
		changes = append(changes, config.Change{Revision: next.Revision, By: "op", At: start, Command: cmd})
	}
	return snapshots, changes
}

func TestReplicatorRevisionNeverDecreases(t *testing.T) {
	snapshots, changes := chain(t, 10)
	s := config.NewReplicator(0)
	steps := []struct {
		name  string
		offer func() bool
		want  contract.Revision
	}{
		{"snapshot", func() bool { _, changed := s.InstallSnapshot(snapshots[3]); return changed }, 3},
		{"older snapshot", func() bool { _, changed := s.InstallSnapshot(snapshots[2]); return changed }, 3},
		{"nil snapshot", func() bool { _, changed := s.InstallSnapshot(nil); return changed }, 3},
		{"overlapping changes", func() bool { _, changed, _ := s.ApplyChanges(changes[1:6]); return changed }, 6},
		{"old changes", func() bool { _, changed, _ := s.ApplyChanges(changes[:4]); return changed }, 6},
		{"changes with a gap", func() bool { _, _, ok := s.ApplyChanges(changes[8:]); return ok }, 6},
		{"remaining changes", func() bool { _, changed, _ := s.ApplyChanges(changes[6:]); return changed }, 10},
	}
	for _, step := range steps {
		before := s.Current().Revision
		if got := step.offer(); got != (step.want > before) {
			t.Errorf("%s: got %v, want true only if the revision rises", step.name, got)
		}
		if got := s.Current().Revision; got != step.want {
			t.Fatalf("%s: revision %d, want %d", step.name, got, step.want)
		}
	}
	if !reflect.DeepEqual(s.Current(), snapshots[10]) {
		t.Error("replayed changes differ from the applied commands")
	}
	if got, ok := s.ChangesSince(5); !ok || len(got) != 5 || got[0].Revision != 6 {
		t.Errorf("ChangesSince(5) returned %v, ok %v; want the 5 changes from revision 6 on", got, ok)
	}
	if _, ok := s.ChangesSince(2); ok {
		t.Error("returned changes from before the history")
	}
}

// TestReplicatorFetchOrder checks that fetches alternate between the known sources and
// the store, one at a time with backoff, and stop once the revision is current.
func TestReplicatorFetchOrder(t *testing.T) {
	snapshots, _ := chain(t, 9)
	s := config.NewReplicator(2 * time.Second)
	now := start
	poll := s.DueFetches(now)
	if len(poll) != 1 || !poll[0].Poll {
		t.Fatalf("no initial poll of the store: %v", poll)
	}
	p1, p2 := config.Peer{Kind: zone.KindEntry, Addr: "p1"}, config.Peer{Kind: zone.KindSidecar, Addr: "p2"}
	s.ObserveRevision(now, 5, p1)
	s.ObserveRevision(now, 4, config.Peer{Addr: "late"})
	s.ObserveRevision(now, 5, p2)
	var asked []config.Peer
	for range 4 {
		due := s.DueFetches(now)
		if len(due) != 1 || len(s.DueFetches(now)) != 0 {
			t.Fatalf("fetches due: %v", due)
		}
		asked = append(asked, due[0].Peer)
		s.EndFetch(now, due[0])
		if len(s.DueFetches(now)) != 0 {
			t.Fatal("a failed fetch is repeated without backoff")
		}
		now, _ = s.NextFetchAt()
	}
	if want := []config.Peer{p1, p2, {}, p1}; !reflect.DeepEqual(asked, want) {
		t.Errorf("asked %v, want %v", asked, want)
	}
	if behind := s.BehindFor(now); behind != now.Sub(start) || behind == 0 {
		t.Errorf("behind for %v after %v", behind, now.Sub(start))
	}
	s.InstallSnapshot(snapshots[5])
	if behind := s.BehindFor(now); behind != 0 {
		t.Errorf("still behind for %v", behind)
	}
	if due := s.DueFetches(now); len(due) != 0 {
		t.Errorf("fetches while up to date: %v", due)
	}
	s.EndFetch(now, poll[0])
	if at, ok := s.NextFetchAt(); !ok || at != start.Add(2*time.Second) {
		t.Errorf("next fetch at %v, known %v; want the poll of the store 2 s after the start", at, ok)
	}
}

func TestReplicatorOffersToPeers(t *testing.T) {
	snapshots, changes := chain(t, 8)
	late := config.Peer{Addr: "late"}
	cases := []struct {
		name    string
		theirs  contract.Revision
		ok      bool
		changes int
		whole   bool
	}{
		{"at the same revision", 8, false, 0, false},
		{"ahead", 9, false, 0, false},
		{"behind within the history", 6, true, 2, false},
		{"behind the history", 2, true, 0, true},
	}
	for _, c := range cases {
		s := config.NewReplicator(0)
		s.InstallSnapshot(snapshots[4])
		s.ApplyChanges(changes)
		got, ok := s.StartOffer(late, c.theirs)
		if ok != c.ok || len(got.Changes) != c.changes || (got.Snapshot != nil) != c.whole {
			t.Errorf("%s: offer due: %v, offered %+v; want those of the case", c.name, ok, got)
		}
		if _, again := s.StartOffer(late, c.theirs); again {
			t.Errorf("%s: second offer while one is in flight", c.name)
		}
		s.EndOffer(late)
		if _, again := s.StartOffer(late, c.theirs); again != c.ok {
			t.Errorf("%s: wrong offer decision after the first offer ended", c.name)
		}
		peer := config.NewReplicator(0)
		peer.InstallSnapshot(snapshots[min(c.theirs, 8)])
		if _, _, complete := peer.ApplyUpdate(got.Snapshot, got.Changes); !complete || peer.Current().Revision != 8 {
			t.Errorf("%s: the peer has revision %d", c.name, peer.Current().Revision)
		}
	}
}

// TestSnapshotIsNotOfferedToEntries guards against copies of the whole configuration from all entries to one that is behind.
func TestSnapshotIsNotOfferedToEntries(t *testing.T) {
	snapshots, changes := chain(t, 8)
	s := config.NewReplicator(0)
	s.InstallSnapshot(snapshots[4])
	s.ApplyChanges(changes)
	for _, c := range []struct {
		to     zone.Kind
		theirs contract.Revision
		ok     bool
	}{
		{zone.KindEntry, 2, false}, {zone.KindEntry, 6, true}, {zone.KindSidecar, 2, true}, {zone.KindSidecar, 6, true},
	} {
		if _, ok := s.StartOffer(config.Peer{Kind: c.to, Addr: "late"}, c.theirs); ok != c.ok {
			t.Errorf("kind %d at revision %d: offered %v, want %v", c.to, c.theirs, ok, c.ok)
		}
		s.EndOffer(config.Peer{Kind: c.to, Addr: "late"})
	}
}

func BenchmarkApply(b *testing.B) {
	s := config.EmptySnapshot()
	for i := range 9700 {
		a := account(fmt.Sprint("account-", i))
		s.Accounts[a.ID] = a
		hash := contract.HashKey(string(a.ID))
		s.Keys[hash] = contract.Key{Hash: hash, Account: a.ID}
	}
	for i := range 4800 {
		u := engine(fmt.Sprint("engine-", i))
		s.Upstreams[u.ID] = u
	}
	for b.Loop() {
		if _, err := config.Apply(s, config.CreateAccount{Account: account("new")}, "op", start); err != nil {
			b.Fatal(err)
		}
	}
}
