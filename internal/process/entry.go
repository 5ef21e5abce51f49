package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/link/caller"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
)

// Entry is a running entry with its listeners.
type Entry struct {
	// CallerAddr, PeerAddr and OperatorAddr are where it listens.
	CallerAddr, PeerAddr, OperatorAddr string

	core     *entry.Entry
	log      hclog.Logger
	drain    settings.Drain
	handler  *caller.Handler
	caller   *http.Server
	operator *http.Server
	peers    *rpc.Server
	peerConn net.Listener
	dials    *rpc.Dials
	platform *rest.Client
}

// StartEntry starts an entry.
func StartEntry(s settings.Entry, o Options) (*Entry, error) {
	o.setDefaults()
	dial, err := dialer(o.Network, s.Peer)
	if err != nil {
		return nil, fmt.Errorf("entry: peer: %w", err)
	}
	p := &Entry{
		log:      o.Log,
		drain:    s.Drain,
		dials:    rpc.NewDials(dial),
		platform: rest.New(s.Platform.URL, o.Network.Transport()),
	}
	options, err := p.coreOptions(s)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	p.core = entry.New(options)
	if err := p.listen(s, o.Network); err != nil {
		p.Kill()
		return nil, fmt.Errorf("entry: %w", err)
	}
	return p, nil
}

// coreOptions are the options of the decisions.
func (p *Entry) coreOptions(s settings.Entry) (entry.Options, error) {
	self := identityOf(s.Where)
	board, err := placement.NewBoard(placement.Options{
		Self:   self.Place,
		Policy: s.Placement.Policy,
		Watch:  s.Placement.Watch,
		Seed:   uint64(self.Incarnation),
	})
	if err != nil {
		return entry.Options{}, err
	}
	rates, err := rate.New(s.Rates.Policy, self, rate.Options{})
	if err != nil {
		return entry.Options{}, err
	}
	return entry.Options{
		Self:        self,
		Secret:      []byte(s.PseudonymSecret),
		Workers:     s.Workers,
		MaxRequests: s.Limits.Running,
		Board:       board,
		Rates:       rates,
		NewQueue:    func() fair.Queue { return fair.NewWeighted(s.Limits.Running) },
		Peers:       p.dials,
		Config:      configstore.New(p.platform.Table(), p.platform.Objects()),
		Instances:   p.platform.Instances(),
		Log:         p.log,
	}, nil
}

// listen opens the listeners, that of the callers last.
func (p *Entry) listen(s settings.Entry, network Network) error {
	peers, err := rpc.NewServer(p.core, nil)
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

	operators, err := listen(network, s.Operator)
	if err != nil {
		return fmt.Errorf("operators' listener: %w", err)
	}
	p.OperatorAddr = operators.Addr().String()
	p.operator = api.NewServer(api.Options{Ready: p.ready, Log: p.log})
	go serve(p.operator, operators, p.log)

	callers, err := listen(network, s.Caller)
	if err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	p.CallerAddr = callers.Addr().String()
	p.handler = caller.NewHandler(p.core, s.Limits.Caller(), p.log)
	p.handler.SetReady()
	p.caller = caller.NewServer(p.handler, s.Limits.Caller(), p.log)
	go serve(p.caller, callers, p.log)
	return nil
}

// serve runs an HTTP server until it is shut down.
func serve(server *http.Server, l net.Listener, log hclog.Logger) {
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener ended", "address", l.Addr().String(), "error", err)
	}
}

// ready says whether the balancer should send requests here.
func (p *Entry) ready() (ok bool, reason string) {
	state := p.core.State()
	return state == instance.Serving, state.String()
}

// Shutdown ends the entry gracefully: the balancer is told first, then new
// requests are refused, and the running ones finish within the drain limit.
func (p *Entry) Shutdown(ctx context.Context) error {
	p.handler.SetUnready("draining")
	wait(ctx, p.drain.Notice.Duration)
	p.handler.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.drain.Limit.Duration)
	defer cancel()
	err := p.core.Drain(ctx)
	err = errors.Join(err, p.caller.Shutdown(ctx))
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

// Kill ends the entry at once, as a crash would.
func (p *Entry) Kill() {
	if p.caller != nil {
		_ = p.caller.Close()
	}
	if p.operator != nil {
		_ = p.operator.Close()
	}
	if p.peerConn != nil {
		_ = p.peerConn.Close()
	}
	if p.peers != nil {
		p.peers.Close()
	}
	p.dials.Close()
	p.core.Close()
	p.platform.Close()
}
