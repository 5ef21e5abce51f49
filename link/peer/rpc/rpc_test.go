package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
)

// fakeEntry answers heartbeats with the test's reply function. started receives a
// value when a heartbeat arrives.
type fakeEntry struct {
	peer.Entry
	started chan struct{}
	reply   func(ctx context.Context) (*peer.HeartbeatReply, error)
}

func (f *fakeEntry) Heartbeat(ctx context.Context, _ *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	f.started <- struct{}{}
	return f.reply(ctx)
}

// eofConn turns each read error into io.EOF, also after a local Close. A connection
// does the same if the peer closes it at the same moment.
type eofConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (c *eofConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, io.EOF
	}
	return n, nil
}

func (c *eofConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestErrors checks the error of a call that the peer received, for each kind of
// failure. ErrNotSent is wrong for such a call, and each other error is wrong for a
// call that the peer did not receive.
func TestErrors(t *testing.T) {
	hang := func(ctx context.Context) (*peer.HeartbeatReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	succeed := func(context.Context) (*peer.HeartbeatReply, error) {
		return &peer.HeartbeatReply{Header: peer.Header{Revision: 7}}, nil
	}
	cases := []struct {
		name  string
		reply func(ctx context.Context) (*peer.HeartbeatReply, error)
		// during runs while the peer handles the call.
		during func(r *testRig)
		want   error
	}{
		{"answered", succeed, nil, nil},
		{"peer answers with an error", func(context.Context) (*peer.HeartbeatReply, error) { return nil, errors.New("no") }, nil, peer.ErrRefused},
		{"peer closes", hang, func(r *testRig) { r.server.Close() }, peer.ErrNoAnswer},
		{"caller gives up", hang, func(r *testRig) { r.cancel() }, peer.ErrNoAnswer},
		{"connection is closed locally as the peer closes", hang, func(r *testRig) { r.connPool.Close() }, peer.ErrNoAnswer},
		{"another call drops the connection", hang, func(r *testRig) {
			c, err := r.connPool.connect(r.ctx, r.addr)
			if err != nil {
				panic(err)
			}
			r.connPool.dropConn(r.addr, c)
		}, peer.ErrNoAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRig(t, c.reply)
			result := make(chan error, 1)
			go func() {
				_, err := r.connPool.Entry(r.addr).Heartbeat(r.ctx, &peer.HeartbeatRequest{})
				result <- err
			}()
			<-r.entry.started
			if c.during != nil {
				c.during(r)
			}
			if err := <-result; !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// TestNotSent checks that a call of a closed peer fails with ErrNotSent, and that
// calls succeed again once the peer listens again.
func TestNotSent(t *testing.T) {
	r := newTestRig(t, func(context.Context) (*peer.HeartbeatReply, error) {
		return &peer.HeartbeatReply{Header: peer.Header{Revision: 7}}, nil
	})
	r.entry.started = make(chan struct{}, 10)
	call := func() (contract.Revision, error) {
		reply, err := r.connPool.Entry(r.addr).Heartbeat(r.ctx, &peer.HeartbeatRequest{})
		if err != nil {
			return 0, err
		}
		return reply.Revision, nil
	}
	if got, err := call(); err != nil || got != 7 {
		t.Fatalf("first call: %d, %v", got, err)
	}
	r.server.Close()
	_ = r.listener.Close()
	for err := error(nil); !errors.Is(err, peer.ErrNotSent); {
		if _, err = call(); err == nil {
			t.Fatal("a closed peer answered")
		}
	}
	r.listen(t)
	for range 2 {
		// The first call may still share the attempt to connect that was refused.
		if got, err := call(); err == nil && got == 7 {
			return
		}
	}
	t.Error("no call succeeded after the peer listened again")
}

// testRig is a listening peer and a client pool that connects to it.
type testRig struct {
	entry    *fakeEntry
	server   *Server
	listener net.Listener
	addr     string
	connPool *ConnPool
	ctx      context.Context
	cancel   context.CancelFunc
}

func newTestRig(t *testing.T, reply func(ctx context.Context) (*peer.HeartbeatReply, error)) *testRig {
	t.Helper()
	r := &testRig{entry: &fakeEntry{started: make(chan struct{}, 1), reply: reply}}
	r.addr = "127.0.0.1:0"
	r.listen(t)
	r.ctx, r.cancel = context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(r.cancel)
	r.connPool = NewConnPool(func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := PlainDialer(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &eofConn{Conn: raw, closed: make(chan struct{})}, nil
	})
	t.Cleanup(r.connPool.Close)
	return r
}

func (r *testRig) listen(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	r.listener = l
	r.server, err = NewServer(r.entry, nil, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	go r.server.Serve(l)
	t.Cleanup(func() { _ = l.Close(); r.server.Close() })
}

// TestBlockedWrite checks that a call ends with its context while the peer does not
// read, so that its request cannot be written. The error is ErrNoAnswer, since part
// of the request may have been written.
func TestBlockedWrite(t *testing.T) {
	connPool := NewConnPool(func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _ = theirs.Close() })
		return ours, nil
	})
	t.Cleanup(connPool.Close)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := connPool.Entry("peer").Heartbeat(ctx, &peer.HeartbeatRequest{})
		cancel()
		if !errors.Is(err, peer.ErrNoAnswer) {
			t.Errorf("got %v, want %v", err, peer.ErrNoAnswer)
		}
	}
}
