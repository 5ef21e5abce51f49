package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// clients is the place of callers, which no cut of a zone holds.
const clients zone.AvailabilityZone = ""

// network knows where each address is and holds what passes the border of a zone
// that is cut off. Connections are not closed: they go on after the cut.
type network struct {
	mu     sync.Mutex
	places map[string]zone.AvailabilityZone
	// cut holds, for each zone that is cut off, a channel closed at its end.
	cut map[zone.AvailabilityZone]chan struct{}
}

func newNetwork() *network {
	return &network{
		places: make(map[string]zone.AvailabilityZone),
		cut:    make(map[zone.AvailabilityZone]chan struct{}),
	}
}

// listen opens a listener on the loopback in a zone.
func (n *network) listen(z zone.AvailabilityZone, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[l.Addr().String()] = z
	return l, nil
}

// setCut cuts a zone off, or joins it again.
func (n *network) setCut(z zone.AvailabilityZone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end, is := n.cut[z]
	if cut == is {
		return
	}
	if cut {
		n.cut[z] = make(chan struct{})
		return
	}
	close(end)
	delete(n.cut, z)
}

// border gives the channel to wait for before anything passes between two zones;
// nil if nothing holds it.
func (n *network) border(a, b zone.AvailabilityZone) <-chan struct{} {
	if a == b {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if end, cut := n.cut[a]; cut {
		return end
	}
	if end, cut := n.cut[b]; cut {
		return end
	}
	return nil
}

// dialer opens connections from a zone.
func (n *network) dialer(from zone.AvailabilityZone) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.places[addr]
		n.mu.Unlock()
		for end := n.border(from, to); end != nil; end = n.border(from, to) {
			select {
			case <-end:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &gated{Conn: raw, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// transport makes HTTP calls from a zone.
func (n *network) transport(from zone.AvailabilityZone) *http.Transport {
	dial := n.dialer(from)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, addr)
		},
		MaxIdleConnsPerHost: 256,
	}
}

// gated is a connection that may pass a zone's border.
type gated struct {
	net.Conn
	network  *network
	from, to zone.AvailabilityZone
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (g *gated) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	g.pass()
	return n, err
}

// Write implements net.Conn.
func (g *gated) Write(p []byte) (int, error) {
	g.pass()
	return g.Conn.Write(p)
}

// Close implements net.Conn.
func (g *gated) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.Conn.Close()
}

// pass waits until nothing holds the connection, or it is closed.
func (g *gated) pass() {
	for end := g.network.border(g.from, g.to); end != nil; end = g.network.border(g.from, g.to) {
		select {
		case <-end:
		case <-g.closed:
			return
		}
	}
}

// local is the network as one zone sees it. It implements process.Network.
type local struct {
	*network
	zone zone.AvailabilityZone
}

// in gives the network of a zone.
func (n *network) in(z zone.AvailabilityZone) local {
	return local{n, z}
}

// Listen implements process.Network.
func (l local) Listen(addr string) (net.Listener, error) {
	return l.listen(l.zone, addr)
}

// Dial implements process.Network.
func (l local) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return l.dialer(l.zone)(ctx, addr)
}

// Transport implements process.Network.
func (l local) Transport() http.RoundTripper {
	return l.transport(l.zone)
}
