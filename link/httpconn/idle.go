package httpconn

import (
	"container/list"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SweepEvery is the least time between two checks of all idle connections. Each check takes
// one system call for up to maxPolled connections.
const SweepEvery = 2 * time.Second

// maxPolled is the number of connections that one system call checks, with the lock of the
// pool held.
const maxPolled = 1024

// CloseReason is why an idle connection was closed.
type CloseReason int

// Reasons to close an idle connection.
const (
	// Expired: it was idle for longer than it may be reused.
	Expired CloseReason = iota
	// PeerClosed: the peer closed it, or sent bytes without a request.
	PeerClosed
	// UpstreamLeft: the server at its address has left, or another one has the address.
	UpstreamLeft
	// Suspect: a call on another connection to its address got no answer.
	Suspect
	// OverLimit: the pool held more idle connections than it may.
	OverLimit
	// Reclaimed: CloseOldestIdle was called.
	Reclaimed
	closeReasons
)

// String returns the name used in metrics.
func (r CloseReason) String() string {
	return [...]string{"expired", "peer_closed", "upstream_left", "suspect", "limit", "descriptors"}[r]
}

// address holds the connections to one address. It is removed with its last connection.
type address struct {
	name string
	// idle holds the idle connections, the most recently used last.
	idle []*conn
	// open counts the connections, idle and in use.
	open int
	// generation rises with each CloseIdle, for the reason closedFor. Connections in use that
	// were opened before are closed after their exchange.
	generation uint64
	closedFor  CloseReason
}

// use adds a new connection, which is in use. The lock must be held.
func (p *Pool) use(c *conn, name string) {
	a, ok := p.addrs[name]
	if !ok {
		a = &address{name: name}
		p.addrs[name] = a
	}
	a.open++
	c.owner, c.generation = a, a.generation
}

// discard closes a connection that is in use.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUsed(c)
}

// closeUsed closes a connection that is not idle. The lock must be held.
func (p *Pool) closeUsed(c *conn) {
	_ = c.Close()
	c.owner.open--
	if c.owner.open == 0 {
		delete(p.addrs, c.owner.name)
	}
}

// closeIdle closes an idle connection. The lock must be held.
func (p *Pool) closeIdle(c *conn, why CloseReason) {
	p.closes[why]++
	p.takeIdle(c)
	p.closeUsed(c)
}

// takeIdle removes a connection from the idle ones. The lock must be held.
func (p *Pool) takeIdle(c *conn) {
	idle := c.owner.idle
	at := slices.Index(idle, c)
	c.owner.idle = slices.Delete(idle, at, at+1)
	p.idle.Remove(c.inIdle)
	c.inIdle = nil
}

// pop takes the most recently used idle connection to an address, nil if there is none.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.addrs[addr]
	if !ok || len(a.idle) == 0 {
		return nil
	}
	c := a.idle[len(a.idle)-1]
	p.takeIdle(c)
	return c
}

// put stores an idle connection, or closes it if the pool is full or closed or the upstream
// has left since the connection was opened. keep is the idle time that the upstream
// announced, 0 without one.
func (p *Pool) put(c *conn, keep time.Duration) {
	idle := p.options.IdleTimeout
	if keep > 0 && keep < idle {
		// A request sent at the last moment would race with the upstream's close.
		idle = keep * 3 / 4
	}
	c.expires = time.Now().Add(idle)
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || len(c.owner.idle) >= p.options.MaxIdle:
		p.closeUsed(c)
		return
	case c.generation != c.owner.generation:
		p.closes[c.owner.closedFor]++
		p.closeUsed(c)
		return
	}
	c.owner.idle = append(c.owner.idle, c)
	c.inIdle = p.idle.PushBack(c)
	if p.idle.Len() > p.options.MaxIdleTotal {
		p.closeIdle(p.idle.Front().Value.(*conn), OverLimit)
	}
	p.scheduleSweep()
}

// scheduleSweep schedules the next sweep unless it is scheduled. The lock must be held.
func (p *Pool) scheduleSweep() {
	if p.sweepSet || p.closed || p.idle.Len() == 0 {
		return
	}
	p.sweepSet = true
	time.AfterFunc(SweepEvery, p.sweep)
}

// sweep closes the idle connections that have expired or that the peer closed. It runs only
// while there are idle connections. The lock is released between batches, so that requests
// do not wait for all of them.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var next *list.Element
	batch := make([]*conn, 0, min(maxPolled, p.idle.Len()))
	for e := p.idle.Front(); e != nil; e = next {
		next = e.Next()
		c := e.Value.(*conn)
		if !now.Before(c.expires) {
			p.closeIdle(c, Expired)
			continue
		}
		batch = append(batch, c)
	}
	for part := range slices.Chunk(batch, maxPolled) {
		p.closeDead(part)
		p.mu.Unlock()
		p.mu.Lock()
	}
	p.sweepSet = false
	p.scheduleSweep()
}

// closeDead closes those connections that are still idle and that have anything to read: the
// peer's close, an error, or bytes that belong to no request. The lock must be held, so that
// none of them is closed or taken meanwhile.
func (p *Pool) closeDead(conns []*conn) {
	polled := make([]unix.PollFd, 0, len(conns))
	polledConns := make([]*conn, 0, len(conns))
	for _, c := range conns {
		if c.inIdle != nil && c.fd >= 0 {
			polled = append(polled, unix.PollFd{Fd: int32(c.fd), Events: unix.POLLIN | unix.POLLRDHUP})
			polledConns = append(polledConns, c)
		}
	}
	if len(polled) == 0 {
		return
	}
	// On an error such as EINTR the next sweep checks again.
	if n, err := unix.Poll(polled, 0); err != nil || n == 0 {
		return
	}
	for i, f := range polled {
		if f.Revents != 0 {
			p.closeIdle(polledConns[i], PeerClosed)
		}
	}
}

// CloseIdle closes the idle connections to an address, and those in use after their
// exchange.
func (p *Pool) CloseIdle(addr string, why CloseReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.addrs[addr]
	if !ok {
		return
	}
	a.generation++
	a.closedFor = why
	for len(a.idle) > 0 {
		p.closeIdle(a.idle[len(a.idle)-1], why)
	}
}

// CloseOldestIdle closes up to n idle connections, those idle longest first, and returns how
// many it closed.
func (p *Pool) CloseOldestIdle(n int) (closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for closed < n && p.idle.Len() > 0 {
		p.closeIdle(p.idle.Front().Value.(*conn), Reclaimed)
		closed++
	}
	return closed
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.Len()
}

// CloseCounts returns how many idle connections were closed, by reason.
func (p *Pool) CloseCounts() map[CloseReason]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[CloseReason]uint64, closeReasons)
	for reason, n := range p.closes {
		out[CloseReason(reason)] = n
	}
	return out
}

// Close closes the idle connections. Those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for p.idle.Len() > 0 {
		c := p.idle.Front().Value.(*conn)
		p.takeIdle(c)
		p.closeUsed(c)
	}
}

// descriptorOf returns the descriptor of a connection, -1 if it has none.
func descriptorOf(c net.Conn) int {
	raw, ok := underlying(c).(syscall.Conn)
	if !ok {
		return -1
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return -1
	}
	out := -1
	if err := control.Control(func(fd uintptr) { out = int(fd) }); err != nil {
		return -1
	}
	return out
}
