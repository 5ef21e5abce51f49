package descriptors

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// AcceptRetryDelay is the pause after an error for which MayAcceptAgain is true.
const AcceptRetryDelay = 50 * time.Millisecond

// MayAcceptAgain reports whether an error of Accept passes: the operating system refused a
// descriptor, or the caller left before it was accepted. A listener that ended on it would
// never accept again.
func MayAcceptAgain(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// reclaimedOnError is how many idle connections are closed when the operating system
// refuses a descriptor.
const reclaimedOnError = 16

// listener counts the connections that it accepts, and waits while none may be.
type listener struct {
	net.Listener
	budget *Budget
	kind   Kind
	// closed is closed by Close.
	closed chan struct{}
	close  func()
}

// Listener returns a listener that accepts connections of l within the budget.
func (b *Budget) Listener(l net.Listener, k Kind) net.Listener {
	closed := make(chan struct{})
	return &listener{Listener: l, budget: b, kind: k, closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.budget.awaitAccept(l.closed) {
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		if err == nil {
			l.budget.take(l.kind, true)
			return &conn{Conn: c, giveBack: sync.OnceFunc(func() { l.budget.giveBack(l.kind) })}, nil
		}
		if !MayAcceptAgain(err) {
			return nil, err
		}
		l.budget.options.Reclaim(reclaimedOnError)
		select {
		case <-time.After(AcceptRetryDelay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.close()
	return l.Listener.Close()
}

// conn returns its descriptor when it is closed.
type conn struct {
	net.Conn
	giveBack func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.giveBack()
	return err
}
