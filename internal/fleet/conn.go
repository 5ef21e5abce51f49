package fleet

import (
	"net"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/zone"
)

// listener takes connections for an instance.
type listener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener. Whoever dialled holds the connection at a
// zone's border, so for this end it stays inside.
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

// conn is a connection of an instance, which may be held.
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
	c.pass()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.pass()
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

// pass waits until nothing holds the connection, or it is closed.
func (c *conn) pass() {
	for end := c.host.held(c.remote); end != nil; end = c.host.held(c.remote) {
		select {
		case <-end:
		case <-c.closed:
			return
		}
	}
}
