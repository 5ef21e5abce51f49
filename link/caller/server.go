package caller

import (
	"net"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// NewServer returns the HTTP server of the callers' listener with all limits
// set; TLSConfig is left unset. There is no timeout for a whole response, since
// streams last for minutes: each write has its own. Requests whose headers are too
// slow, too large or malformed never reach the handler: net/http answers 400 or
// 431 itself, in plain text, and they do not run.
func NewServer(handler http.Handler, limits Limits, log hclog.Logger) *http.Server {
	limits = limits.withDefaults()
	open := &openConns{limit: limits.Connections, counted: make(map[net.Conn]bool)}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         open.track,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// openConns closes new connections above a limit.
type openConns struct {
	limit   int
	mu      sync.Mutex
	counted map[net.Conn]bool
}

// track is the server's ConnState hook. Nothing has been read from a new
// connection, so closing it loses no request.
func (o *openConns) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !o.add(conn) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		o.remove(conn)
	}
}

func (o *openConns) add(conn net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.counted) >= o.limit {
		return false
	}
	o.counted[conn] = true
	return true
}

func (o *openConns) remove(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.counted, conn)
}
