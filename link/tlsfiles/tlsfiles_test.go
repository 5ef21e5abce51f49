package tlsfiles_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/instance/clock"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/certs"
	"github.com/trefoilwalk/trefoilwalk/link/tlsfiles"
)

// fakeClock returns the time that the test sets.
type fakeClock struct {
	clock.System
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newSource(t *testing.T, files tlsfiles.Files, c clock.Clock) *tlsfiles.Source {
	t.Helper()
	source, err := tlsfiles.New(files, c, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// handshake connects a client to a server and returns the serial number of each
// one's certificate as seen by the other.
func handshake(t *testing.T, server, client *tls.Config) (ofServer, ofClient int64, err error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	seen := make(chan int64, 1)
	go func() {
		serial := int64(0)
		defer func() { seen <- serial }()
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		if peer := conn.(*tls.Conn).ConnectionState().PeerCertificates; len(peer) > 0 {
			serial = peer[0].SerialNumber.Int64()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return 0, 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-seen, nil
}

// TestReload checks that changed files are used after CheckEvery, and that files
// that cannot be loaded leave the old certificates in use.
func TestReload(t *testing.T) {
	ca, dir := certs.New(t), t.TempDir()
	now := &fakeClock{now: time.Unix(5_000_000, 0)}
	server := newSource(t, ca.Write(t, dir, 2), now)
	listener := server.ServerConfig()
	client := newSource(t, ca.Write(t, t.TempDir(), 100), now)
	steps := []struct {
		name string
		do   func()
		wait time.Duration
		want int64
	}{
		{"as started", func() {}, 0, 2},
		{"changed before the next check", func() { ca.Write(t, dir, 3) }, tlsfiles.CheckEvery / 2, 2},
		{"changed", func() {}, tlsfiles.CheckEvery, 3},
		{"truncated", func() { certs.WritePEM(t, filepath.Join(dir, "cert"), "CERTIFICATE", []byte("x"), 4) }, tlsfiles.CheckEvery, 3},
		{"gone", func() { _ = os.Remove(filepath.Join(dir, "key")) }, tlsfiles.CheckEvery, 3},
		{"repaired", func() { ca.Write(t, dir, 5) }, tlsfiles.CheckEvery, 5},
	}
	for _, step := range steps {
		step.do()
		now.advance(step.wait)
		got, seen, err := handshake(t, listener, client.ClientConfig("127.0.0.1"))
		if err != nil || got != step.want || seen != 100 {
			t.Errorf("%s: server presents %d, want %d; client presents %d: %v", step.name, got, step.want, seen, err)
		}
	}
}

// TestPeerVerification checks which peers a server and a client accept.
func TestPeerVerification(t *testing.T) {
	now := &fakeClock{now: time.Unix(5_000_000, 0)}
	ours, theirs := certs.New(t), certs.New(t)
	server := newSource(t, ours.Write(t, t.TempDir(), 2), now)
	withoutAuthority := ours.Write(t, t.TempDir(), 3)
	withoutAuthority.Authority = ""
	roots := x509.NewCertPool()
	roots.AddCert(ours.Cert)
	cases := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		ok     bool
	}{
		{"same authority", server.ServerConfig(), newSource(t, ours.Write(t, t.TempDir(), 4), now).ClientConfig("127.0.0.1"), true},
		{"other authority", server.ServerConfig(), newSource(t, theirs.Write(t, t.TempDir(), 4), now).ClientConfig("127.0.0.1"), false},
		{"other address", server.ServerConfig(), newSource(t, ours.Write(t, t.TempDir(), 4), now).ClientConfig("127.0.0.2"), false},
		{"no certificate", server.ServerConfig(), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}, false},
		{"old TLS", server.ServerConfig(), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS12}, false},
		{"listener without authority", newSource(t, withoutAuthority, now).ServerConfig(), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}, true},
	}
	for _, c := range cases {
		if _, _, err := handshake(t, c.server, c.client); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := tlsfiles.New(tlsfiles.Files{Cert: "none", Key: "none"}, now, hclog.NewNullLogger()); !errors.Is(err, tlsfiles.ErrCertificate) {
		t.Errorf("missing files: %v", err)
	}
}
