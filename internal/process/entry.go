package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/instance/stats"
	"github.com/trefoilwalk/trefoilwalk/link/burnstats"
	"github.com/trefoilwalk/trefoilwalk/link/caller"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/platform/claimstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/layoutstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Entry is a running entry process: its core, listeners and links. StartEntry makes
// it; Shutdown or Kill ends it.
type Entry struct {
	// CallerAddr, PeerAddr and OperatorAddr are the addresses of its listeners.
	CallerAddr, PeerAddr, OperatorAddr string

	core     *entry.Entry
	log      hclog.Logger
	drain    settings.Drain
	handler  *caller.Handler
	caller   *http.Server
	operator *http.Server
	peers    *rpc.Server
	peerLn   net.Listener
	connPool *rpc.ConnPool
	platform *rest.Client
	store    *configstore.Store
}

// entryListeners are opened before the entry is created, because its options hold
// the address of its peer listener.
type entryListeners struct {
	peer, operator, caller net.Listener
}

// StartEntry opens the listeners of an entry and serves requests on them. It may
// return before the entry is ready; see Ready.
func StartEntry(s settings.Entry, o Options) (*Entry, error) {
	o.setDefaults()
	p, err := newEntry(s, o)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return p, nil
}

func newEntry(s settings.Entry, o Options) (*Entry, error) {
	dial, err := dialer(o, s.Peer)
	if err != nil {
		return nil, err
	}
	operators, err := parseOperators(s.Operators)
	if err != nil {
		return nil, err
	}
	p := &Entry{
		log:      o.Log,
		drain:    s.Drain,
		connPool: rpc.NewConnPool(dial),
		platform: rest.New(s.Platform.URL, o.Network.Transport()),
	}
	options, err := p.coreOptions(s)
	if err != nil {
		return nil, err
	}
	listeners, err := openEntryListeners(s, o)
	if err != nil {
		return nil, err
	}
	options.Addr = listeners.peer.Addr().String()
	p.core = entry.New(options)
	return p, p.startServers(s, listeners, operators)
}

// claimSweep converts the settings for the removal of old claims.
func claimSweep(s settings.Claims) entry.ClaimSweep {
	return entry.ClaimSweep{Keep: s.Keep.Duration, Every: s.SweepEvery.Duration, Batch: s.SweepBatch}
}

// openEntryListeners opens all listeners of an entry, or returns an error and
// leaves none open.
func openEntryListeners(s settings.Entry, o Options) (l entryListeners, err error) {
	opened, err := openListeners(o, s.Peer, s.Operator, s.Caller)
	if err != nil {
		return l, err
	}
	return entryListeners{peer: opened[0], operator: opened[1], caller: opened[2]}, nil
}

// coreOptions builds the options of the entry's core from its settings, and opens
// the configuration store.
func (p *Entry) coreOptions(s settings.Entry) (entry.Options, error) {
	self := newIdentity(s.Where)
	board, err := placement.NewBoard(placement.Options{
		Self:       self.Place,
		Policy:     s.Placement.Policy,
		WatchCount: s.Placement.Watch,
		Seed:       uint64(self.Incarnation),
	})
	if err != nil {
		return entry.Options{}, err
	}
	rates, err := rate.New(s.Rates.Policy, self, rate.Options{})
	if err != nil {
		return entry.Options{}, err
	}
	trust, err := zone.ParseTrustRule(s.Trust.Rule)
	if err != nil {
		return entry.Options{}, err
	}
	newQueue, err := fair.NewFactory(s.Placement.Queue, s.Limits.Running)
	if err != nil {
		return entry.Options{}, err
	}
	p.store = configstore.New(p.platform.Table(), p.platform.Objects())
	return entry.Options{
		Self:        self,
		Seeds:       s.Peers,
		Zones:       zoneNames(s.Zones),
		Trust:       trust,
		Secret:      []byte(s.PseudonymSecret),
		Workers:     s.Workers,
		MaxRequests: s.Limits.Running,
		Board:       board,
		Rates:       rates,
		NewQueue:    newQueue,
		Peers:       p.connPool,
		Config:      p.store,
		Recorder:    newRecorder(self),
		Layouts:     layoutstore.New(p.platform.Table()),
		Claims:      claimstore.New(p.platform.Table()),
		ClaimSweep:  claimSweep(s.Claims),
		Instances:   p.platform.Instances(),
		Log:         p.log,
	}, nil
}

// newRecorder returns a recorder of the entry's statistics and publishes them through
// package burnstats.
func newRecorder(self instance.Identity) *stats.Recorder {
	s := stats.New(clock.System{}.Now(), self)
	burnstats.Publish(self.String(), func() burn.Snapshot { return s.Snapshot(clock.System{}.Now()) })
	return s
}

func zoneNames(names []string) (zones []zone.AvailabilityZone) {
	for _, name := range names {
		zones = append(zones, zone.AvailabilityZone(name))
	}
	return zones
}

// startServers starts a server on each listener, on that of the callers last.
func (p *Entry) startServers(s settings.Entry, l entryListeners, operators []api.Operator) error {
	peers, err := rpc.NewServer(p.core, nil, p.log)
	if err != nil {
		return err
	}
	p.peers = peers
	p.peerLn = l.peer
	p.PeerAddr = l.peer.Addr().String()
	go p.peers.Serve(l.peer)

	p.OperatorAddr = l.operator.Addr().String()
	p.operator = api.NewServer(api.Options{
		Service:   operator.NewService(p.store, p.core, p.core, clock.System{}),
		Operators: operators,
		Ready:     p.core.Ready,
		Log:       p.log,
	})
	go serveHTTP(p.operator, l.operator, p.log)

	p.CallerAddr = l.caller.Addr().String()
	p.handler = caller.NewHandler(p.core, s.Limits.ToCallerLimits(), p.log)
	p.handler.SetReady()
	p.handler.SetReadinessCheck(p.core.Ready)
	p.caller = caller.NewServer(p.handler, s.Limits.ToCallerLimits(), p.log)
	go serveHTTP(p.caller, l.caller, p.log)
	return nil
}

// serveHTTP runs an HTTP server until it is shut down, and logs any other end.
func serveHTTP(server *http.Server, l net.Listener, log hclog.Logger) {
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener ended", "address", l.Addr().String(), "error", err)
	}
}

// Ready reports whether a load balancer should send requests to the entry, and if
// not, why.
func (p *Entry) Ready() (ok bool, reason string) {
	return p.core.Ready()
}

// Revision returns the revision of the configuration in force.
func (p *Entry) Revision() contract.Revision {
	return p.core.Snapshot().Revision
}

// Shutdown drains and ends the entry. It reports unready, waits the drain notice so
// that the load balancer stops sending, refuses new requests, and lets the running
// ones finish within the drain limit.
func (p *Entry) Shutdown(ctx context.Context) error {
	p.handler.SetUnready("draining")
	wait(ctx, p.drain.Notice.Duration)
	p.handler.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.drain.Limit.Duration)
	defer cancel()
	err := p.core.Drain(ctx)
	_ = p.peerLn.Close()
	err = errors.Join(err, p.caller.Shutdown(ctx), p.peers.Shutdown(ctx))
	p.Kill()
	return err
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill ends the entry at once, as a crash would; running requests break.
func (p *Entry) Kill() {
	_ = p.caller.Close()
	_ = p.operator.Close()
	_ = p.peerLn.Close()
	p.peers.Close()
	p.connPool.Close()
	p.core.Close()
	p.platform.Close()
}
