package rpc

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/link/configcodec"
	"github.com/trefoilwalk/trefoilwalk/link/descriptors"
	"github.com/trefoilwalk/trefoilwalk/link/gobframe"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// Server serves the calls of peers that connect to a listener.
type Server struct {
	server *rpc.Server
	log    hclog.Logger
	// ctx is the context of all calls; Close ends it.
	ctx    context.Context
	cancel context.CancelFunc

	// mu protects conns.
	mu sync.Mutex
	// conns holds the open connections; nil after Close.
	conns map[net.Conn]bool
	// serving counts the goroutines that serve a connection.
	serving sync.WaitGroup
}

// NewServer returns a server for the calls of an entry, of a sidecar or of both; nil
// means that the process has no such part.
func NewServer(entry peer.Entry, sidecar peer.Sidecar, log hclog.Logger) (*Server, error) {
	configcodec.Register()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{server: rpc.NewServer(), ctx: ctx, cancel: cancel, conns: make(map[net.Conn]bool), log: log}
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

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if descriptors.MayAcceptAgain(err) {
			s.log.Warn("connection of a peer not accepted", "error", err)
			select {
			case <-time.After(descriptors.AcceptRetryDelay):
			case <-s.ctx.Done():
				return
			}
			continue
		}
		if err != nil {
			return
		}
		if !s.track(c) {
			_ = c.Close()
			return
		}
		s.serving.Go(func() {
			limited := gobframe.Limit(c, gobframe.MaxMessageBytes)
			s.server.ServeConn(limited)
			if err := limited.TooLong(); err != nil {
				s.log.Warn("connection of a peer closed", "address", c.RemoteAddr().String(), "error", err)
			}
			s.untrack(c)
		})
	}
}

// Shutdown stops reading requests, waits until the replies of running ones are
// written, and closes all connections. If ctx ends first, running calls are
// cancelled as by Close and an error is returned. The caller closes the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopReading()
	answered := make(chan struct{})
	go func() {
		s.serving.Wait()
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

// stopReading ends the reads of all connections. net/rpc then writes the
// outstanding replies before it closes them.
func (s *Server) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close cancels running calls, closes all connections and waits until their
// goroutines have ended.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	s.serving.Wait()
}

// track adds a connection; it reports false if the server is closed.
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

// handleCall runs one call and copies its reply into the value that net/rpc encodes.
func handleCall[Q, R any](ctx context.Context, f func(context.Context, *Q) (*R, error), q *Q, r *R) error {
	reply, err := f(ctx, q)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// entryMethods adapts a peer.Entry to the method signatures of net/rpc.
type entryMethods struct {
	ctx   context.Context
	entry peer.Entry
}

// Heartbeat serves peer.Entry.Heartbeat.
func (m *entryMethods) Heartbeat(q *peer.HeartbeatRequest, r *peer.HeartbeatReply) error {
	return handleCall(m.ctx, m.entry.Heartbeat, q, r)
}

// Rates serves peer.Entry.Rates.
func (m *entryMethods) Rates(q *peer.RatesRequest, r *peer.RatesReply) error {
	return handleCall(m.ctx, m.entry.Rates, q, r)
}

// Sync serves peer.Entry.Sync.
func (m *entryMethods) Sync(q *peer.SyncRequest, r *peer.SyncReply) error {
	return handleCall(m.ctx, m.entry.Sync, q, r)
}

// Query serves peer.Entry.Query.
func (m *entryMethods) Query(q *peer.QueryRequest, r *peer.QueryReply) error {
	return handleCall(m.ctx, m.entry.Query, q, r)
}

// sidecarMethods adapts a peer.Sidecar to the method signatures of net/rpc.
type sidecarMethods struct {
	ctx     context.Context
	sidecar peer.Sidecar
}

// Reserve serves peer.Sidecar.Reserve.
func (m *sidecarMethods) Reserve(q *peer.ReserveRequest, r *peer.ReserveReply) error {
	return handleCall(m.ctx, m.sidecar.Reserve, q, r)
}

// Prefill serves peer.Sidecar.Prefill.
func (m *sidecarMethods) Prefill(q *peer.PrefillRequest, r *peer.PrefillReply) error {
	return handleCall(m.ctx, m.sidecar.Prefill, q, r)
}

// Decode serves peer.Sidecar.Decode.
func (m *sidecarMethods) Decode(q *peer.DecodeRequest, r *peer.DecodeReply) error {
	return handleCall(m.ctx, m.sidecar.Decode, q, r)
}

// Call serves peer.Sidecar.Call.
func (m *sidecarMethods) Call(q *peer.ServiceRequest, r *peer.ServiceReply) error {
	return handleCall(m.ctx, m.sidecar.Call, q, r)
}

// Cancel serves peer.Sidecar.Cancel.
func (m *sidecarMethods) Cancel(q *peer.CancelRequest, r *peer.CancelReply) error {
	return handleCall(m.ctx, m.sidecar.Cancel, q, r)
}

// Poll serves peer.Sidecar.Poll.
func (m *sidecarMethods) Poll(q *peer.PollRequest, r *peer.PollReply) error {
	return handleCall(m.ctx, m.sidecar.Poll, q, r)
}

// Order serves peer.Sidecar.Order.
func (m *sidecarMethods) Order(q *peer.OrderRequest, r *peer.OrderReply) error {
	return handleCall(m.ctx, m.sidecar.Order, q, r)
}

// Sync serves peer.Sidecar.Sync.
func (m *sidecarMethods) Sync(q *peer.SyncRequest, r *peer.SyncReply) error {
	return handleCall(m.ctx, m.sidecar.Sync, q, r)
}

// Query serves peer.Sidecar.Query.
func (m *sidecarMethods) Query(q *peer.QueryRequest, r *peer.QueryReply) error {
	return handleCall(m.ctx, m.sidecar.Query, q, r)
}
