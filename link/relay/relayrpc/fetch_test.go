package relayrpc

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/link/progress"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
)

// largeState answers fetches with a configuration of some megabytes.
type largeState struct{ echo }

func (largeState) Fetch(context.Context, relay.Want) (relay.State, error) {
	name := strings.Repeat("r", 4<<20)
	return relay.State{Config: &directory.Snapshot{Version: 7, Hosts: map[string][]*directory.Route{name: nil}}}, nil
}

// slowReader takes a pause before each read.
type slowReader struct {
	net.Conn
	pause time.Duration
}

func (c slowReader) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), 64<<10)])
}

// slowly opens connections that are read slowly.
func slowly(pause time.Duration) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		return slowReader{c, pause}, err
	}
}

// unreadConn reads only short answers: refusals.
type unreadConn struct {
	net.Conn
	left   int
	closed chan struct{}
	once   sync.Once
}

func (c *unreadConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		<-c.closed
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func (c *unreadConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// unread opens connections on which long answers are not read.
func unread(ctx context.Context, addr string) (net.Conn, error) {
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &unreadConn{Conn: c, left: 4 << 10, closed: make(chan struct{})}, nil
}

// TestFetchGoesOnWhileItArrives guards against a time for a fetch that does not depend on its length.
func TestFetchGoesOnWhileItArrives(t *testing.T) {
	addr := startServer(t, largeState{})
	ctx, call := progress.Start(t.Context(), progress.Limits{First: 300 * time.Millisecond, Quiet: 300 * time.Millisecond, Total: time.Minute})
	defer call.End()
	began := time.Now()
	state, err := NewClient(slowly(10*time.Millisecond)).Fetch(ctx, addr, relay.Want{Config: true})
	if err != nil || state.Config == nil || state.Config.Version != 7 {
		t.Errorf("%+v, %v after %v", state.Config != nil, err, time.Since(began))
	}
	if took := time.Since(began); took < 400*time.Millisecond {
		t.Errorf("the fetch took only %v", took)
	}
}

// isRefused reports whether a fetch is refused since too many are being served.
func isRefused(ctx context.Context, c *Client, addr string) bool {
	_, err := c.Fetch(ctx, addr, relay.Want{Config: true})
	return err != nil && strings.Contains(err.Error(), errTooManyFetches.Error())
}

// awaitRefused waits until fetches are refused, or no longer.
func awaitRefused(t *testing.T, addr string, want bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); isRefused(t.Context(), NewClient(dial), addr) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("refused is not %v", want)
		}
	}
}

// TestFetchesOfLostClients guards against fetches that are served for ever, since their clients became unreachable.
func TestFetchesOfLostClients(t *testing.T) {
	server := NewServer(context.Background(), largeState{}, hclog.NewNullLogger())
	server.fetchTimeout = time.Second
	addr := listen(t, server)
	for range maxFetches {
		go func() {
			for isRefused(t.Context(), NewClient(unread), addr) {
				// A call of awaitRefused has taken its place.
			}
		}()
	}
	awaitRefused(t, addr, true)
	awaitRefused(t, addr, false)
}

// TestTooManyFetches checks that fetches beyond the bound are refused at once, and that those
// that ended make room.
func TestTooManyFetches(t *testing.T) {
	addr := startServer(t, largeState{})
	ctx, cancel := context.WithCancel(t.Context())
	var held sync.WaitGroup
	for range maxFetches {
		held.Go(func() {
			// Refused while a call of refused takes its place.
			for ctx.Err() == nil {
				_, _ = NewClient(unread).Fetch(ctx, addr, relay.Want{Config: true})
			}
		})
	}
	awaitRefused(t, addr, true)
	if _, err := NewClient(dial).Exchange(t.Context(), addr, usage(1)); err != nil {
		t.Errorf("an exchange beside the fetches: %v", err)
	}
	cancel()
	held.Wait()
	awaitRefused(t, addr, false)
}
