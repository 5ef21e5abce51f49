package rpc

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// Server answers peers on one listener.
type Server struct {
	server *rpc.Server
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// NewServer returns a server that answers for the parts given; nil ones are
// left out.
func NewServer(entry peer.Entry, sidecar peer.Sidecar) (*Server, error) {
	configcodec.Register()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{server: rpc.NewServer(), ctx: ctx, cancel: cancel, conns: make(map[net.Conn]bool)}
	if entry != nil {
		if err := s.server.RegisterName("Entry", &entryMethods{ctx: ctx, entry: entry}); err != nil {
			return nil, fmt.Errorf("peer listener: %w", err)
		}
	}
	if sidecar != nil {
		if err := s.server.RegisterName("Sidecar", &sidecarMethods{ctx: ctx, sidecar: sidecar}); err != nil {
			return nil, fmt.Errorf("peer listener: %w", err)
		}
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
		if !s.track(c) {
			_ = c.Close()
			return
		}
		s.done.Go(func() {
			s.server.ServeConn(c)
			s.untrack(c)
		})
	}
}

// Shutdown reads no more requests, lets the replies of running ones go out, and
// closes all connections. When ctx ends first it is Close.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopReading()
	answered := make(chan struct{})
	go func() {
		s.done.Wait()
		close(answered)
	}()
	var err error
	select {
	case <-answered:
	case <-ctx.Done():
		err = fmt.Errorf("peer listener: %w", context.Cause(ctx))
	}
	s.Close()
	return err
}

// stopReading ends the reading side of all connections. net/rpc then writes the
// replies that are due before it closes them.
func (s *Server) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close ends running calls and closes all connections.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	s.done.Wait()
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// answer runs one call and copies its reply to where net/rpc wants it.
func answer[Q, R any](ctx context.Context, f func(context.Context, *Q) (*R, error), q *Q, r *R) error {
	reply, err := f(ctx, q)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// entryMethods are the calls in the form that net/rpc asks for.
type entryMethods struct {
	ctx   context.Context
	entry peer.Entry
}

// Heartbeat answers a heartbeat.
func (m *entryMethods) Heartbeat(q *peer.HeartbeatRequest, r *peer.HeartbeatReply) error {
	return answer(m.ctx, m.entry.Heartbeat, q, r)
}

// Rates answers what another entry's rate policy says.
func (m *entryMethods) Rates(q *peer.RatesRequest, r *peer.RatesReply) error {
	return answer(m.ctx, m.entry.Rates, q, r)
}

// Sync answers a request for the configuration.
func (m *entryMethods) Sync(q *peer.SyncRequest, r *peer.SyncReply) error {
	return answer(m.ctx, m.entry.Sync, q, r)
}

// Query answers an operator's question.
func (m *entryMethods) Query(q *peer.QueryRequest, r *peer.QueryReply) error {
	return answer(m.ctx, m.entry.Query, q, r)
}

// sidecarMethods are the calls in the form that net/rpc asks for.
type sidecarMethods struct {
	ctx     context.Context
	sidecar peer.Sidecar
}

// Reserve answers a request for a place.
func (m *sidecarMethods) Reserve(q *peer.ReserveRequest, r *peer.ReserveReply) error {
	return answer(m.ctx, m.sidecar.Reserve, q, r)
}

// Prefill answers a request to run a prompt.
func (m *sidecarMethods) Prefill(q *peer.PrefillRequest, r *peer.PrefillReply) error {
	return answer(m.ctx, m.sidecar.Prefill, q, r)
}

// Decode answers a request to start output.
func (m *sidecarMethods) Decode(q *peer.DecodeRequest, r *peer.DecodeReply) error {
	return answer(m.ctx, m.sidecar.Decode, q, r)
}

// Call answers a call of a plain service.
func (m *sidecarMethods) Call(q *peer.ServiceRequest, r *peer.ServiceReply) error {
	return answer(m.ctx, m.sidecar.Call, q, r)
}

// Cancel answers a request to free calls.
func (m *sidecarMethods) Cancel(q *peer.CancelRequest, r *peer.CancelReply) error {
	return answer(m.ctx, m.sidecar.Cancel, q, r)
}

// Poll answers a request for output.
func (m *sidecarMethods) Poll(q *peer.PollRequest, r *peer.PollReply) error {
	return answer(m.ctx, m.sidecar.Poll, q, r)
}

// Order answers an order to the engine.
func (m *sidecarMethods) Order(q *peer.OrderRequest, r *peer.OrderReply) error {
	return answer(m.ctx, m.sidecar.Order, q, r)
}

// Sync answers a request for the configuration.
func (m *sidecarMethods) Sync(q *peer.SyncRequest, r *peer.SyncReply) error {
	return answer(m.ctx, m.sidecar.Sync, q, r)
}

// Query answers an operator's question.
func (m *sidecarMethods) Query(q *peer.QueryRequest, r *peer.QueryReply) error {
	return answer(m.ctx, m.sidecar.Query, q, r)
}
