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
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/serviceapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
)

// Sidecar is a running sidecar with its listeners.
type Sidecar struct {
	// PeerAddr and OperatorAddr are where it listens.
	PeerAddr, OperatorAddr string

	core     *sidecar.Sidecar
	log      hclog.Logger
	drain    settings.Drain
	operator *http.Server
	peers    *rpc.Server
	peerConn net.Listener
}

// StartSidecar starts a sidecar.
func StartSidecar(s settings.Sidecar, o Options) (*Sidecar, error) {
	o.setDefaults()
	options, err := sidecarOptions(s, o)
	if err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	p := &Sidecar{log: o.Log, drain: s.Drain, core: sidecar.New(options)}
	if err := p.listen(s, o.Network); err != nil {
		p.Kill()
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return p, nil
}

// sidecarOptions are the options of the decisions.
func sidecarOptions(s settings.Sidecar, o Options) (sidecar.Options, error) {
	options := sidecar.Options{
		Self:     identityOf(s.Where),
		Upstream: upstream.ID(s.Upstream.ID),
		Limits:   limitsOf(s),
		Workers:  s.Workers,
		Log:      o.Log,
	}
	if s.Upstream.Kind == settings.KindEngine {
		options.Engine = engineapi.New(s.Upstream.URL, o.Network.Transport())
		return options, nil
	}
	service, err := serviceapi.New(s.Upstream.URL, nil)
	if err != nil {
		return sidecar.Options{}, err
	}
	options.Service = service
	return options, nil
}

// limitsOf gives what the upstream can take.
func limitsOf(s settings.Sidecar) engine.Limits {
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

// listen opens the listeners.
func (p *Sidecar) listen(s settings.Sidecar, network Network) error {
	operators, err := listen(network, s.Operator)
	if err != nil {
		return fmt.Errorf("operators' listener: %w", err)
	}
	p.OperatorAddr = operators.Addr().String()
	p.operator = api.NewServer(api.Options{Ready: p.ready, Log: p.log})
	go serve(p.operator, operators, p.log)

	peers, err := rpc.NewServer(nil, p.core)
	if err != nil {
		return err
	}
	p.peers = peers
	p.peerConn, err = listen(network, s.Peer)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	p.PeerAddr = p.peerConn.Addr().String()
	go p.peers.Serve(p.peerConn)
	return nil
}

// ready says whether the sidecar takes new work.
func (p *Sidecar) ready() (ok bool, reason string) {
	state := p.core.State()
	return state == instance.Serving, state.String()
}

// Shutdown ends the sidecar gracefully: no new work, and the running calls
// finish within the drain limit.
func (p *Sidecar) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.drain.Limit.Duration)
	defer cancel()
	err := p.core.Drain(ctx)
	err = errors.Join(err, p.operator.Shutdown(ctx))
	p.Kill()
	return err
}

// Kill ends the sidecar at once, as a crash would.
func (p *Sidecar) Kill() {
	if p.operator != nil {
		_ = p.operator.Close()
	}
	if p.peerConn != nil {
		_ = p.peerConn.Close()
	}
	if p.peers != nil {
		p.peers.Close()
	}
	p.core.Close()
}
