// Package process assembles the long-running processes from their settings: the
// decisions of package instance with the links of package link.
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

// tlsOf reads the TLS files of a listener; nil for plain text.
func tlsOf(o Options, l settings.Listener) (*tlsfiles.Source, error) {
	if l.PlainText {
		return nil, nil
	}
	return tlsfiles.New(l.Files(), clock.System{}, o.Log)
}

// listen opens a listener with TLS as its settings say.
func listen(o Options, l settings.Listener) (net.Listener, error) {
	source, err := tlsOf(o, l)
	if err != nil {
		return nil, err
	}
	raw, err := o.Network.Listen(l.Listen)
	if err != nil || source == nil {
		return raw, err
	}
	return tls.NewListener(raw, source.Server()), nil
}

// openAll opens listeners; if one fails, those opened before are closed.
func openAll(o Options, wanted ...settings.Listener) (opened []net.Listener, err error) {
	for _, w := range wanted {
		l, err := listen(o, w)
		if err != nil {
			closeAll(opened)
			return nil, fmt.Errorf("listener %s: %w", w.Listen, err)
		}
		opened = append(opened, l)
	}
	return opened, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// operatorsOf gives the operators that the settings name.
func operatorsOf(named []settings.Operator) (operators []api.Operator, err error) {
	for _, o := range named {
		role, ok := api.ParseRole(o.Role)
		if !ok {
			return nil, fmt.Errorf("operator %s: unknown role %q", o.Name, o.Role)
		}
		hash, err := hex.DecodeString(o.KeySHA256)
		if err != nil || len(hash) != len(contract.KeyHash{}) {
			return nil, fmt.Errorf("operator %s: key_sha256 is no hash", o.Name)
		}
		operators = append(operators, api.Operator{Name: o.Name, Key: contract.KeyHash(hash), Role: role})
	}
	return operators, nil
}

// dialer opens connections to peers with the certificate of the peer listener.
func dialer(o Options, l settings.Listener) (rpc.Dialer, error) {
	source, err := tlsOf(o, l)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := o.Network.Dial(ctx, addr)
		if err != nil || source == nil {
			return raw, err
		}
		return shakeHands(ctx, raw, addr, source)
	}, nil
}

// shakeHands starts TLS on a connection to a peer.
func shakeHands(ctx context.Context, raw net.Conn, addr string, source *tlsfiles.Source) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	conn := tls.Client(raw, source.Client(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return conn, nil
}
