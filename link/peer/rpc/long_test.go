package rpc

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
)

// slowConn moves a few KB at a time.
type slowConn struct {
	net.Conn
}

const slowPause, slowBytes = 10 * time.Millisecond, 16 << 10

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return c.Conn.Read(p[:min(len(p), slowBytes)])
}

func (c slowConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		time.Sleep(slowPause)
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+slowBytes)])
		written += n
	}
	return written, err
}

// startLong serves an entry whose configuration has some megabytes, and returns a pool of slow
// connections and the entry's address.
func startLong(t *testing.T) (*ConnPool, string, *config.Snapshot) {
	t.Helper()
	large := config.EmptySnapshot()
	large.Revision = 7
	for i := range 20_000 {
		id := contract.AccountID(fmt.Sprintf("account-%06d-with-a-name-of-some-length", i))
		large.Accounts[id] = contract.ClientAccount{ID: id}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(&echoEntry{sync: peer.SyncReply{Snapshot: large}}, nil, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	pool := NewConnPool(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := PlainDialer(ctx, addr)
		return slowConn{c}, err
	})
	t.Cleanup(func() {
		pool.Close()
		_ = l.Close()
		server.Close()
	})
	return pool, l.Addr().String(), large
}

var longLimits = progress.Limits{First: time.Second, Quiet: time.Second, Total: time.Minute}

// TestLongConfigurationIsExchanged guards against a time for exchanges of configurations that does not depend on their length.
func TestLongConfigurationIsExchanged(t *testing.T) {
	pool, addr, large := startLong(t)
	for name, q := range map[string]*peer.SyncRequest{"fetched": {}, "offered": {Offer: large}} {
		ctx, call := progress.Start(t.Context(), longLimits)
		began := time.Now()
		reply, err := pool.Entry(addr).Sync(ctx, q)
		call.End()
		if err != nil || reply.Snapshot == nil || len(reply.Snapshot.Accounts) != len(large.Accounts) {
			t.Errorf("%s: error %v after %v", name, err, time.Since(began))
		}
		if took := time.Since(began); took < longLimits.First {
			t.Errorf("%s: took only %v", name, took)
		}
	}
}

// TestHeartbeatBesideLongConfiguration guards against calls that wait behind a long configuration.
func TestHeartbeatBesideLongConfiguration(t *testing.T) {
	pool, addr, _ := startLong(t)
	heartbeat := func() time.Duration {
		began := time.Now()
		if _, err := pool.Entry(addr).Heartbeat(t.Context(), &peer.HeartbeatRequest{}); err != nil {
			t.Error(err)
		}
		return time.Since(began)
	}
	heartbeat()
	synced := make(chan error, 1)
	go func() {
		_, err := pool.Entry(addr).Sync(t.Context(), &peer.SyncRequest{})
		synced <- err
	}()
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		if took := heartbeat(); took > longLimits.First {
			t.Errorf("a heartbeat took %v", took)
		}
	}
	if err := <-synced; err != nil {
		t.Error(err)
	}
}
