package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// outside stands for the location of callers and the platform, which are in no
// zone.
const outside zone.AvailabilityZone = ""

// loopback is the listen address of all parts: a free port of the loopback
// interface.
const loopback = "127.0.0.1:0"

// network knows the zone of each address and blocks traffic into and out of zones
// that are cut off. Connections stay open and resume after the cut.
type network struct {
	mu    sync.Mutex
	zones map[string]zone.AvailabilityZone
	// cut has a channel for each zone that is cut off, closed when the cut ends.
	cut map[zone.AvailabilityZone]chan struct{}
}

func newNetwork() *network {
	return &network{
		zones: make(map[string]zone.AvailabilityZone),
		cut:   make(map[zone.AvailabilityZone]chan struct{}),
	}
}

// setCut cuts a zone off or ends its cut; a repeated call has no effect.
func (n *network) setCut(z zone.AvailabilityZone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end, isCut := n.cut[z]
	if cut == isCut {
		return
	}
	if cut {
		n.cut[z] = make(chan struct{})
		return
	}
	close(end)
	delete(n.cut, z)
}

// cutEnd returns a channel that is closed when a cut between two zones
// ends, or nil if neither is cut off. After one cut ends, the other zone may still
// be cut off.
func (n *network) cutEnd(a, b zone.AvailabilityZone) <-chan struct{} {
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

// zoneOf returns the zone of an address; unknown addresses are outside.
func (n *network) zoneOf(addr string) zone.AvailabilityZone {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[addr]
}

// host is the network of one instance. It implements process.Network. Its mu is
// not held while network.mu is locked.
type host struct {
	network *network
	zone    zone.AvailabilityZone

	mu sync.Mutex
	// paused is closed when the pause ends; nil if the instance is not paused.
	paused chan struct{}
	dead   bool
	conns  map[*conn]bool
}

// newHost returns the network of a new instance in a zone.
func (n *network) newHost(z zone.AvailabilityZone) *host {
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
	h.network.zones[l.Addr().String()] = h.zone
	return &listener{Listener: l, host: h}, nil
}

// Dial implements process.Network.
func (h *host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := h.network.zoneOf(addr)
	for end := h.blockEnd(to); end != nil; end = h.blockEnd(to) {
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
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConns}
}

// maxIdleConns bounds the idle connections from one instance to another.
const maxIdleConns = 256

// add wraps and registers a connection. If the instance was killed it closes the
// connection and returns net.ErrClosed.
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

// kill closes all connections; nothing is sent or received after it.
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

// pause blocks all traffic of the instance, or resumes it. Its timers run on,
// because all instances share one process.
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

// blockEnd returns a channel that is closed when a pause of the instance or a cut
// between it and the remote zone ends, or nil if traffic may pass. The caller
// checks again after the close.
func (h *host) blockEnd(remote zone.AvailabilityZone) <-chan struct{} {
	h.mu.Lock()
	paused := h.paused
	h.mu.Unlock()
	if paused != nil {
		return paused
	}
	return h.network.cutEnd(h.zone, remote)
}
