package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Names of the deployment that the lab plays.
const (
	hostName  = "ficu95.example"
	keyText   = "3d3zji9n73hh2b9wu3fe"
	tenant    = "huka270"
	modelName = "huvo11a"
	plainName = "wuno96b"
)

// Routes, each with the prefix of its name.
const (
	routeOnce   = "once"
	routeRead   = "read"
	routeStream = "stream"
)

// lab is a small deployment on loopback addresses.
type lab struct {
	program, dir string
	ledger       *ledger
	store        *store
	storeServer  *http.Server
	engines      []*engine
	plains       []*plain
	gateways     []*gateway
	storeLink    *proxy
}

// gateway is one process of the project.
type gateway struct {
	name                              string
	callers, readiness, peer, metrics string
	file, log                         string
	process                           *exec.Cmd
	done                              chan error
}

func newLab(program string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	l := &lab{program: program, dir: dir, ledger: &ledger{began: time.Now()}, store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if l.storeLink, err = newProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	l.storeServer = &http.Server{Handler: l.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = l.storeServer.Serve(listener) }()
	return l, nil
}

// addPlain starts a runner of the plain service.
func (l *lab) addPlain() (*plain, error) {
	p := newPlain(fmt.Sprintf("i-p%d", len(l.plains)), l.ledger)
	p.server.addr = "127.0.0.1:0"
	l.plains = append(l.plains, p)
	return p, p.server.listen()
}

// zones are those of the deployment.
var zones = []string{"rajkot-a", "rajkot-b", "morbi"}

// register writes the row of a runner. Heartbeats change nothing but its sequence, and so no row.
func (l *lab) register(i int) {
	p := l.plains[i]
	l.store.put("servers", p.id, p.registration(plainName, zones[i%len(zones)]))
	l.ledger.note("joins   %s", p.id)
}

// zoneFronts is the number of gateways of swd-trefoil.
const zoneFronts = 5

// startDeployment starts the plain service and a number of gateways, which are ready then.
func (l *lab) startDeployment(fronts int) error {
	l.configure(1)
	for i := range plainRunners {
		if _, err := l.addPlain(); err != nil {
			return err
		}
		l.register(i)
	}
	if err := l.addGateways(fronts); err != nil {
		return err
	}
	for _, g := range l.gateways {
		if err := l.startGateway(g); err != nil {
			return err
		}
	}
	return l.awaitReady(10 * time.Second)
}

func routeRow(name, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": hostName, "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "latency_goal_ms": goal,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false, "resumable": resumable, "target_gap_ms": 300,
	}
}

// configure writes the configuration.
func (l *lab) configure(version int) {
	l.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			routeRow(routeOnce, "non_idempotent", plainName, 800, 150, 1, false),
			routeRow(routeStream, "streaming", modelName, 14000, 900, 1, false),
			routeRow(routeRead, "idempotent", plainName, 800, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": modelName, "health_path": "/health", "max_conns": 370, "engine": map[string]any{
				"slots": engineSlots, "kv_tokens": engineTokens, "kv_token_bytes": 18432, "link_mbps": 740000.0, "stride": 1,
				"kv_hold_s": 0.5, "stage_switch_s": 6.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": plainName, "health_path": "/health", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{keyText}, "priority": 1, "unit": "token_count", "uncached_tokens": 200, "rate_per_s": 47000, "burst": 47000}},
	})
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addGateways chooses the addresses of gateways and writes their settings.
func (l *lab) addGateways(n int) error {
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1)}
		for _, addr := range []*string{&g.callers, &g.readiness, &g.peer, &g.metrics} {
			free, err := freeAddr()
			if err != nil {
				return err
			}
			*addr = free
		}
		g.file, g.log = filepath.Join(l.dir, g.name+".toml"), filepath.Join(l.dir, g.name+".log")
		l.gateways = append(l.gateways, g)
	}
	var seeds []string
	for _, g := range l.gateways[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", g.peer))
	}
	for i, g := range l.gateways {
		text := fmt.Sprintf(settingsText, g.name, zones[i%len(zones)], g.callers, g.readiness, g.peer, g.metrics, l.storeLink.addr, strings.Join(seeds, ","))
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// settingsText is the template of the deployment, filled in for swd-trefoil.
const settingsText = `name = %q
region = "saurashtra"
zone = %q
callers = %q
readiness = %q
peer = %q
metrics = %q
registry = %q
peers = [%s]
memory = "134MB"
descriptors = 4100
lease = "3000ms"
shutdown_limit = "8s"

[retries]
share = 0.2
slack = 58
window = "10s"

[changes]
config = "2000ms"
upstreams = "2000ms"
settle = "3000ms"

[quota]
window = "8s"
slack = 190000

[zones]
"rajkot-a" = "saurashtra"
"rajkot-b" = "saurashtra"
"morbi" = "saurashtra"
`

func (l *lab) startGateway(g *gateway) error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	g.process = exec.Command(l.program, "run", "--config", g.file)
	g.process.Stdout, g.process.Stderr = out, out
	if err := g.process.Start(); err != nil {
		return err
	}
	g.done = make(chan error, 1)
	go func(p *exec.Cmd, done chan error) { done <- p.Wait() }(g.process, g.done)
	return nil
}

// awaitReady waits until all gateways say that they are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for _, g := range l.gateways {
		for until := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
			resp, err := http.Get("http://" + g.readiness + "/trefoilwalk/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return errors.New("gateway " + g.name + " is not ready in time")
			}
		}
	}
	return nil
}

// closeOnSignal ends everything that the lab started, and this process, when it is told to end.
func (l *lab) closeOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-told
		for _, g := range l.gateways {
			if g.process != nil {
				_ = g.process.Process.Kill()
			}
		}
		_ = os.RemoveAll(l.dir)
		os.Exit(exitNotRun)
	}()
}

// close ends everything that the lab started.
func (l *lab) close() {
	for _, g := range l.gateways {
		if g.process != nil {
			_ = g.process.Process.Kill()
			<-g.done
		}
	}
	for _, e := range l.engines {
		e.server.close()
	}
	for _, p := range l.plains {
		p.server.close()
	}
	l.storeLink.close()
	_ = l.storeServer.Close()
}
