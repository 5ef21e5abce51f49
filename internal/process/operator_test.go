package process

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/certs"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	standin "github.com/trefoilwalk/trefoilwalk/internal/standin/platform"
	"github.com/trefoilwalk/trefoilwalk/link/operator/shell"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/link/tlsfiles"
)

const operatorKey = "key-of-the-operator"

// tlsListener returns the settings of a TLS listener on a free port.
func tlsListener(files tlsfiles.Files) settings.Listener {
	return settings.Listener{Listen: "127.0.0.1:0", TLSCert: files.Cert, TLSKey: files.Key}
}

// startPair starts an entry and a sidecar with TLS on all listeners, mutual
// between them.
func startPair(t *testing.T, files tlsfiles.Files) (*Entry, *Sidecar) {
	t.Helper()
	platform := httptest.NewServer(standin.Handler(memplatform.New()))
	t.Cleanup(platform.Close)
	service := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(service.Close)
	peers := tlsListener(files)
	peers.TLSClientCA = files.Authority

	s := settings.DefaultSidecar()
	s.Where = settings.Where{Name: "s1", Region: "north", Zone: "north-a"}
	s.Peer, s.Operator = peers, tlsListener(files)
	s.Platform.URL = platform.URL
	s.Upstream.ID, s.Upstream.Kind, s.Upstream.URL = "s1", settings.KindService, service.URL
	sidecar, err := StartSidecar(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sidecar.Kill)

	e := settings.DefaultEntry()
	e.Where = settings.Where{Name: "e1", Region: "north", Zone: "north-a"}
	e.Zones = []string{"north-a"}
	e.Caller, e.Peer, e.Operator = tlsListener(files), peers, tlsListener(files)
	e.Platform.URL = platform.URL
	e.PseudonymSecret = "sixteen characters"
	e.Operators = []settings.Operator{{Name: "asha", Role: settings.RoleWrite, KeySHA256: fmt.Sprintf("%x", contract.HashKey(operatorKey))}}
	entry, err := StartEntry(e, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(entry.Kill)
	return entry, sidecar
}

// newShell returns trefoilctl with a settings file for an entry's operator address.
func newShell(t *testing.T, address, authority string) (*shell.Shell, *strings.Builder) {
	t.Helper()
	key, file := filepath.Join(t.TempDir(), "key"), filepath.Join(t.TempDir(), "ctl.toml")
	text := fmt.Sprintf("address = %q\nkey_file = %q\nca_file = %q\n", address, key, authority)
	for name, body := range map[string]string{key: operatorKey + "\n", file: text} {
		if err := os.WriteFile(name, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	read, err := shell.ReadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	runner, err := read.Client()
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	return &shell.Shell{Runner: runner, Out: out, Err: out, Format: shell.FormatTable}, out
}

// TestOperateOverTLS runs trefoilctl commands against an entry and a sidecar with
// TLS on all listeners. It guards against commands that don't take effect over TLS,
// and against a command sent to a listener of an unknown certificate authority.
func TestOperateOverTLS(t *testing.T) {
	authority := certs.New(t)
	files := authority.Write(t, t.TempDir(), 1)
	entry, sidecar := startPair(t, files)
	ctl, out := newShell(t, entry.OperatorAddr, files.Authority)
	add := fmt.Sprintf("add upstream s1 role service service desk region north zone north-a address %s --wait 5s", sidecar.PeerAddr)
	steps := []struct {
		line string
		code int
		want string
	}{
		{add, shell.ExitOK, "in force everywhere"},
		{"create account acme rate 10 burst 10 --wait 5s", shell.ExitOK, "in force everywhere"},
		{"upstreams where answers = true", shell.ExitOK, "s1"},
		{"instances where revision = 2 and kind = sidecar", shell.ExitOK, "s1"},
		{"drain upstream s1 --wait 5s", shell.ExitOK, "draining"},
		{"accounts", shell.ExitOK, "acme"},
	}
	for _, step := range steps {
		out.Reset()
		if code := ctl.RunLine(t.Context(), step.line); code != step.code || !strings.Contains(out.String(), step.want) {
			t.Errorf("%s: exit %d, %s", step.line, code, out)
		}
	}
	other := certs.New(t).Write(t, t.TempDir(), 1)
	ctl, out = newShell(t, entry.OperatorAddr, other.Authority)
	if code := ctl.RunLine(t.Context(), "delete account acme"); code != shell.ExitRefused || !strings.Contains(out.String(), "not sent") {
		t.Errorf("listener of an unknown authority: exit %d, %s", code, out)
	}
}
