package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// The directions of a connection.
const (
	toTarget = iota
	fromTarget
	directions
)

// proxy carries connections to an address and can break them: all are reset, or
// stay open and carry nothing more.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// opened is closed when silence ends, for each direction.
	opened [directions]chan struct{}
	// delay holds back what is carried.
	delay time.Duration
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(c net.Conn) {
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
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy carries one direction and ends both sides with it. An end that is not clean
// must not look like one.
func (p *proxy) copy(direction int, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		opened, delay := p.opened[direction], p.delay
		p.mu.Unlock()
		if delay > 0 {
			<-time.After(delay)
		}
		if opened != nil {
			<-opened
		}
		if n > 0 {
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

// setSilent holds back the bytes of some directions, or lets them go again.
func (p *proxy) setSilent(silent bool, which ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, direction := range which {
		opened := &p.opened[direction]
		switch {
		case silent && *opened == nil:
			*opened = make(chan struct{})
		case !silent && *opened != nil:
			close(*opened)
			*opened = nil
		}
	}
}

// setDelay holds back what is carried for a while.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// heal ends all that was done to the proxy.
func (p *proxy) heal() {
	p.setSilent(false, toTarget, fromTarget)
	p.setDelay(0)
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.heal()
	p.resetAll()
}
