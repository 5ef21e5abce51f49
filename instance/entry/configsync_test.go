package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/instance/sidecar"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/upstream/quarantine"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// inForceWithin is the required bound on the time until a configuration is in
// force everywhere.
const inForceWithin = 5 * time.Second

// mesh is a fleet of two entries and a sidecar in each of three zones. Links
// between zones, and from a zone to the store, can be cut.
type mesh struct {
	t        *testing.T
	platform *memplatform.Platform
	store    *configstore.Store

	mu       sync.Mutex
	entries  map[string]*entry.Entry
	sidecars map[string]*sidecar.Sidecar
	cut      map[[2]zone.AvailabilityZone]bool
	highest  map[string]contract.Revision
}

const storeZone zone.AvailabilityZone = "store"

var meshZones = []zone.AvailabilityZone{"a", "b", "c"}

func newMesh(t *testing.T) *mesh {
	p := memplatform.New()
	m := &mesh{t: t, platform: p, store: configstore.New(p.Table, p.Objects),
		entries: make(map[string]*entry.Entry), sidecars: make(map[string]*sidecar.Sidecar),
		cut: make(map[[2]zone.AvailabilityZone]bool), highest: make(map[string]contract.Revision)}
	commands := []config.Command{
		config.CreateAccount{Account: contract.ClientAccount{ID: "acme", Weight: 1, Rate: contract.Rate{PerSecond: 1000, Burst: 1000}}},
		config.GrantKey{Hash: contract.HashKey(testKey), Account: "acme"},
		config.CreateRoute{Route: contract.Route{Name: "read", Kind: contract.RouteModel, Model: testModel, Patient: true, Timeout: time.Hour}},
	}
	for _, z := range meshZones {
		commands = append(commands, config.AddUpstream{Upstream: upstream.Upstream{ID: upstream.ID("s-" + z), Role: upstream.RoleDecode,
			Place: zone.Place{Region: "r", Zone: z}, SidecarAddr: fmt.Sprintf("127.0.0.%d:1", z[0])}})
		m.sidecars[fmt.Sprintf("127.0.0.%d:1", z[0])] = m.newSidecar(z)
	}
	m.accept(config.Batch{Commands: commands})
	for _, z := range meshZones {
		m.start("e1-", z)
		m.start("e2-", z)
	}
	time.Sleep(3 * time.Second)
	m.wantEverywhere("at the start", 1, nil)
	return m
}

// accept writes a command to the store without an entry.
func (m *mesh) accept(cmd config.Command) {
	loaded, err := m.store.Load(m.t.Context(), config.EmptySnapshot())
	if err != nil {
		m.t.Fatal(err)
	}
	change := config.Change{Revision: loaded.Snapshot.Revision + 1, By: "root", At: time.Now(), Command: cmd}
	if err := m.store.Commit(m.t.Context(), loaded.Snapshot, change); err != nil {
		m.t.Fatal(err)
	}
}

func (m *mesh) newSidecar(z zone.AvailabilityZone) *sidecar.Sidecar {
	s := sidecar.New(sidecar.Options{
		Self:     instance.Identity{Name: instance.Name("s-" + z), Incarnation: 1, Place: zone.Place{Region: "r", Zone: z}},
		Upstream: upstream.ID("s-" + z),
		Limits:   engine.Limits{Role: upstream.RoleDecode, Lease: lease},
	})
	m.t.Cleanup(s.Close)
	return s
}

// start starts an entry, or replaces it with a new incarnation.
func (m *mesh) start(prefix string, z zone.AvailabilityZone) {
	name := prefix + string(z)
	place := zone.Place{Region: "r", Zone: z}
	self := instance.Identity{Name: instance.Name(name), Incarnation: instance.Incarnation(time.Now().UnixNano()), Place: place}
	board, err := placement.NewBoard(placement.Options{Self: place})
	if err != nil {
		m.t.Fatal(err)
	}
	rates, err := rate.New(rate.PolicyFixedSplit, self, rate.Options{Entries: 1})
	if err != nil {
		m.t.Fatal(err)
	}
	e := entry.New(entry.Options{
		Self: self, Addr: name, Zones: meshZones, Secret: []byte("secret"), Board: board, Rates: rates,
		NewQueue:  func() fair.Queue { return fair.NewWeighted(fair.DefaultLimit) },
		Peers:     meshPeers{m, z},
		Config:    meshSource{m, z},
		Instances: m,
	})
	m.t.Cleanup(e.Close)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries[name] = e
	m.highest[name] = 0
}

