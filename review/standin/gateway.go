package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// gatewayProgram is the program that the deploy file builds.
const gatewayProgram = "target/trefoil-gateway"

// gateway is one process of the system. It is started again whenever it ends, as the
// platform does, until close.
type gateway struct {
	name, settings, log      string
	callers, readiness, peer string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	closed  bool
	// kills counts how often the case killed it.
	kills int
}

// restartDelay is the pause before a process that ended is started again.
const restartDelay = 300 * time.Millisecond

// settingsText is deploy/gateway.toml.tmpl with the bounds of the deployments.
const settingsText = `name = %q
region = "kigali"
zone = %q
callers = %q
readiness = %q
peer = %q
metrics = %q
registry = %q
peers = [%s]
memory = "%dMB"
lease = "3000ms"
shutdown_limit = "8s"

[retries]
share = 0.2
slack = 56
window = "10s"

[quota]
window = "8s"
slack = 190000
`

// newGateways writes the settings of n gateways and starts them.
func newGateways(dir, registry string, n, memoryMB int) ([]*gateway, error) {
	var all []*gateway
	var seeds []string
	for i := range n {
		addrs, err := freeAddrs(4)
		if err != nil {
			return all, err
		}
		g := &gateway{
			name: fmt.Sprintf("front-%d", i), settings: filepath.Join(dir, fmt.Sprintf("front-%d.toml", i)),
			log: filepath.Join(dir, fmt.Sprintf("front-%d.log", i)), callers: addrs[0], readiness: addrs[1], peer: addrs[2],
		}
		seeds = append(seeds, fmt.Sprintf("%q", g.peer))
		zone := zones[i%len(zones)]
		text := fmt.Sprintf(settingsText, g.name, zone, addrs[0], addrs[1], addrs[2], addrs[3], registry, strings.Join(seeds[:min(len(seeds), 3)], ", "), memoryMB)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return all, err
		}
		if err := g.start(); err != nil {
			return all, err
		}
		all = append(all, g)
	}
	return all, nil
}

var usedPorts sync.Map

// freeAddrs returns loopback addresses below the kernel's ephemeral range that are free and
// were not returned before.
func freeAddrs(n int) (out []string, err error) {
	for range 1000 {
		if len(out) == n {
			return out, nil
		}
		port := 13000 + rand.IntN(19000)
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		out = append(out, l.Addr().String())
		_ = l.Close()
	}
	return nil, fmt.Errorf("no free ports")
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The machines of the deployments allow a process 4,100 descriptors.
	command := exec.Command("/bin/sh", "-c", `ulimit -n 4100 && exec "$0" "$@"`, gatewayProgram, "run", "--config", g.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return err
	}
	ended := make(chan struct{})
	g.command, g.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
		time.Sleep(restartDelay)
		_ = g.start()
	}()
	return nil
}

// close ends the process for good.
func (g *gateway) close() {
	g.mu.Lock()
	g.closed = true
	command, ended := g.command, g.ended
	g.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// ready asks for the readiness as the platform does.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.readiness + "/trefoilwalk/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func awaitReady(all []*gateway, within time.Duration) error {
	end := time.Now().Add(within)
	for _, g := range all {
		for !g.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", g.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
