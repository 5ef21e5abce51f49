package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/sidecar"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/serviceapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Sidecar is a running sidecar process: its core and listeners. StartSidecar makes
// it; Shutdown or Kill ends it.
type Sidecar struct {
	// PeerAddr and OperatorAddr are the addresses of its listeners.
	PeerAddr, OperatorAddr string

	core     *sidecar.Sidecar
	log      hclog.Logger
	drain    settings.Drain
	operator *http.Server
	peers    *rpc.Server
	peerLn   net.Listener
}

// StartSidecar opens the listeners of a sidecar and serves on them.
func StartSidecar(s settings.Sidecar, o Options) (*Sidecar, error) {
	o.setDefaults()
	p, err := newSidecar(s, o)
	if err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return p, nil
}

func newSidecar(s settings.Sidecar, o Options) (*Sidecar, error) {
	options, err := sidecarOptions(s, o)
	if err != nil {
		return nil, err
	}
	operators, err := parseOperators(s.Operators)
	if err != nil {
		return nil, err
	}
	opened, err := openListeners(o, s.Peer, s.Operator)
	if err != nil {
		return nil, err
	}
	p := &Sidecar{log: o.Log, drain: s.Drain, core: sidecar.New(options)}
	return p, p.startServers(opened[0], opened[1], operators)
}

// sidecarOptions builds the options of the sidecar's core from its settings.
func sidecarOptions(s settings.Sidecar, o Options) (sidecar.Options, error) {
	options := sidecar.Options{
		Self:     newIdentity(s.Where),
		Upstream: upstream.ID(s.Upstream.ID),
		Limits:   upstreamLimits(s),
		Workers:  s.Workers,
		Log:      o.Log,
	}
	if s.Upstream.Kind == settings.KindEngine {
		options.Engine = engineapi.New(s.Upstream.URL, o.Network.Transport())
		options.Fences = fenceSource{newConfigStore(s.Platform.URL, o)}
		return options, nil
	}
	service, err := serviceapi.New(s.Upstream.URL, nil)
	if err != nil {
		return sidecar.Options{}, err
	}
	options.Service = service
	return options, nil
}

// fenceSource reads the highest fencing number of orders from the configuration
// store. Fencing numbers are revisions of the configuration, which the platform's
// table assigns and which only increase.
type fenceSource struct {
	store *configstore.Store
}

// HighestFence implements sidecar.FenceSource.
func (f fenceSource) HighestFence(ctx context.Context, _ upstream.ID) (uint64, error) {
	revision, err := f.store.Head(ctx)
	return uint64(revision), err
}

// newConfigStore opens the configuration store in the platform's table.
func newConfigStore(url string, o Options) *configstore.Store {
	client := rest.New(url, o.Network.Transport())
	return configstore.New(client.Table(), client.Objects())
}

// upstreamLimits converts the settings for the upstream's capacity and leases.
func upstreamLimits(s settings.Sidecar) engine.Limits {
	u := s.Upstream
	return engine.Limits{
		Role:                u.UpstreamRole(),
		Slots:               u.Slots,
		Blocks:              u.Blocks,
		LinkBlocksPerSecond: u.LinkBlocksPerSecond,
		PrefillPerSecond:    contract.Tokens(u.PrefillPerSecond),
		MaxQueuedTokens:     contract.Tokens(u.MaxQueuedTokens),
		Lease:               s.Leases.Grant.Duration,
		MaxWindowWait:       s.Leases.MaxWindowWait.Duration,
	}
}

// startServers starts a server on each listener.
func (p *Sidecar) startServers(peer, operator net.Listener, operators []api.Operator) error {
	peers, err := rpc.NewServer(nil, p.core, p.log)
	if err != nil {
		return err
	}
	p.peers = peers
	p.peerLn = peer
	p.PeerAddr = peer.Addr().String()
	go p.peers.Serve(peer)

	p.OperatorAddr = operator.Addr().String()
	p.operator = api.NewServer(api.Options{Operators: operators, Ready: p.ready, Log: p.log})
	go serveHTTP(p.operator, operator, p.log)
	return nil
}

// ready reports whether the sidecar accepts new work, and its state as the reason.
func (p *Sidecar) ready() (ok bool, reason string) {
	state := p.core.State()
	return state == instance.Serving, state.String()
}

// Shutdown drains and ends the sidecar: it refuses new work, and the running calls
// and their replies finish within the drain limit.
func (p *Sidecar) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.drain.Limit.Duration)
	defer cancel()
	err := p.core.Drain(ctx)
	// Replies report the draining state, so that entries use other upstreams.
	wait(ctx, p.drain.Notice.Duration)
	_ = p.peerLn.Close()
	err = errors.Join(err, p.peers.Shutdown(ctx), p.operator.Shutdown(ctx))
	p.Kill()
	return err
}

// Kill ends the sidecar at once, as a crash would; running calls break.
func (p *Sidecar) Kill() {
	_ = p.operator.Close()
	_ = p.peerLn.Close()
	p.peers.Close()
	p.core.Close()
}
