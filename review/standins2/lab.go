// Command standins2 plays the users' platform for the cases of this review: the store, the
// runners and the callers around real gateway processes, on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// lab holds what a case started. All of it ends with close.
type lab struct {
	dir     string
	started time.Time
	servers []*http.Server
	// nextPort is the last port that freeAddr returned.
	nextPort int
	gateways []*gateway
	// starting is held while a process is started, and protects closed.
	starting sync.Mutex
	closed   bool

	// mu protects record.
	mu     sync.Mutex
	record *os.File
}

// deployment is a store with the gateways that use it.
type deployment struct {
	lab   *lab
	store *userplatform.Store
	// addr is the store's address.
	addr     string
	gateways []*gateway
}

// gateway is one gateway process with its addresses.
type gateway struct {
	name, callers, readiness, peer string
	settings                       string
	command                        *exec.Cmd
	ended                          chan struct{}
}

// newLab opens the record of the case.
func newLab(record string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &lab{dir: dir, started: time.Now(), record: file, nextPort: firstPort + os.Getpid()%8000}, nil
}

// newDeployment starts a store.
func (l *lab) newDeployment() (*deployment, error) {
	d := &deployment{lab: l, store: userplatform.NewStore()}
	addr, err := l.serve(d.store)
	d.addr = addr
	return d, err
}

// serve serves a handler on a free loopback port.
func (l *lab) serve(h http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// write adds a line to the record, with the time since the start.
func (l *lab) write(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// close ends the processes and servers. No gateway is started after it.
func (l *lab) close() {
	l.starting.Lock()
	defer l.starting.Unlock()
	l.closed = true
	for _, g := range l.gateways {
		if g.command != nil {
			_ = g.command.Process.Kill()
			<-g.ended
		}
	}
	for _, s := range l.servers {
		_ = s.Close()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// register writes a runner's entry. The phase is empty for a plain service.
func (d *deployment) register(id, service, addr, phase string) error {
	entry := map[string]any{
		"service": service, "address": addr, "zone": "rajkot-a", "version": 1, "slots": 64, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	if phase != "" {
		entry["phase"] = phase
	}
	return d.store.Put("servers", id, entry)
}

// limits are those of all configurations.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 10000}

// Ports of the gateways: below those that the system gives to outgoing connections, so that
// a gateway finds its ports free when it starts again.
const (
	firstPort = 12000
	lastPort  = 31000
)

// maxSeeds is the number of gateways that the settings name.
const maxSeeds = 3

// freeAddr returns a loopback address with a free port that was not returned before.
func (l *lab) freeAddr() (string, error) {
	for l.nextPort < lastPort {
		l.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", l.nextPort)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newGateway writes the settings of a gateway as the deploy file's template does.
func (d *deployment) newGateway() (*gateway, error) {
	seeds := []string{}
	for _, g := range d.gateways[:min(len(d.gateways), maxSeeds)] {
		seeds = append(seeds, g.peer)
	}
	l := d.lab
	var addrs [4]string
	for i := range addrs {
		addr, err := l.freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	g := &gateway{name: fmt.Sprintf("front-%d", len(l.gateways)), callers: addrs[0], readiness: addrs[1], peer: addrs[2]}
	peers, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`name = %q
region = "saurashtra"
zone = "rajkot-a"
callers = %q
readiness = %q
peer = %q
metrics = %q
registry = %q
peers = %s
memory = "134MB"
descriptors = 4100
lease = "3000ms"
shutdown_limit = "8s"

[retries]
share = 0.2
slack = 58
window = "10s"

[quota]
window = "8s"
slack = 190000

[zones]
"rajkot-a" = "saurashtra"
`, g.name, g.callers, g.readiness, g.peer, addrs[3], d.addr, peers)
	g.settings = filepath.Join(l.dir, g.name+".toml")
	l.gateways = append(l.gateways, g)
	d.gateways = append(d.gateways, g)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the gateway with the command of the deploy file.
func (l *lab) start(g *gateway) error {
	l.starting.Lock()
	defer l.starting.Unlock()
	if l.closed {
		return errors.New("the case has ended")
	}
	out, err := os.Create(filepath.Join(l.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command("target/trefoil-gateway", "run", "--config", g.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	g.command, g.ended = command, make(chan struct{})
	go func() {
		_ = command.Wait()
		close(g.ended)
	}()
	return nil
}

// awaitReady waits until the gateway's readiness check succeeds.
func (l *lab) awaitReady(ctx context.Context, g *gateway) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + g.readiness + "/trefoilwalk/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("gateway " + g.name + " did not become ready")
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) error {
	return g.command.Process.Signal(s)
}

// trouble reports whether the disruption is to be brought about.
func trouble() bool {
	return strings.TrimSpace(os.Getenv("TROUBLE")) != "0"
}
