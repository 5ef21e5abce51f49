// Package fleet starts a whole fleet in one process over loopback: the stand-ins, a
// sidecar beside each upstream, and an entry per zone, with real HTTP and net/rpc
// between them. It can kill and pause parts and cut off zones. The development
// program and tests use it.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	standin "github.com/trefoilwalk/trefoilwalk/internal/standin/platform"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Rate limits of the platform's store, in calls per second.
const (
	storeReads  = 2000
	storeWrites = 500
)

// listLag is the delay after which the list of instances shows a change.
const listLag = 2 * time.Second

// readyTimeout bounds the wait for the entries to become ready.
const readyTimeout = 15 * time.Second

// ErrNotReady means that an entry was not ready within readyTimeout, or before the
// context ended.
var ErrNotReady = errors.New("fleet: not all entries became ready in time")

// Options configure a fleet. A nil Log discards all output.
type Options struct {
	Workload Workload
	Policy   Policy
	Log      hclog.Logger
	// OnEngineStart and OnEngineFree, if set, are called when a call takes KV
	// blocks of an engine and when they are freed. They must not block, nor call
	// the engine.
	OnEngineStart func(call contract.CallID, prompt string)
	OnEngineFree  func(call contract.CallID)
	// OnServiceRun, if set, is called when a service starts to run a call. It must
	// not call the service.
	OnServiceRun func(call, body string)
}

// Policy selects the policies of the entries; empty fields select the defaults.
type Policy struct {
	// Placement is a policy of package placement, Queue one of package fair,
	// Rates one of package rate.
	Placement, Queue, Rates string
}

// Fleet is a running fleet, made by Start and ended by Close.
type Fleet struct {
	Workload Workload
	Platform *memplatform.Platform
	Engines  []*EngineNode
	Services []*ServiceNode
	Entries  []*EntryNode
	options  Options
	network  *network
	servers  []*http.Server
	platform *rest.Client
	store    *configstore.Store
	storeURL string
}

// Start starts a fleet and returns when all entries are ready. On an error it closes
// what it started.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	f := &Fleet{Workload: o.Workload, options: o, network: newNetwork(), Platform: memplatform.New()}
	err := f.start(ctx)
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	for _, z := range f.Workload.Zones {
		if err := f.startEntry(z); err != nil {
			return fmt.Errorf("entry in %s: %w", z, err)
		}
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startPlatform() error {
	f.Platform.Store.SetRates(storeReads, storeWrites)
	f.Platform.Instances.SetLag(listLag)
	l, err := f.network.newHost(outside).Listen(loopback)
	if err != nil {
		return err
	}
	f.serve(l, standin.Handler(f.Platform))
	f.storeURL = "http://" + l.Addr().String()
	f.platform = rest.New(f.storeURL, nil)
	f.store = configstore.New(f.platform.Table(), f.platform.Objects())
	return nil
}

func (f *Fleet) startUpstreams() error {
	roles := []struct {
		role  upstream.Role
		count int
	}{
		{upstream.RolePrefill, f.Workload.Prefills},
		{upstream.RoleDecode, f.Workload.Decodes},
	}
	for _, r := range roles {
		for i := range r.count {
			if err := f.startEngine(r.role, i); err != nil {
				return fmt.Errorf("%s engine %d: %w", r.role, i, err)
			}
		}
	}
	for i := range f.Workload.Runners {
		if err := f.startService(i); err != nil {
			return fmt.Errorf("service %d: %w", i, err)
		}
	}
	return nil
}

// place assigns instances to the zones in turn.
func (f *Fleet) place(i int) zone.Place {
	zones := f.Workload.Zones
	return zone.Place{Region: f.Workload.Region, Zone: zones[i%len(zones)]}
}

// configure writes the workload's accounts, keys, routes and upstreams to the store
// as one revision.
func (f *Fleet) configure(ctx context.Context) error {
	var commands []config.Command
	for _, a := range f.Workload.Accounts {
		commands = append(commands,
			config.CreateAccount{Account: a.ClientAccount},
			config.GrantKey{Hash: contract.HashKey(a.Key), Account: a.ID, Label: "main"})
	}
	for _, route := range f.Workload.Routes {
		commands = append(commands, config.CreateRoute{Route: route})
	}
	for _, e := range f.Engines {
		commands = append(commands, config.AddUpstream{Upstream: e.Upstream})
	}
	for _, s := range f.Services {
		commands = append(commands, config.AddUpstream{Upstream: s.Upstream})
	}
	_, err := f.ApplyCommand(ctx, config.Batch{Commands: commands})
	return err
}

// ApplyCommand commits a command to the configuration and returns the new revision. It
// makes one attempt: a concurrent change is an error.
func (f *Fleet) ApplyCommand(ctx context.Context, command config.Command) (contract.Revision, error) {
	loaded, err := f.store.Load(ctx, config.EmptySnapshot())
	if err != nil {
		return 0, err
	}
	now := time.Now()
	next, err := config.Apply(loaded.Snapshot, command, "trefoil-dev", now)
	if err != nil {
		return 0, err
	}
	change := config.Change{Revision: next.Revision, By: next.ChangedBy, At: now, Command: command}
	return next.Revision, f.store.Commit(ctx, loaded.Snapshot, change)
}

// waitReady waits until all entries are ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !f.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrNotReady
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if !e.Serving() {
			return false
		}
	}
	return true
}

// CutZone blocks all traffic between an availability zone and everything outside of
// it, callers and platform included, or unblocks it. Connections stay open.
func (f *Fleet) CutZone(z zone.AvailabilityZone, cut bool) {
	f.network.setCut(z, cut)
}

// Transport returns a new transport for HTTP calls from outside of all zones.
func (f *Fleet) Transport() *http.Transport {
	return f.network.newHost(outside).transport()
}

// Close ends all cuts and stops all parts of the fleet.
func (f *Fleet) Close() {
	for _, z := range f.Workload.Zones {
		f.network.setCut(z, false)
	}
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, e := range f.Engines {
		e.close()
	}
	for _, s := range f.Services {
		s.close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
}

// DefaultPolicy is for callers of Start that need no particular policy. They pass it
// themselves: Start does not replace an empty Policy by it.
var DefaultPolicy = Policy{Placement: placement.PolicyReserve}
