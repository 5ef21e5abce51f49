package relayrpc

import (
	"context"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/contract/quota"
	"github.com/trefoilwalk/trefoilwalk/internal/endlesstest"
	"github.com/trefoilwalk/trefoilwalk/link/gobframe"
	"github.com/trefoilwalk/trefoilwalk/link/relay"
	"github.com/trefoilwalk/trefoilwalk/upstream/traffic"
)

// echo answers a message with one from itself.
type echo struct{}

func (echo) Exchange(_ context.Context, m relay.Message) (relay.Reply, error) {
	return relay.Reply{Message: relay.Message{From: relay.Peer{Name: "echo"}, Usage: m.Usage, Traffic: m.Traffic}}, nil
}

// Fetch returns a configuration of the version that is asked for.
func (echo) Fetch(_ context.Context, w relay.Want) (relay.State, error) {
	return relay.State{From: relay.Peer{Name: "echo"}, Config: &directory.Snapshot{Version: w.ConfigAfter}}, nil
}

// startEcho starts a server and returns its address.
func startEcho(t *testing.T) (addr string) {
	t.Helper()
	return startServer(t, echo{})
}

// startServer serves s on loopback and returns its address.
func startServer(t *testing.T, s relay.Server) (addr string) {
	t.Helper()
	return listen(t, NewServer(context.Background(), s, hclog.NewNullLogger()))
}

// listen serves on loopback and returns the address.
func listen(t *testing.T, server *Server) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		server.Serve(l)
		close(served)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
		<-served
	})
	return l.Addr().String()
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// usage returns a message with a use of an account whose name has so many bytes.
func usage(bytes int) relay.Message {
	use := quota.Use{Sequence: 1, Account: contract.AccountID(strings.Repeat("a", bytes))}
	return relay.Message{Usage: quota.Statement{Uses: []quota.Use{use}}}
}

func TestExchange(t *testing.T) {
	addr := startEcho(t)
	c := NewClient(dial)
	for _, size := range []int{1, 100_000, 1 << 20} {
		reply, err := c.Exchange(context.Background(), addr, usage(size))
		if err != nil || len(reply.Usage.Uses) != 1 || len(reply.Usage.Uses[0].Account) != size {
			t.Errorf("%d bytes: %d uses, error %v", size, len(reply.Usage.Uses), err)
		}
	}
}

// TestTooLongMessage checks that a message above the bound ends its connection, and that the
// next exchange opens a new one.
func TestTooLongMessage(t *testing.T) {
	addr := startEcho(t)
	c := NewClient(dial)
	if _, err := c.Exchange(context.Background(), addr, usage(gobframe.MaxMessageBytes)); err == nil {
		t.Error("a message above the bound was answered")
	}
	if _, err := c.Exchange(context.Background(), addr, usage(1)); err != nil {
		t.Errorf("error %v after a connection was closed for its message", err)
	}
}

// TestEndlessPeer plays peers whose messages never end, as servers and as clients.
func TestEndlessPeer(t *testing.T) {
	// The length of a message of a gigabyte, as gob encodes it.
	gigabyte := string([]byte{0xfc, 0x40, 0, 0, 0})
	t.Run("server", func(t *testing.T) {
		addr := endlesstest.Serve(t, endlesstest.Answer{Head: gigabyte, Repeat: "x"}, true)
		endlesstest.Check(t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), endlesstest.Patience)
			defer cancel()
			if _, err := NewClient(dial).Exchange(ctx, addr, usage(1)); err == nil {
				t.Error("an exchange with an endless peer succeeded")
			}
		})
	})
	t.Run("client", func(t *testing.T) {
		addr := startEcho(t)
		c, err := dial(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		endlesstest.Check(t, func() {
			if err := c.SetDeadline(time.Now().Add(endlesstest.Patience)); err != nil {
				t.Fatal(err)
			}
			text := []byte(gigabyte + strings.Repeat("x", 32<<10))
			for {
				if _, err := c.Write(text); err != nil {
					return
				}
			}
		})
	})
}

// TestSilentOnTraffic guards against a statement of no traffic that arrives like the missing
// one of an earlier version.
func TestSilentOnTraffic(t *testing.T) {
	for _, sent := range []*traffic.Statement{nil, {}, {Rates: map[directory.ServiceName]float64{"s": 2.5}, Unheard: true, Starting: 3 * time.Second}} {
		reply, err := NewClient(dial).Exchange(t.Context(), startEcho(t), relay.Message{Traffic: sent})
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(reply.Traffic, sent) {
			t.Errorf("sent %+v, received %+v", sent, reply.Traffic)
		}
	}
}
