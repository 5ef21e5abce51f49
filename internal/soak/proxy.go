package soak

import (
	"io"
	"net"
	"sync"
)

// proxy carries connections to an address and can break them: all are reset, or
// stay open and carry nothing more.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// opened is closed when silence ends.
	opened chan struct{}
	conns  map[net.Conn]struct{}
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
	both.Go(func() { p.copy(upstream, c) })
	both.Go(func() { p.copy(c, upstream) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy carries one direction and ends both sides with it. An end that is not clean
// must not look like one.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		opened := p.opened
		p.mu.Unlock()
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

// setSilent holds back all bytes, or lets them go again.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.opened == nil:
		p.opened = make(chan struct{})
	case !silent && p.opened != nil:
		close(p.opened)
		p.opened = nil
	}
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
	p.setSilent(false)
	p.resetAll()
}
