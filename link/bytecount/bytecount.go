// Package bytecount counts the bytes that connections carry, by what the connections are for.
package bytecount

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of some connections. It is safe for concurrent use; a nil Counter
// counts nothing.
type Counter struct {
	received, sent atomic.Uint64
}

// Received returns the number of bytes that were read from the connections.
func (c *Counter) Received() uint64 { return c.received.Load() }

// Sent returns the number of bytes that were written to the connections.
func (c *Counter) Sent() uint64 { return c.sent.Load() }

// Conn returns a connection whose bytes are counted.
func (c *Counter) Conn(of net.Conn) net.Conn {
	if c == nil {
		return of
	}
	return &conn{of, c}
}

// Listener returns a listener that accepts connections whose bytes are counted.
func (c *Counter) Listener(of net.Listener) net.Listener {
	return &listener{of, c}
}

type conn struct {
	net.Conn
	counter *Counter
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}

type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(c), nil
}
