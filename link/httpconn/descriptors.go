package httpconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// ErrNoDescriptors means that a connection was not opened because the process may not open
// more descriptors. It is wrapped besides ErrNotSent.
var ErrNoDescriptors = errors.New("httpconn: no descriptor left for a connection")

// Descriptors bounds the descriptors of the process.
type Descriptors interface {
	// Take counts a connection that is to be opened, or reports that none may be.
	Take() bool
	// Return uncounts a connection that was closed or not opened.
	Return()
}

// countedConn returns its descriptor when it is closed.
type countedConn struct {
	net.Conn
	giveBack func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.giveBack()
	return err
}

// dialCounted opens a connection that is counted until it is closed.
func dialCounted(ctx context.Context, dialer *net.Dialer, descriptors Descriptors, addr string) (net.Conn, error) {
	if descriptors == nil {
		return dial(ctx, dialer, addr)
	}
	if !descriptors.Take() {
		return nil, ErrNoDescriptors
	}
	c, err := dial(ctx, dialer, addr)
	if err != nil {
		descriptors.Return()
		return nil, err
	}
	return &countedConn{Conn: c, giveBack: sync.OnceFunc(descriptors.Return)}, nil
}

func dial(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return nil, fmt.Errorf("%w: %w", ErrNoDescriptors, err)
	}
	return c, err
}

// NetConn returns the connection that is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// underlying returns the connection inside of those that count its bytes or descriptor.
func underlying(c net.Conn) net.Conn {
	for {
		counted, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = counted.NetConn()
	}
}
