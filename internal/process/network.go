// Package process assembles the long-running processes, entry and sidecar, from
// their settings. It connects the cores of package instance, which decide, to the
// servers and clients of package link, and owns the listeners.
package process

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/link/operator/api"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/link/tlsfiles"
)

// Options configure a process beyond its settings. A nil Log discards all output.
type Options struct {
	Log hclog.Logger
	// Network opens listeners and connections; nil means those of the operating
	// system.
	Network Network
}

// Network opens listeners and connections. Tests use one that can hold traffic, to
// simulate a network partition.
type Network interface {
	// Listen opens a TCP listener at an IP address and port.
	Listen(addr string) (net.Listener, error)
	// Dial opens a connection to a peer.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Transport returns the transport for HTTP calls to the platform and the
	// engine; nil means the default of each link.
	Transport() http.RoundTripper
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{}

func (systemNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (systemNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return rpc.PlainDialer(ctx, addr)
}

func (systemNetwork) Transport() http.RoundTripper { return nil }

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Network == nil {
		o.Network = systemNetwork{}
	}
}

// newIdentity returns the identity of a process that starts now. The time is the
// incarnation, so that a restarted process has a higher one.
func newIdentity(where settings.Where) instance.Identity {
	return instance.Identity{
		Name:        instance.Name(where.Name),
		Incarnation: instance.Incarnation(time.Now().UnixNano()),
		Place:       where.Place(),
	}
}

// tlsSource reads the TLS files of a listener; it returns nil for plain text.
func tlsSource(o Options, l settings.Listener) (*tlsfiles.Source, error) {
	if l.PlainText {
		return nil, nil
	}
	return tlsfiles.New(l.TLSFiles(), clock.System{}, o.Log)
}

// listen opens a listener, with TLS unless its settings select plain text.
func listen(o Options, l settings.Listener) (net.Listener, error) {
	source, err := tlsSource(o, l)
	if err != nil {
		return nil, err
	}
	raw, err := o.Network.Listen(l.Listen)
	if err != nil || source == nil {
		return raw, err
	}
	return tls.NewListener(raw, source.ServerConfig()), nil
}

// openListeners opens all listeners; if one fails, those opened before are closed.
func openListeners(o Options, wanted ...settings.Listener) (opened []net.Listener, err error) {
	for _, w := range wanted {
		l, err := listen(o, w)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %s: %w", w.Listen, err)
		}
		opened = append(opened, l)
	}
	return opened, nil
}

func closeListeners(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// parseOperators converts the operators of the settings. An unknown role or a
// malformed key hash is an error.
func parseOperators(named []settings.Operator) (operators []api.Operator, err error) {
	for _, o := range named {
		role, ok := api.ParseRole(o.Role)
		if !ok {
			return nil, fmt.Errorf("operator %s: unknown role %q", o.Name, o.Role)
		}
		hash, err := hex.DecodeString(o.KeySHA256)
		if err != nil || len(hash) != len(contract.KeyHash{}) {
			return nil, fmt.Errorf("operator %s: key_sha256 is not a SHA-256 hash in hexadecimal", o.Name)
		}
		operators = append(operators, api.Operator{Name: o.Name, Key: contract.KeyHash(hash), Role: role})
	}
	return operators, nil
}

// dialer returns a dialer to peers, which uses the TLS files of the peer listener.
func dialer(o Options, l settings.Listener) (rpc.Dialer, error) {
	source, err := tlsSource(o, l)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := o.Network.Dial(ctx, addr)
		if err != nil || source == nil {
			return raw, err
		}
		return handshake(ctx, raw, addr, source)
	}, nil
}

// handshake starts TLS on a connection to a peer; on an error it closes raw.
func handshake(ctx context.Context, raw net.Conn, addr string, source *tlsfiles.Source) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	conn := tls.Client(raw, source.ClientConfig(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}
