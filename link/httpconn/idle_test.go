package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// leavingServer answers requests until leave closes its listener and connections, as the
// exit of an upstream does.
type leavingServer struct {
	addr   string
	server *http.Server
}

func newLeavingServer(t *testing.T) *leavingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &leavingServer{addr: l.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(s.leave)
	return s
}

func (s *leavingServer) leave() { _ = s.server.Close() }

// openConns opens n connections to a server, which are idle afterwards.
func openConns(t *testing.T, p *Pool, addr string, n int) {
	t.Helper()
	var open []*Response
	for i := range n {
		resp, err := p.Do(context.Background(), addr, request(fmt.Sprint(i)))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, resp)
	}
	for _, resp := range open {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
	}
}

func openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// eventually waits until the condition holds, for a sweep and some time for a slow machine.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(SweepEvery + 3*time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestUpstreamsComeAndGo guards against connections to upstreams that left staying open
// until no descriptor is left: 600 upstreams answer and exit, a few at a time.
func TestUpstreamsComeAndGo(t *testing.T) {
	const upstreams, atOnce, conns = 600, 20, 3
	p := New(Options{})
	defer p.Close()
	alive := newLeavingServer(t)
	openConns(t, p, alive.addr, 1)
	before := openFiles(t)
	most := 0
	for range upstreams / atOnce {
		var round []*leavingServer
		for range atOnce {
			s := newLeavingServer(t)
			openConns(t, p, s.addr, conns)
			round = append(round, s)
		}
		most = max(most, openFiles(t)-before)
		for i, s := range round {
			s.leave()
			// Half of them are known to have left; the others just close their connections.
			if i%2 == 0 {
				p.CloseIdle(s.addr, UpstreamLeft)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	// Each upstream takes a listener and both ends of its connections. Those that left
	// within one sweep may still hold one end.
	const perSweep = 25 * atOnce / 2 * conns
	if bound := atOnce*(1+2*conns) + perSweep; most > bound {
		t.Errorf("%d descriptors were open, want at most %d", most, bound)
	}
	eventually(t, "connections that the peer closed stay idle", func() bool { return p.IdleCount() <= 1 })
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addrs) > 1 {
		t.Errorf("the pool has entries for %d addresses, 1 has a connection", len(p.addrs))
	}
}

// TestIdleExpires guards against expired connections staying open until the next request to
// their address, which may never come.
func TestIdleExpires(t *testing.T) {
	p := New(Options{IdleTimeout: 50 * time.Millisecond})
	defer p.Close()
	s := newLeavingServer(t)
	openConns(t, p, s.addr, 4)
	eventually(t, "expired connections stay open", func() bool { return p.IdleCount() == 0 })
	if n := p.CloseCounts()[Expired]; n != 4 {
		t.Errorf("%d connections were counted as expired, want 4", n)
	}
}

// TestAliveStaysOpen guards against a sweep that closes connections that may still be used:
// a new one costs the next caller a round trip.
func TestAliveStaysOpen(t *testing.T) {
	p := New(Options{IdleTimeout: time.Minute})
	defer p.Close()
	s := newLeavingServer(t)
	openConns(t, p, s.addr, 4)
	time.Sleep(SweepEvery + 500*time.Millisecond)
	if n := p.IdleCount(); n != 4 {
		t.Errorf("%d of 4 connections are left", n)
	}
	openConns(t, p, s.addr, 4)
	if n := p.DialCount(); n != 4 {
		t.Errorf("%d connections were opened, want 4", n)
	}
}

// TestCloseIdleDuringExchange guards against a connection to an upstream that left becoming
// idle when its exchange ends after CloseIdle.
func TestCloseIdleDuringExchange(t *testing.T) {
	p := New(Options{})
	defer p.Close()
	s := newLeavingServer(t)
	resp, err := p.Do(context.Background(), s.addr, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	p.CloseIdle(s.addr, UpstreamLeft)
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Errorf("the exchange was cut: %v", err)
	}
	resp.Close()
	if n := p.IdleCount(); n != 0 {
		t.Errorf("%d connections are idle, want 0", n)
	}
}

// TestTotalLimit guards against idle connections that grow with the number of addresses.
func TestTotalLimit(t *testing.T) {
	p := New(Options{MaxIdleTotal: 5})
	defer p.Close()
	first, second := newLeavingServer(t), newLeavingServer(t)
	openConns(t, p, first.addr, 4)
	openConns(t, p, second.addr, 4)
	if n := p.IdleCount(); n != 5 {
		t.Errorf("%d idle connections, want 5", n)
	}
	if closed := p.CloseOldestIdle(2); closed != 2 {
		t.Errorf("%d closed, want 2", closed)
	}
	dials := p.DialCount()
	openConns(t, p, second.addr, 3)
	if n := p.DialCount() - dials; n != 0 {
		t.Errorf("%d new connections to the address used last: the oldest were to be closed", n)
	}
}

// countDescriptors is a bound on descriptors.
type countDescriptors struct {
	limit, open atomic.Int64
}

func (c *countDescriptors) Take() bool {
	if c.open.Add(1) > c.limit.Load() {
		c.open.Add(-1)
		return false
	}
	return true
}

func (c *countDescriptors) Return() { c.open.Add(-1) }

// TestNoDescriptors guards against a request that was not sent, for lack of a descriptor,
// being reported as one that may have run, and against descriptors that are counted twice.
func TestNoDescriptors(t *testing.T) {
	descriptors := &countDescriptors{}
	p := New(Options{Descriptors: descriptors})
	defer p.Close()
	s := newLeavingServer(t)
	_, err := exchangeOne(p, s.addr, "1")
	if !isAll(err, ErrNotSent, ErrNoDescriptors) {
		t.Errorf("without a descriptor: %v", err)
	}
	descriptors.limit.Store(3)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() { _, _ = exchangeOne(p, s.addr, fmt.Sprint(i)) })
	}
	wg.Wait()
	if idle, open := p.IdleCount(), descriptors.open.Load(); int64(idle) != open || open < 1 {
		t.Errorf("%d descriptors counted, %d connections idle", open, idle)
	}
	p.Close()
	if open := descriptors.open.Load(); open != 0 {
		t.Errorf("%d descriptors are counted after Close", open)
	}
}

func isAll(err error, targets ...error) bool {
	for _, target := range targets {
		if !errors.Is(err, target) {
			return false
		}
	}
	return true
}

// TestRefusedDescriptor guards against blaming an upstream when the operating system gives
// this process no descriptor.
func TestRefusedDescriptor(t *testing.T) {
	p := New(Options{})
	p.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return os.NewSyscallError("socket", syscall.EMFILE) }
	if _, err := exchangeOne(p, newLeavingServer(t).addr, "1"); !isAll(err, ErrNotSent, ErrNoDescriptors) {
		t.Errorf("error %v", err)
	}
}
