// Package httpconn sends HTTP/1.1 requests to upstreams over pooled connections
// and reports for each failure whether any byte of the request was sent. The
// transport of net/http does not: it retries requests by itself and hands a late
// response to the next request. Parsing is left to net/http.
package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configure a pool; zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused, unless the
	// upstream announces a shorter time.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to each address.
	MaxIdle int
	// UserTimeout closes a connection whose sent bytes are not acknowledged for
	// this long (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveEvery is the time between keep-alive probes on a silent connection.
	KeepAliveEvery time.Duration
}

// Defaults of Options.
const (
	// DefaultDialTimeout is several round trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultIdleTimeout = 8 * time.Second
	DefaultMaxIdle     = 16
	// DefaultUserTimeout and DefaultKeepAliveEvery detect an unreachable peer in about
	// two seconds, half of the time that callers wait between events.
	DefaultUserTimeout    = 2 * time.Second
	DefaultKeepAliveEvery = 700 * time.Millisecond
)

// maxLostProbes is the number of unanswered keep-alive probes in a row after which
// a connection is closed.
const maxLostProbes = 2

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu        sync.Mutex
	idle      map[string][]*conn
	closed    bool
	dialCount uint64
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// limit bounds what reader reads from the connection.
	limit *readLimit
	// expires is when an idle connection must no longer be reused.
	expires time.Time
	// used is set once an exchange has completed on the connection.
	used bool
}

// New returns an empty pool.
func New(o Options) *Pool {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.UserTimeout, DefaultUserTimeout)
	setDefault(&o.KeepAliveEvery, DefaultKeepAliveEvery)
	return &Pool{
		options: o,
		idle:    make(map[string][]*conn),
		dialer: net.Dialer{
			Timeout: o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     o.KeepAliveEvery,
				Interval: o.KeepAliveEvery,
				Count:    maxLostProbes,
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
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Dial opens a connection with the timeouts and keep-alive probes of the pool. It
// belongs to the caller and is not counted by DialCount.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, "tcp", addr)
}

// DialCount returns the number of connections opened by Do.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// Close closes the idle connections. Those in use are closed after their exchange.
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

// get takes the most recently used idle connection that can be reused, or opens a
// new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	limit := &readLimit{reader: raw}
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReader(limit), limit: limit}, nil
}

// readLimit reads at most left bytes from a connection while it is on. Bytes that the
// buffer in front of it holds already do not count.
type readLimit struct {
	reader io.Reader
	on     bool
	left   int
}

func (l *readLimit) tooLong() error {
	return fmt.Errorf("%w: heads of more than %d bytes", ErrTooLong, maxHeadBytes)
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.on {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, l.tooLong()
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
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

// put stores an idle connection, or closes it if the pool is full or closed. keep
// is the idle time that the upstream announced, 0 without one.
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
	if p.closed || len(p.idle[c.addr]) >= p.options.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive without a request belong to no later one.
func (c *conn) reusable() bool {
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
