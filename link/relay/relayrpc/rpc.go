// Package relayrpc carries the messages of package relay between gateways over
// net/rpc with its gob encoding. Client is the calling side, Server the listening
// side; the gateway that uses both interprets the messages.
package relayrpc

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/link/gobframe"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
)

const (
	service        = "Relay"
	exchangeMethod = service + ".Exchange"
	fetchMethod    = service + ".Fetch"
)

const (
	// maxFetches bounds the fetches that are served at a time, so that each of them gets a
	// part of the link with which it ends.
	maxFetches = 4
	// fetchTimeout bounds the time that a connection may serve a fetch, also if its client is
	// unreachable.
	fetchTimeout = 20 * time.Second
)

var errTooManyFetches = fmt.Errorf("relay: %d fetches are being served", maxFetches)

// Methods adapts a relay.Server to the method signatures of net/rpc, for one connection. It
// is exported because net/rpc calls only methods of exported types.
type Methods struct {
	ctx    context.Context
	server relay.Server
	conn   net.Conn
	// fetches has a value for each connection that serves a fetch; fetching is set while
	// this one does.
	fetches      chan struct{}
	fetchTimeout time.Duration
	fetching     atomic.Bool
}

// Exchange serves relay.Server.Exchange.
func (m *Methods) Exchange(q *relay.Message, reply *relay.Reply) error {
	r, err := m.server.Exchange(m.ctx, *q)
	*reply = r
	return err
}

// Fetch serves relay.Server.Fetch. The connection counts as one that serves a fetch until it
// is closed.
func (m *Methods) Fetch(w *relay.Want, reply *relay.State) error {
	if m.fetching.CompareAndSwap(false, true) {
		select {
		case m.fetches <- struct{}{}:
		default:
			m.fetching.Store(false)
			return errTooManyFetches
		}
	}
	if err := m.conn.SetDeadline(time.Now().Add(m.fetchTimeout)); err != nil {
		return fmt.Errorf("relay: fetch: %w", err)
	}
	s, err := m.server.Fetch(m.ctx, *w)
	*reply = s
	return err
}

// close must be called after the last call.
func (m *Methods) close() {
	if m.fetching.Load() {
		<-m.fetches
	}
}

// Server serves the calls of gateways that connect to a listener.
type Server struct {
	ctx     context.Context
	server  relay.Server
	fetches chan struct{}
	// fetchTimeout is the constant but in tests.
	fetchTimeout time.Duration
	log          hclog.Logger

	// mu protects conns and closed.
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server whose calls are cancelled when ctx ends.
func NewServer(ctx context.Context, server relay.Server, log hclog.Logger) *Server {
	return &Server{
		ctx: ctx, server: server, fetches: make(chan struct{}, maxFetches), fetchTimeout: fetchTimeout,
		conns: make(map[net.Conn]struct{}), log: log,
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go func() {
			s.serve(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serve serves the calls on a connection until it is closed.
func (s *Server) serve(c net.Conn) {
	methods := &Methods{ctx: s.ctx, server: s.server, conn: c, fetches: s.fetches, fetchTimeout: s.fetchTimeout}
	defer methods.close()
	server := rpc.NewServer()
	if err := server.RegisterName(service, methods); err != nil {
		s.log.Error("relay listener", "error", err)
		_ = c.Close()
		return
	}
	limited := gobframe.Limit(c, gobframe.MaxMessageBytes)
	server.ServeConn(limited)
	if err := limited.TooLong(); err != nil {
		s.log.Warn("connection of a peer closed", "address", c.RemoteAddr().String(), "error", err)
	}
}

// Close closes all connections; later ones are closed when they are accepted. It
// does not close the listener and does not wait for running calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// Client implements relay.Dialer with one connection to each address for exchanges, and one
// for each fetch, so that a long answer delays no exchange.
type Client struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	// mu protects conns, which is keyed by address, and checkedAt, when unused
	// connections were last looked for.
	mu        sync.Mutex
	conns     map[string]*clientConn
	checkedAt time.Time
}

// clientConn is a connection and when its last call began.
type clientConn struct {
	*rpc.Client
	usedAt time.Time
}

// unusedAfter is how long a connection is kept without a call. Pairs of gateways call each
// other every few seconds at most; one that left the fleet is called for 15 s.
const unusedAfter = 30 * time.Second

// NewClient returns a client that opens connections with dial when they are needed.
func NewClient(dial func(ctx context.Context, addr string) (net.Conn, error)) *Client {
	return &Client{dial: dial, conns: make(map[string]*clientConn)}
}

// Exchange implements relay.Dialer. A call that fails closes the connection, and the
// next call to the address opens a new one.
func (c *Client) Exchange(ctx context.Context, addr string, m relay.Message) (relay.Reply, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return relay.Reply{}, fmt.Errorf("relay to %s: %w", addr, err)
	}
	var reply relay.Reply
	call := conn.Go(exchangeMethod, &m, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		c.drop(addr, conn)
		return relay.Reply{}, fmt.Errorf("relay to %s: %w", addr, err)
	}
	return reply, nil
}

// Fetch implements relay.Dialer.
func (c *Client) Fetch(ctx context.Context, addr string, w relay.Want) (relay.State, error) {
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return relay.State{}, fmt.Errorf("fetch from %s: %w", addr, err)
	}
	client := rpc.NewClient(gobframe.Limit(&reportingConn{raw, ctx}, gobframe.MaxMessageBytes))
	defer func() { _ = client.Close() }()
	var state relay.State
	call := client.Go(fetchMethod, &w, &state, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		return relay.State{}, fmt.Errorf("fetch from %s: %w", addr, err)
	}
	return state, nil
}

// reportingConn reports the bytes that arrive as progress of the call of ctx.
type reportingConn struct {
	net.Conn
	ctx context.Context
}

// Read implements net.Conn.
func (c *reportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		progress.Report(c.ctx)
	}
	return n, err
}

// conn returns the connection to an address and opens it if there is none. Of two
// that are opened at once, the second is closed.
func (c *Client) conn(ctx context.Context, addr string) (*clientConn, error) {
	now := time.Now()
	c.mu.Lock()
	c.closeUnused(now)
	conn, ok := c.conns[addr]
	if ok {
		conn.usedAt = now
	}
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn = &clientConn{Client: rpc.NewClient(gobframe.Limit(raw, gobframe.MaxMessageBytes)), usedAt: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[addr]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[addr] = conn
	return conn, nil
}

// closeUnused closes the connections without a call for unusedAfter, which no call in flight
// uses: calls are shorter. The lock must be held.
func (c *Client) closeUnused(now time.Time) {
	if now.Sub(c.checkedAt) < unusedAfter/2 {
		return
	}
	c.checkedAt = now
	for addr, conn := range c.conns {
		if now.Sub(conn.usedAt) > unusedAfter {
			_ = conn.Close()
			delete(c.conns, addr)
		}
	}
}

// drop closes a connection and removes it, unless a newer one took its place.
func (c *Client) drop(addr string, conn *clientConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}