// List implements platform.Instances.
func (m *mesh) List(context.Context) (listed []platform.ListedInstance, err error) {
	for _, z := range meshZones {
		for _, prefix := range []string{"e1-", "e2-"} {
			name := prefix + string(z)
			listed = append(listed, platform.ListedInstance{Name: name, Kind: "entry", Addr: name, Place: zone.Place{Region: "r", Zone: z}})
		}
	}
	return listed, nil
}

func (m *mesh) setCut(cut bool, from zone.AvailabilityZone, to ...zone.AvailabilityZone) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, z := range to {
		m.cut[[2]zone.AvailabilityZone{from, z}] = cut
		m.cut[[2]zone.AvailabilityZone{z, from}] = cut
	}
}

func (m *mesh) isCut(from, to zone.AvailabilityZone) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[[2]zone.AvailabilityZone{from, to}]
}

// meshSource is the store as seen from a zone.
type meshSource struct {
	m    *mesh
	zone zone.AvailabilityZone
}

func (s meshSource) Load(ctx context.Context, have *config.Snapshot) (config.Loaded, error) {
	if s.m.isCut(s.zone, storeZone) {
		return config.Loaded{}, platform.ErrUnavailable
	}
	return s.m.store.Load(ctx, have)
}

// meshPeers are the other processes as seen from a zone.
type meshPeers struct {
	m    *mesh
	zone zone.AvailabilityZone
}

func (p meshPeers) Entry(addr string) peer.Entry {
	if p.m.isCut(p.zone, zone.AvailabilityZone(addr[len(addr)-1:])) {
		return unreachableEntry{}
	}
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	return p.m.entries[addr]
}

func (p meshPeers) Sidecar(addr string) peer.Sidecar {
	var z byte
	_, _ = fmt.Sscanf(addr, "127.0.0.%d:1", &z)
	if p.m.isCut(p.zone, zone.AvailabilityZone(z)) {
		return unreachableSidecar{}
	}
	return p.m.sidecars[addr]
}

type unreachableEntry struct{ peer.Entry }

func (unreachableEntry) Rates(context.Context, *peer.RatesRequest) (*peer.RatesReply, error) {
	return nil, peer.ErrNotSent
}

func (unreachableEntry) Heartbeat(context.Context, *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return nil, peer.ErrNotSent
}

func (unreachableEntry) Sync(context.Context, *peer.SyncRequest) (*peer.SyncReply, error) {
	return nil, peer.ErrNotSent
}

func (unreachableEntry) Query(context.Context, *peer.QueryRequest) (*peer.QueryReply, error) {
	return nil, peer.ErrNotSent
}

type unreachableSidecar struct{ peer.Sidecar }

func (unreachableSidecar) Sync(context.Context, *peer.SyncRequest) (*peer.SyncReply, error) {
	return nil, peer.ErrNotSent
}

func (unreachableSidecar) Query(context.Context, *peer.QueryRequest) (*peer.QueryReply, error) {
	return nil, peer.ErrNotSent
}

func (unreachableSidecar) Poll(context.Context, *peer.PollRequest) (*peer.PollReply, error) {
	return nil, peer.ErrNotSent
}

// revisions returns the revision of each process. The test fails if one
// decreased.
func (m *mesh) revisions() map[string]contract.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := make(map[string]contract.Revision)
	for name, e := range m.entries {
		now[name] = e.Snapshot().Revision
	}
	for addr, s := range m.sidecars {
		reply, err := s.Query(m.t.Context(), &peer.QueryRequest{})
		if err != nil {
			m.t.Fatal(err)
		}
		now[addr] = reply.Answer.Instance.Revision
	}
	for name, revision := range now {
		if revision < m.highest[name] {
			m.t.Errorf("%s went back from revision %d to %d", name, m.highest[name], revision)
		}
		m.highest[name] = revision
	}
	return now
}

