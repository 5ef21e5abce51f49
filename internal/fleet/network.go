package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// outside is the place of callers and of the platform, in no zone.
const outside zone.AvailabilityZone = ""

// loopback is where everything listens, on a port that is free.
const loopback = "127.0.0.1:0"

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

// place gives where an address is.
func (n *network) place(addr string) zone.AvailabilityZone {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[addr]
}

// host is the network as one instance sees it. It implements process.Network.
type host struct {
	network *network
	zone    zone.AvailabilityZone

	mu sync.Mutex
	// paused is closed when a pause ends; nil outside of one.
	paused chan struct{}
	dead   bool
	conns  map[*conn]bool
}

// host makes the network of an instance in a zone.
func (n *network) host(z zone.AvailabilityZone) *host {
	return &host{network: n, zone: z, conns: make(map[*conn]bool)}
}

// Listen implements process.Network.
func (h *host) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.places[l.Addr().String()] = h.zone
	return &listener{Listener: l, host: h}, nil
}

// Dial implements process.Network.
func (h *host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := h.network.place(addr)
	for end := h.held(to); end != nil; end = h.held(to) {
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
	return h.add(raw, to)
}

// Transport implements process.Network.
func (h *host) Transport() http.RoundTripper {
	return h.transport()
}

func (h *host) transport() *http.Transport {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return h.Dial(ctx, addr) }
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConns}
}

// idleConns bounds the idle connections from one instance to another.
const idleConns = 256

// add takes a connection in, or closes it when the instance is dead.
func (h *host) add(raw net.Conn, remote zone.AvailabilityZone) (net.Conn, error) {
	c := &conn{Conn: raw, host: h, remote: remote, closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	h.conns[c] = true
	return c, nil
}

// kill closes all connections at once; nothing is sent or received after it.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	conns := h.conns
	h.conns = make(map[*conn]bool)
	h.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// pause holds all that the instance sends and receives, or lets it go on. What
// its clock does meanwhile goes on inside, as it must in one process.
func (h *host) pause(paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if paused == (h.paused != nil) {
		return
	}
	if paused {
		h.paused = make(chan struct{})
		return
	}
	close(h.paused)
	h.paused = nil
}

// held gives the channel to wait for before anything passes to a zone; nil if
// nothing holds it.
func (h *host) held(remote zone.AvailabilityZone) <-chan struct{} {
	h.mu.Lock()
	paused := h.paused
	h.mu.Unlock()
	if paused != nil {
		return paused
	}
	return h.network.border(h.zone, remote)
}
