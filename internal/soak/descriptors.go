package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Figures of the faults of descriptors.
const (
	// gatewayDescriptors is the setting of each gateway. Half of it is counted.
	gatewayDescriptors = 400
	// keptConnections is more than a gateway may accept, keptFor how long they are kept:
	// longer than stableWindow.
	keptConnections = 260
	keptFor         = 4500 * time.Millisecond
	// crowdedFor is how long connections are kept as a fault.
	crowdedFor = 1500 * time.Millisecond
	// leaveDelay is the time from a runner's notice that it leaves to its exit.
	leaveDelay = 400 * time.Millisecond
	// stableWindow is how long a gateway that is ready may accept no connection.
	stableWindow = 3 * time.Second
	// departedWithin is the time after the last fault in which connections to runners that
	// left must be closed: a request in flight, and a sweep of idle connections.
	departedWithin = requestTimeout + 4*time.Second
)

// departures holds the runners that left for good and the work that outlasts a fault.
type departures struct {
	ports *portRange
	// nodes and addrs are those of runners that left; the addresses are not used again.
	nodes   []*runnerNode
	addrs   []string
	pending sync.WaitGroup
	count   int
}

// replaceRunner starts a runner at a new address and lets an old one leave: it says so, stays
// until its last answers are sent, and exits, after which nothing listens at its address.
func (s *soak) replaceRunner() {
	i := s.random.IntN(len(s.runners))
	old := s.runners[i]
	node, err := s.startSuccessor(old)
	if err == nil {
		err = s.register(node)
	}
	if err != nil {
		s.failCheck("the successor of runner %s was not started: %v", old.id(), err)
		return
	}
	s.runners[i] = node
	old.runner.SetFaults(userplatform.Faults{Leaving: true})
	s.departures.nodes = append(s.departures.nodes, old)
	s.departures.addrs = append(s.departures.addrs, old.frontProxy.addr())
	s.departures.pending.Add(1)
	time.AfterFunc(leaveDelay, func() {
		defer s.departures.pending.Done()
		if err := s.store.Put("servers", old.id(), nil); err != nil {
			s.failCheck("runner %s was not removed: %v", old.id(), err)
		}
		old.exit()
	})
}

// startSuccessor starts a runner that takes the place of another one, and does not register it.
func (s *soak) startSuccessor(old *runnerNode) (*runnerNode, error) {
	s.departures.count++
	id := fmt.Sprintf("n-%d", s.departures.count)
	r := userplatform.NewRunner(id, old.phase, s.ledger, s.options.Seed+uint64(100+s.departures.count))
	node, err := s.startRunner(r, old.phase, id)
	if err == nil {
		node.zone = old.zone
	}
	return node, err
}

// exit closes the runner's address and then its connections, as the end of a process does:
// the gateways' ends stay open until they close them.
func (r *runnerNode) exit() {
	_ = r.frontProxy.listener.Close()
	r.frontProxy.heal()
	_ = r.server.Close()
}

// startRunner serves a runner behind a proxy, at an address that is not used again in the run.
func (s *soak) startRunner(r *userplatform.Runner, phase, id string) (*runnerNode, error) {
	server, target, err := serveHTTP(r)
	if err != nil {
		return nil, err
	}
	s.servers = append(s.servers, server)
	listener, err := s.departures.ports.listen()
	if err != nil {
		return nil, err
	}
	return &runnerNode{runner: r, frontProxy: newProxyOn(listener, target), phase: phase, ids: []string{id}, server: server}, nil
}

// crowd opens more connections to a gateway than it may accept, and keeps them for a while.
func (s *soak) crowd(g *process) {
	s.departures.pending.Go(func() {
		conns := openMany(g.callersAddr)
		<-time.After(crowdedFor)
		closeAll(conns)
	})
}

// openMany opens keptConnections, or fewer if the gateway is not running or its queue of
// connections is full.
func openMany(addr string) (conns []net.Conn) {
	for range keptConnections {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	return conns
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// checkCrowded crowds a gateway. It checks that the gateway accepts further connections or
// says that it is not ready, and that it is ready again afterwards.
func (s *soak) checkCrowded(ctx context.Context) {
	s.departures.pending.Wait()
	g := s.randomGateway()
	conns := openMany(g.callersAddr)
	deafSince := time.Now()
	for begin := deafSince; time.Since(begin) < keptFor && g.ready(); clock.Wait(ctx, retryEvery) {
		if answers(g.callersAddr) {
			deafSince = time.Now()
		}
		if time.Since(deafSince) > stableWindow && g.ready() {
			s.failCheck("gateway at %s is ready and accepted no connection for %v", g.callersAddr, time.Since(deafSince))
			break
		}
	}
	closeAll(conns)
	for end := time.Now().Add(s.options.RecoverWithin); !g.ready() || !answers(g.callersAddr); clock.Wait(ctx, retryEvery) {
		if time.Now().After(end) || ctx.Err() != nil {
			s.failCheck("gateway at %s is not ready %v after %d connections to it were closed", g.callersAddr, s.options.RecoverWithin, len(conns))
			return
		}
	}
}

// ready asks a gateway, on a new connection, whether it is ready.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.readinessAddr + "/trefoilwalk/readiness")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// answers reports whether a new connection gets an answer of any status within a second.
func answers(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// checkDeparted checks that connections to runners that left are closed and that nothing
// listens at their addresses.
func (s *soak) checkDeparted(ctx context.Context) {
	s.departures.pending.Wait()
	end := time.Now().Add(departedWithin)
	for _, addr := range s.departures.addrs {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			s.failCheck("the address %s of a runner that left accepts a connection", addr)
		}
	}
	for {
		left, err := connectionsTo(s.departures.addrs)
		switch {
		case err != nil:
			s.failCheck("connections cannot be listed: %v", err)
			return
		case left == 0:
			return
		case time.Now().After(end) || ctx.Err() != nil:
			s.failCheck("%d connections to %d runners that left are open %v after the last fault", left, len(s.departures.addrs), departedWithin)
			return
		}
		select {
		case <-time.After(retryEvery):
		case <-ctx.Done():
		}
	}
}

// connectionsTo counts the connections of this machine to some addresses that the side that
// opened them has not closed.
func connectionsTo(addrs []string) (n int, err error) {
	wanted := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return 0, err
		}
		ip := a.Addr().As4()
		// The kernel writes the bytes of the address as one number of the machine's order.
		wanted[fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())] = true
	}
	const established, closeWait = "01", "08"
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && wanted[fields[2]] && (fields[3] == established || fields[3] == closeWait) {
			n++
		}
	}
	return n, nil
}