// wantEverywhere fails the test unless all processes, except those of the zones
// in without, have the revision within the bound.
func (m *mesh) wantEverywhere(when string, want contract.Revision, without []zone.AvailabilityZone) {
	m.t.Helper()
	var late map[string]contract.Revision
	for deadline := time.Now().Add(inForceWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		late = make(map[string]contract.Revision)
		for name, revision := range m.revisions() {
			if revision < want && !m.inZones(name, without) {
				late[name] = revision
			}
		}
		if len(late) == 0 {
			return
		}
	}
	m.t.Errorf("%s: not in force within %v: %v", when, inForceWithin, late)
}

func (m *mesh) inZones(name string, zones []zone.AvailabilityZone) bool {
	for _, z := range zones {
		if name == "e1-"+string(z) || name == "e2-"+string(z) || name == fmt.Sprintf("127.0.0.%d:1", z[0]) {
			return true
		}
	}
	return false
}

// serveWaiting starts a request that finds no upstream, so it waits until it is
// terminated. The channel returns its refusal.
func (m *mesh) serveWaiting(entryName string) <-chan *contract.Refusal {
	ended := make(chan *contract.Refusal, 1)
	e := m.entries[entryName]
	go func() {
		ended <- e.Serve(m.t.Context(), contract.Incoming{Key: testKey,
			Generate: &contract.Generate{Model: testModel, Prompt: "p", PromptTokens: 1, MaxTokens: 1}}, &collector{})
	}()
	time.Sleep(100 * time.Millisecond)
	return ended
}

// TestKeyWithdrawnUnderFaults withdraws a key at entry e1-a during a fault. In
// every zone that the change can reach, it must be in force within 5 s and
// running requests of the key must end within 5 s. No process may go back to an
// older revision.
func TestKeyWithdrawnUnderFaults(t *testing.T) {
	cases := []struct {
		name          string
		before, after func(m *mesh)
		// without are the zones that the change cannot reach.
		without []zone.AvailabilityZone
		// code is the refusal of requests there; CodeKeyWithdrawn if empty.
		code contract.Code
	}{
		{name: "no fault"},
		{name: "store down after acceptance", after: func(m *mesh) { m.platform.Store.SetDown(true) }},
		{name: "two zones without the store", before: func(m *mesh) { m.setCut(true, storeZone, "b", "c") }},
		{name: "a zone reaches one neighbour only", before: func(m *mesh) { m.setCut(true, "c", "a", storeZone) }},
		{name: "a zone reaches one neighbour only, store down after acceptance",
			before: func(m *mesh) { m.setCut(true, "c", "a", storeZone) },
			after:  func(m *mesh) { m.platform.Store.SetDown(true) }},
		{name: "entries restart in the outage", after: func(m *mesh) {
			m.platform.Store.SetDown(true)
			m.start("e2-", "b")
			m.start("e1-", "c")
			m.start("e2-", "c")
		}},
		{name: "a sidecar restarts", after: func(m *mesh) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.sidecars["127.0.0.98:1"] = m.newSidecar("b")
			m.highest["127.0.0.98:1"] = 0
		}},
		{name: "store slow", before: func(m *mesh) { m.platform.Store.SetSlow(time.Second) }},
		{name: "a zone cut off from everything", before: func(m *mesh) { m.setCut(true, "c", "a", "b", storeZone) },
			without: []zone.AvailabilityZone{"c"}, code: contract.CodeNoConfig},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t)
				near, far := m.serveWaiting("e1-a"), m.serveWaiting("e1-c")
				if c.before != nil {
					c.before(m)
				}
				e := m.entries["e1-a"]
				service := operator.NewService(m.store, e, e, clock.System{})
				withdraw := operator.Direct{Command: config.WithdrawKey{Hash: contract.HashKey(testKey)}}
				outcome, err := service.Change(t.Context(), "asha", []operator.Change{withdraw}, operator.Options{})
				if err != nil {
					t.Fatal(err)
				}
				accepted := time.Now()
				if c.after != nil {
					c.after(m)
				}
				m.wantEverywhere("after the change", outcome.Revision, c.without)
				wantEnd(t, near, contract.CodeKeyWithdrawn, accepted)
				code := contract.CodeKeyWithdrawn
				if c.code != "" {
					code = c.code
				}
				wantEnd(t, far, code, accepted)
				m.heal(outcome.Revision)
			})
		})
	}
}

