package fleet

import (
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the time to read the headers of a request to a stand-in.
const headerTimeout = 5 * time.Second

// serve runs an HTTP server on a listener until the fleet is closed.
func (f *Fleet) serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return server
}
