package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The directions of a connection.
const (
	toTarget = iota
	fromTarget
	directions
)

// proxy forwards TCP connections to an address. It can reset all of them, delay their
// data, or hold it back while the connections stay open.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// resumed holds, for each direction, a channel that is closed when data flows
	// again; nil while it flows.
	resumed [directions]chan struct{}
	// delay applies to each chunk of data.
	delay time.Duration
	// losing is set while all data is lost. A connection that lost data is dead: it stays open
	// and carries nothing more, in both directions.
	losing bool
	conns  map[net.Conn]struct{}
	// dead holds the ends of the dead connections.
	dead map[net.Conn]struct{}
	// answered holds when the last data of the target was forwarded to a client that had not
	// closed its connection, by the address that the target sees.
	answered map[string]time.Time
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return newProxyOn(l, target), nil
}

// newProxyOn returns a proxy that accepts connections from l.
func newProxyOn(l net.Listener, target string) *proxy {
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{}), dead: make(map[net.Conn]struct{}), answered: make(map[string]time.Time)}
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(toTarget, upstream, c) })
	both.Go(func() { p.copy(fromTarget, c, upstream) })
	both.Wait()
	p.mu.Lock()
	for _, end := range []net.Conn{c, upstream} {
		delete(p.conns, end)
		delete(p.dead, end)
	}
	p.mu.Unlock()
}

// copy forwards one direction until it ends and then closes both connections. If it
// ends with an error, the receiving side is reset, so that a broken connection does not
// look like a clean end.
func (p *proxy) copy(direction int, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		resumed, delay := p.resumed[direction], p.delay
		p.mu.Unlock()
		if delay > 0 {
			<-time.After(delay)
		}
		if resumed != nil {
			<-resumed
		}
		if n > 0 && !p.lost(from, to) {
			if direction == fromTarget && !closedByPeer(to) {
				p.mu.Lock()
				p.answered[from.LocalAddr().String()] = time.Now()
				p.mu.Unlock()
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF:
			_ = to.Close()
		default:
			reset(to)
		}
		_ = from.Close()
		return
	}
}

// lost reports whether data of a connection, given by its ends, is lost.
func (p *proxy) lost(ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.losing {
		for _, end := range ends {
			p.dead[end] = struct{}{}
		}
	}
	_, dead := p.dead[ends[0]]
	return dead
}

// setLosing makes the proxy lose all data from now on, or carry that of connections that have
// lost none.
func (p *proxy) setLosing(losing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losing = losing
}

// killOpen makes the connections that are open now dead. New ones work. It returns their number.
func (p *proxy) killOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.dead[c] = struct{}{}
	}
	return len(p.conns) / 2
}

// closedByPeer reports whether the peer of a connection has closed it, or the connection is
// closed. It reads nothing, and may be called beside a Read.
func closedByPeer(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n <= 0 && err != unix.EAGAIN
	})
	return err != nil || closed
}

// answeredSince reports whether data of the target was forwarded to an open connection at or
// after a time; conn is the address that the target sees.
func (p *proxy) answeredSince(conn string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.answered[conn].Before(since)
}

// setSilent holds back the data of the given directions, or lets it flow again.
// Nothing is lost.
func (p *proxy) setSilent(silent bool, which ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, direction := range which {
		resumed := &p.resumed[direction]
		switch {
		case silent && *resumed == nil:
			*resumed = make(chan struct{})
		case !silent && *resumed != nil:
			close(*resumed)
			*resumed = nil
		}
	}
}

// setDelay delays each chunk of data by d.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// heal ends silence and delay; connections that were reset stay closed.
func (p *proxy) heal() {
	p.setSilent(false, toTarget, fromTarget)
	p.setDelay(0)
}

// resetAll resets all open connections; new ones are accepted.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// close stops accepting connections and resets the open ones.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.heal()
	p.resetAll()
}
