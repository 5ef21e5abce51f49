package main

import (
	"io"
	"net"
	"sync"
)

// proxy carries connections to a server. Those that are open can be silenced for good: they stay
// open and carry nothing more, while new ones work.
type proxy struct {
	addr, target string
	listener     net.Listener

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: listener.Addr().String(), target: target, listener: listener, links: make(map[*link]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.carry(l, near, far)
	}
}

// carry copies both directions until one side closes.
func (p *proxy) carry(l *link, near, far net.Conn) {
	var both sync.WaitGroup
	for _, d := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Go(func() {
			_, _ = io.Copy(linkWriter{l, d[1]}, d[0])
			_ = near.Close()
			_ = far.Close()
		})
	}
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// linkWriter drops what is written while its link is silent.
type linkWriter struct {
	link *link
	to   net.Conn
}

// Write implements io.Writer.
func (w linkWriter) Write(b []byte) (int, error) {
	w.link.mu.Lock()
	defer w.link.mu.Unlock()
	if w.link.silent {
		return len(b), nil
	}
	return w.to.Write(b)
}

// silence silences the connections that are open now, and returns how many.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
		n++
	}
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
}
