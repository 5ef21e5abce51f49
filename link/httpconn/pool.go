// Package httpconn sends HTTP/1.1 requests to upstreams over pooled connections
// and reports for each failure whether any byte of the request was sent. The
// transport of net/http does not: it retries requests by itself and hands a late
// response to the next request. Parsing is left to net/http.
package httpconn

import (
	"bufio"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoilwalk/trefoilwalk/link/bytecount"
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
	// MaxIdleTotal bounds the idle connections to all addresses. Beyond it the one that
	// has been idle longest is closed.
	MaxIdleTotal int
	// Descriptors bounds the open connections; nil for no bound.
	Descriptors Descriptors
	// Bytes counts the bytes of the connections that Do opens; nil for no count.
	Bytes *bytecount.Counter
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
	// DefaultMaxIdleTotal takes some 10 MB of buffers.
	DefaultMaxIdleTotal = 2048
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

	mu sync.Mutex
	// addrs has an entry for each address with a connection, idle or in use.
	addrs map[string]*address
	// idle holds the idle connections of all addresses, the one idle longest first.
	idle list.List
	// sweepSet is set while a call of sweep is scheduled.
	sweepSet  bool
	closed    bool
	dialCount uint64
	closes    [closeReasons]uint64
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	// owner is the pool's entry of the connection's address.
	owner  *address
	reader *bufio.Reader
	// limit bounds what reader reads from the connection.
	limit *readLimit
	// expires is when an idle connection must no longer be reused.
	expires time.Time
	// used is set once an exchange has completed on the connection.
	used bool
	// generation is that of owner when the connection was opened.
	generation uint64
	// inIdle is the connection's element of Pool.idle while it is idle.
	inIdle *list.Element
	// fd is the descriptor, valid while the connection is idle; -1 if there is none.
	fd int
}

// New returns an empty pool.
func New(o Options) *Pool {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.MaxIdleTotal, DefaultMaxIdleTotal)
	setDefault(&o.UserTimeout, DefaultUserTimeout)
	setDefault(&o.KeepAliveEvery, DefaultKeepAliveEvery)
	return &Pool{
		options: o,
		addrs:   make(map[string]*address),
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
// belongs to the caller and is not counted by DialCount. The error wraps ErrNoDescriptors
// if the bound on descriptors is reached.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return dialCounted(ctx, &p.dialer, p.options.Descriptors, addr)
}

// DialCount returns the number of connections opened by Do.
func (p *Pool) DialCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
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
		p.discard(c)
	}
	raw, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.adopt(raw, addr), nil
}

// adopt makes an opened connection one of the pool's, which is in use.
func (p *Pool) adopt(raw net.Conn, addr string) *conn {
	raw = p.options.Bytes.Conn(raw)
	limit := &readLimit{reader: raw}
	c := &conn{Conn: raw, reader: bufio.NewReader(limit), limit: limit, fd: descriptorOf(raw)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialCount++
	p.use(c, addr)
	return c
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

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive without a request belong to no later one.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := underlying(c.Conn).(syscall.Conn)
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
