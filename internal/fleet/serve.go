package fleet

import (
	"net"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// headerTimeout bounds the headers of a request to a stand-in.
const headerTimeout = 5 * time.Second

// serve answers HTTP on a listener until the fleet is closed.
func (f *Fleet) serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return server
}

// identity names an instance that starts now.
func identity(name string, place zone.Place) instance.Identity {
	return instance.Identity{
		Name:        instance.Name(name),
		Incarnation: instance.Incarnation(time.Now().UnixNano()),
		Place:       place,
	}
}

// peerListener answers peers' messages.
type peerListener struct {
	listener net.Listener
	server   *rpc.Server
}

// listenPeers starts to answer for an entry or a sidecar; the other is nil.
func listenPeers(l net.Listener, entry peer.Entry, sidecar peer.Sidecar) (*peerListener, error) {
	server, err := rpc.NewServer(entry, sidecar)
	if err != nil {
		return nil, err
	}
	go server.Serve(l)
	return &peerListener{l, server}, nil
}

func (p *peerListener) close() {
	_ = p.listener.Close()
	p.server.Close()
}