// heal ends all faults and checks that every process has the revision and that
// every entry refuses the withdrawn key.
func (m *mesh) heal(want contract.Revision) {
	m.t.Helper()
	m.platform.Store.SetDown(false)
	m.platform.Store.SetSlow(0)
	for _, z := range meshZones {
		m.setCut(false, z, append([]zone.AvailabilityZone{storeZone}, meshZones...)...)
	}
	m.wantEverywhere("after the fault", want, nil)
	for name := range m.entries {
		wantEnd(m.t, m.serveWaiting(name), contract.CodeKeyWithdrawn, time.Now())
	}
}

// wantEnd fails the test unless a request ends in time with the code.
func wantEnd(t *testing.T, ended <-chan *contract.Refusal, want contract.Code, since time.Time) {
	t.Helper()
	// A zone that is cut off ends its requests after zone.TrustFor and
	// UntrustedGrace.
	const bound = max(inForceWithin, zone.TrustFor+entry.UntrustedGrace+500*time.Millisecond)
	select {
	case refusal := <-ended:
		if refusal == nil || refusal.Code != want {
			t.Errorf("ended with %v, want %s", refusal, want)
		}
	case <-time.After(time.Until(since.Add(bound))):
		t.Errorf("still running %v after the key was withdrawn, want %s", bound, want)
	}
}

// TestChangeReportsInstancesNotInForce makes a change that waits until it is in force
// everywhere. If a zone is cut off, the outcome must list its instances in
// NotInForce and queries must list them in Missing.
func TestChangeReportsInstancesNotInForce(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t)
			m.setCut(cut, "c", "a", "b", storeZone)
			e := m.entries["e1-a"]
			m.serveWaiting("e2-a")
			service := operator.NewService(m.store, e, e, clock.System{})
			for _, subject := range []operator.Subject{operator.Requests, operator.Rates} {
				table, err := service.Query(t.Context(), operator.Query{Subject: subject})
				if err != nil || len(table.Rows) != 1 || (len(table.Missing) == 2) != cut {
					t.Errorf("zone c cut off: %v: query of %s: rows %v, missing %v, error %v, want 1 row and the 2 entries of a cut zone missing", cut, subject, table.Rows, table.Missing, err)
				}
			}
			set := operator.SetAccount{ID: "acme"}
			outcome, err := service.Change(t.Context(), "asha", []operator.Change{set}, operator.Options{Wait: inForceWithin})
			if err != nil {
				t.Fatal(err)
			}
			if outcome.InForce == cut || len(outcome.NotInForce) > 3 || (cut && len(outcome.NotInForce) != 3) {
				t.Errorf("zone c cut off: %v: in force everywhere %v, not in force at %v, want the 3 instances of a cut zone", cut, outcome.InForce, outcome.NotInForce)
			}
			table, err := service.Query(t.Context(), operator.Query{Subject: operator.Instances})
			if err != nil || len(table.Rows)+len(table.Missing) != 9 || (len(table.Missing) == 3) != cut {
				t.Errorf("zone c cut off: %v: %d instances, missing %v, error %v, want 9 in total and 3 missing of a cut zone", cut, len(table.Rows), table.Missing, err)
			}
		})
	}
}

// TestQuarantineNotesReachAllEntries sends one entry a quarantine note; all
// entries must receive it, also where two zones cannot exchange messages
// directly.
func TestQuarantineNotesReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.setCut(true, "c", "a", storeZone)
		q := &peer.HeartbeatRequest{}
		q.Quarantine = []quarantine.Note{{Fingerprint: 7, For: time.Minute}}
		if _, err := m.entries["e1-a"].Heartbeat(t.Context(), q); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceWithin)
		for name, e := range m.entries {
			reply, err := e.Heartbeat(t.Context(), &peer.HeartbeatRequest{})
			if err != nil || len(reply.Quarantine) != 1 || reply.Quarantine[0].Fingerprint != 7 {
				t.Errorf("%s did not receive the note: %+v, %v", name, reply, err)
			}
		}
	})
}
