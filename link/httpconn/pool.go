// Package httpconn carries HTTP/1.1 requests to upstreams over kept connections
// and says of each failure whether any byte of the request left this process.
// The transport of net/http does not: it repeats requests by itself and hands an
// answer that came late to the next request. Parsing is net/http's.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configure a pool; zero fields get the defaults.
type Options struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long, unless the
	// upstream names a shorter time.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// UserTimeout ends a connection whose sent bytes are not acknowledged.
	UserTimeout time.Duration
	// ProbeEvery is the time between keep-alive probes on a silent connection.
	ProbeEvery time.Duration
}

// Defaults of Options.
const (
	// DefaultDialTimeout is several round trips in a region.
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultIdleTimeout = 8 * time.Second
	DefaultMaxIdle     = 16
	// DefaultUserTimeout and DefaultProbeEvery find a silent peer in about two
	// seconds, half of the time for which callers wait between events.
	DefaultUserTimeout = 2 * time.Second
	DefaultProbeEvery  = 700 * time.Millisecond
)

// probesLost is how many keep-alive probes in a row mean that a peer is gone.
const probesLost = 2

// Pool keeps connections to many addresses.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	dialed uint64
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// until is when an idle connection is too old to be used.
	until time.Time
	used  bool
}

// New returns a pool with no connection.
func New(o Options) *Pool {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.UserTimeout, DefaultUserTimeout)
	setDefault(&o.ProbeEvery, DefaultProbeEvery)
	return &Pool{
		options: o,
		idle:    make(map[string][]*conn),
		dialer: net.Dialer{
			Timeout: o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     o.ProbeEvery,
				Interval: o.ProbeEvery,
				Count:    probesLost,
			},
			Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, o.UserTimeout) },
		},
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial opens a connection that is watched for silence like those of a pool.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, "tcp", addr)
}

// Dialed counts the connections opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes all idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		closeAll(conns)
	}
	p.idle = make(map[string][]*conn)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// get takes the connection used last that is still good, or opens one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReader(raw)}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for later; keep is the time that the upstream named, 0
// if none.
func (p *Pool) put(c *conn, keep time.Duration) {
	idle := p.options.IdleTimeout
	if keep > 0 && keep < idle {
		// Sending at the last moment would cross the upstream's close.
		idle = keep * 3 / 4
	}
	c.until = time.Now().Add(idle)
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= p.options.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// quiet reports whether an idle connection is open and nothing waits on it:
// bytes that came without a request belong to none.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
