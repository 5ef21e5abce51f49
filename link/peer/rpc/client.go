// Package rpc carries the messages of package peer over net/rpc with its gob
// encoding, on TCP or TLS connections. ConnPool is the client side with one
// connection per peer, Server the listening side. Entries and sidecars use both;
// what a message means is left to them.
package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/gobframe"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
)

// DialTimeout limits the time to open a connection.
const DialTimeout = 500 * time.Millisecond

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// PlainDialer opens TCP connections without TLS.
func PlainDialer(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// ConnPool is a pool with one connection to each peer, and another one for exchanges of
// configurations, which are long: no other call waits behind them. A broken connection is
// dropped and the next call opens a new one. It is safe for concurrent use.
type ConnPool struct {
	dial Dialer
	// long has the connections for exchanges of configurations; nil in itself. Only these
	// report progress: others carry many short calls.
	long *ConnPool

	// mu protects conns.
	mu sync.Mutex
	// conns is keyed by address.
	conns map[string]*conn
	// checkedAt is when unused connections were last looked for.
	checkedAt time.Time
}

// unusedAfter is how long a connection is kept without a call. Processes of a fleet call each
// other within seconds; a polled sidecar is called without a pause.
const unusedAfter = time.Minute

// conn is one connection, or the attempt to open it. client and err are set
// before opened is closed and do not change afterwards.
type conn struct {
	opened chan struct{}
	client *rpc.Client
	err    error
	// closed is set before this process closes the connection.
	closed atomic.Bool
	// calls counts the calls that use the connection, and usedAt is when the last one began
	// or ended. The pool's lock protects both.
	calls  int
	usedAt time.Time

	// callersMu protects callers, the contexts of the calls in flight.
	callersMu sync.Mutex
	callers   map[context.Context]bool
}

// reportingConn reports what it reads and writes as progress of all calls in flight on a
// connection: a call can only wait behind others on it.
type reportingConn struct {
	net.Conn
	owner *conn
}

// reportedBytes is what is written between two reports.
const reportedBytes = 64 << 10

// Read implements net.Conn.
func (r *reportingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		r.owner.report()
	}
	return n, err
}

// Write implements net.Conn.
func (r *reportingConn) Write(p []byte) (written int, err error) {
	for {
		n, err := r.Conn.Write(p[written:min(len(p), written+reportedBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		r.owner.report()
	}
}

func (c *conn) report() {
	c.callersMu.Lock()
	defer c.callersMu.Unlock()
	for ctx := range c.callers {
		progress.Report(ctx)
	}
}

// follow adds a call in flight; the caller must call the function that it returns at its end.
func (c *conn) follow(ctx context.Context) (end func()) {
	c.callersMu.Lock()
	defer c.callersMu.Unlock()
	c.callers[ctx] = true
	return func() {
		c.callersMu.Lock()
		defer c.callersMu.Unlock()
		delete(c.callers, ctx)
	}
}

// close closes the connection; its running calls fail.
func (c *conn) close() {
	c.closed.Store(true)
	if c.client != nil {
		_ = c.client.Close()
	}
}

// NewConnPool returns a pool that opens connections with dial when they are needed.
func NewConnPool(dial Dialer) *ConnPool {
	configcodec.Register()
	d := newConnPool(dial)
	d.long = newConnPool(dial)
	return d
}

func newConnPool(dial Dialer) *ConnPool {
	return &ConnPool{dial: dial, conns: make(map[string]*conn)}
}

// Close closes all connections; running calls fail with ErrNoAnswer. It waits for
// connections that are being opened.
func (d *ConnPool) Close() {
	if d.long != nil {
		d.long.Close()
	}
	d.mu.Lock()
	conns := d.conns
	d.conns = make(map[string]*conn)
	d.mu.Unlock()
	for _, c := range conns {
		<-c.opened
		c.close()
	}
}

// Call calls a method of a peer. An error is a *peer.CallError that wraps
// ErrNotSent, ErrNoAnswer or ErrRefused of package peer.
func (d *ConnPool) Call(ctx context.Context, addr, method string, request, reply any) error {
	fail := func(kind error, cause error) error {
		return &peer.CallError{Peer: addr, Method: method, Err: errors.Join(kind, cause)}
	}
	c, err := d.connect(ctx, addr)
	defer d.release(c)
	if err != nil {
		return fail(peer.ErrNotSent, err)
	}
	if d.long == nil {
		defer c.follow(ctx)()
	}
	call, err := d.send(ctx, addr, c, method, request, reply)
	if err != nil {
		return fail(peer.ErrNoAnswer, err)
	}
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fail(peer.ErrNoAnswer, context.Cause(ctx))
	}
	var refused rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case errors.As(call.Error, &refused):
		return fail(peer.ErrRefused, call.Error)
	case errors.Is(call.Error, rpc.ErrShutdown) && !c.closed.Load():
		// The connection broke before this call, so nothing was written. After
		// this process has closed it, net/rpc returns the same error for calls
		// that were sent, so those count as ErrNoAnswer.
		d.dropConn(addr, c)
		return fail(peer.ErrNotSent, call.Error)
	default:
		d.dropConn(addr, c)
		return fail(peer.ErrNoAnswer, call.Error)
	}
}

// send writes a request. The write blocks while the peer does not read and the
// connection's buffers are full. If ctx ends first, the connection is closed,
// since part of the request may have been written.
func (d *ConnPool) send(ctx context.Context, addr string, c *conn, method string, request, reply any) (*rpc.Call, error) {
	sent := make(chan *rpc.Call, 1)
	go func() { sent <- c.client.Go(method, request, reply, make(chan *rpc.Call, 1)) }()
	select {
	case call := <-sent:
		return call, nil
	case <-ctx.Done():
		d.dropConn(addr, c)
		return nil, context.Cause(ctx)
	}
}

// connect returns the peer's connection and opens it if there is none. Concurrent
// callers share one attempt; if ctx ends, the attempt goes on for the others. The caller must
// release the connection, also on an error.
func (d *ConnPool) connect(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	d.mu.Lock()
	d.closeUnused(now)
	c, ok := d.conns[addr]
	if !ok {
		c = &conn{opened: make(chan struct{}), callers: make(map[context.Context]bool)}
		d.conns[addr] = c
		go d.open(addr, c)
	}
	c.calls++
	c.usedAt = now
	d.mu.Unlock()
	select {
	case <-c.opened:
		return c, c.err
	case <-ctx.Done():
		return c, context.Cause(ctx)
	}
}

// release ends the use of a connection by a call.
func (d *ConnPool) release(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.calls--
	c.usedAt = time.Now()
}

// closeUnused closes the connections without a call for unusedAfter. The lock must be held.
func (d *ConnPool) closeUnused(now time.Time) {
	if now.Sub(d.checkedAt) < unusedAfter/2 {
		return
	}
	d.checkedAt = now
	for addr, c := range d.conns {
		if c.calls == 0 && now.Sub(c.usedAt) > unusedAfter {
			delete(d.conns, addr)
			c.close()
		}
	}
}

// open dials. A failed connection is dropped so that the next call dials again.
func (d *ConnPool) open(addr string, c *conn) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, addr)
	if err != nil {
		c.err = err
		d.dropConn(addr, c)
	} else {
		if d.long == nil {
			raw = &reportingConn{raw, c}
		}
		c.client = rpc.NewClient(gobframe.Limit(raw, gobframe.MaxMessageBytes))
	}
	close(c.opened)
}

// dropConn closes a connection and removes it, unless a newer one took its place.
func (d *ConnPool) dropConn(addr string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[addr] == c {
		delete(d.conns, addr)
	}
	c.close()
}
