package fleet

import (
	"net"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// listener accepts connections for an instance and wraps them.
type listener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener. The dialling end holds traffic between zones, so
// this end treats the connection as one within its own zone.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, err := l.host.add(raw, l.host.zone); err == nil {
			return c, nil
		}
	}
}

// conn is a connection of an instance. Reads and writes wait while the instance is
// paused or one of the two zones is cut off.
type conn struct {
	net.Conn
	host   *host
	remote zone.AvailabilityZone
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitUnblocked()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.waitUnblocked()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

// waitUnblocked waits until no pause or cut blocks the connection, or until it is
// closed.
func (c *conn) waitUnblocked() {
	for end := c.host.blockEnd(c.remote); end != nil; end = c.host.blockEnd(c.remote) {
		select {
		case <-end:
		case <-c.closed:
			return
		}
	}
}
