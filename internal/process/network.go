// Package process assembles the long-running processes from their settings: the
// decisions of package instance with the links of package link.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
)

// Options are what a process takes besides its settings.
type Options struct {
	Log hclog.Logger
	// Network opens connections; nil means the machine's.
	Network Network
}

// Network opens listeners and connections. Tests put one in between that can be
// cut.
type Network interface {
	// Listen opens a listener at an IP number and port.
	Listen(addr string) (net.Listener, error)
	// Dial opens a connection to a peer.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Transport makes HTTP calls to the platform and the upstream; nil means
	// the default of each link.
	Transport() http.RoundTripper
}

// machine is the machine's own network.
type machine struct{}

func (machine) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (machine) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return rpc.PlainDialer(ctx, addr)
}

func (machine) Transport() http.RoundTripper { return nil }

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Network == nil {
		o.Network = machine{}
	}
}

// identityOf gives this run of a process its identity.
func identityOf(where settings.Where) instance.Identity {
	return instance.Identity{
		Name:        instance.Name(where.Name),
		Incarnation: instance.Incarnation(time.Now().UnixNano()),
		Place:       where.Place(),
	}
}

// listen opens a listener with TLS as its settings say.
func listen(network Network, l settings.Listener) (net.Listener, error) {
	config, err := l.TLS()
	if err != nil {
		return nil, err
	}
	raw, err := network.Listen(l.Listen)
	if err != nil || config == nil {
		return raw, err
	}
	return tls.NewListener(raw, config), nil
}

// dialer opens connections to peers with the certificate of the peer listener.
func dialer(network Network, l settings.Listener) (rpc.Dialer, error) {
	config, err := l.TLS()
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := network.Dial(ctx, addr)
		if err != nil || config == nil {
			return raw, err
		}
		return shakeHands(ctx, raw, addr, config)
	}, nil
}

// shakeHands starts TLS on a connection to a peer.
func shakeHands(ctx context.Context, raw net.Conn, addr string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	config = config.Clone()
	config.ServerName = host
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}
