// Package silenttest serves HTTP to tests over connections that go silent together.
package silenttest

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Server serves HTTP. Its connections can go silent: they stay open and carry no more answers.
type Server struct {
	// URL and Addr are those of the server.
	URL, Addr string

	server *httptest.Server

	mu sync.Mutex
	// known holds the remote addresses of all connections, silent those of the silent ones.
	known, silent map[string]bool
	// arrived counts the first calls, which are answered together once there are wanted.
	arrived, wanted int
	together        chan struct{}
}

// New starts a server that answers as answer does. It answers the first calls together, once
// there are as many as conns, so that each has a connection of its own.
func New(t testing.TB, conns int, answer http.HandlerFunc) *Server {
	s := &Server{known: make(map[string]bool), silent: make(map[string]bool), wanted: conns, together: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.receive(q.RemoteAddr) {
			<-q.Context().Done()
			return
		}
		<-s.together
		answer(w, q)
	}))
	s.URL, s.Addr = s.server.URL, s.server.Listener.Addr().String()
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

// receive records a call and reports whether its connection is silent.
func (s *Server) receive(conn string) (silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[conn] = true
	s.arrived++
	if s.arrived == s.wanted {
		close(s.together)
	}
	return s.silent[conn]
}

// Silence makes the connections silent that are open now. New ones are answered.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.known {
		s.silent[conn] = true
	}
}
