// Package relayrpc carries the messages between gateways over net/rpc.
package relayrpc

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/link/relay"
)

const (
	service = "Relay"
	method  = service + ".Exchange"
)

// Methods is the receiver of the remote calls.
type Methods struct {
	ctx    context.Context
	server relay.Server
}

// Exchange answers one message.
func (m *Methods) Exchange(q *relay.Message, reply *relay.Reply) error {
	r, err := m.server.Exchange(m.ctx, *q)
	*reply = r
	return err
}

// Server answers on a listener.
type Server struct {
	rpc *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server whose calls end with ctx.
func NewServer(ctx context.Context, server relay.Server) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName(service, &Methods{ctx: ctx, server: server}); err != nil {
		return nil, fmt.Errorf("relay listener: %w", err)
	}
	return s, nil
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
			s.rpc.ServeConn(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// Client implements relay.Dialer with one connection to each address.
type Client struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, addr string) (net.Conn, error)) *Client {
	return &Client{dial: dial, conns: make(map[string]*rpc.Client)}
}

// Exchange implements relay.Dialer. A call that fails closes the connection.
func (c *Client) Exchange(ctx context.Context, addr string, m relay.Message) (relay.Reply, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return relay.Reply{}, fmt.Errorf("relay to %s: %w", addr, err)
	}
	var reply relay.Reply
	call := conn.Go(method, &m, &reply, make(chan *rpc.Call, 1))
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

func (c *Client) conn(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[addr]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn = rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[addr]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) drop(addr string, conn *rpc.Client) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}
