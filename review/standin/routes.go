package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// Figures of the case routes.
const (
	routesMemoryMB    = 112 // memory_mb of the front machines
	routesPerVersion  = 1400
	versionPause      = 13 * time.Second
	versions          = 6
	routeRequestsPerS = 150
	// lostBound is the number of requests that a machine may lose.
	lostBound = 3
	// feeClients send plain requests, feePause apart.
	feeClients = 10
	feePause   = 60 * time.Millisecond
)

// addRoutes changes the configuration a few times: with trouble each version has other
// routes beside those that stay, without it they are the same in all versions. Clients send
// one request on each route. The stand-in of the platform kills the gateway when it needs
// more memory than its machine gives it. It reports whether accepted requests were lost.
func addRoutes(rec *record, trouble bool) (broken bool, err error) {
	l, err := newLabWith(rec, labOptions{gateways: 1, prefill: 4, decode: 8, plain: 3, memoryMB: routesMemoryMB})
	if err != nil {
		return false, err
	}
	defer l.close()
	g := l.gateways[0]
	stop := make(chan struct{})
	l.clients.wg.Go(func() { l.sendStreams(stop, newClient(), 8) })
	for range feeClients {
		l.clients.wg.Go(func() { l.askFees(stop, g) })
	}
	l.clients.wg.Go(func() { l.watchMemory(stop, g) })
	client := newClient()
	for version := 2; version < versions+2; version++ {
		began := time.Now()
		shown := version
		if !trouble {
			shown = 2
		}
		if err := l.configureRoutes(version, shown); err != nil {
			return false, err
		}
		rec.line(time.Now(), "version %d with %d routes is acknowledged", version, routesPerVersion+3)
		time.Sleep(2 * time.Second)
		l.askEachRoute(client, g, shown)
		time.Sleep(time.Until(began.Add(versionPause)))
	}
	close(stop)
	l.clients.wg.Wait()
	l.writeCalls()
	lost, cut := l.lostCalls()
	rec.line(time.Now(), "result: the gateway was killed %d times for its memory; %d requests passed on and ended without an answer, %d more answers cut off", g.kills, lost, cut)
	return lost > lostBound, nil
}

// configureRoutes writes a configuration with more routes, named by a number.
func (l *lab) configureRoutes(version, shown int) error {
	doc := configuration(version, []tenant{{firstName, []string{firstKey}}})
	list, _ := doc["routes"].([]map[string]any)
	for i := range routesPerVersion {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d-%04d", shown, i), "host": host, "prefix": fmt.Sprintf("/e%d-%04d/", shown, i), "kind": "streaming",
			"timeout_ms": 14000, "latency_goal_ms": 900, "priority": 1, "service": "report-writers", "max_attempts": 2, "public": false,
			"sticky": true, "resumable": true, "target_gap_ms": 300,
		})
	}
	doc["routes"] = list
	return l.platform.store.Put("op", "config", doc)
}

// askEachRoute sends a stream request on each of the added routes.
func (l *lab) askEachRoute(client *http.Client, g *gateway, shown int) {
	tick := time.NewTicker(time.Second / routeRequestsPerS)
	defer tick.Stop()
	for i := range routesPerVersion {
		<-tick.C
		k := provenance
		k.name = fmt.Sprintf("e%d-%04d", shown, i)
		q := l.clients.newCall(k, g, firstKey, 220+rand.IntN(200), 3)
		l.clients.wg.Go(func() { q.send(client) })
	}
}

// watchMemory kills the gateway whenever it needs more memory than its machine gives it.
func (l *lab) watchMemory(stop <-chan struct{}, g *gateway) {
	shown := time.Now()
	for open(stop) {
		time.Sleep(20 * time.Millisecond)
		used := g.memory()
		if used > routesMemoryMB<<20 {
			g.mu.Lock()
			_ = g.command.Process.Signal(syscall.SIGKILL)
			g.kills++
			g.mu.Unlock()
			l.record.line(time.Now(), "%s uses %d MB of %d MB and is killed", g.name, used>>20, routesMemoryMB)
			time.Sleep(500 * time.Millisecond)
		}
		if time.Since(shown) > 2*time.Second {
			shown = time.Now()
			l.record.line(shown, "%s uses %d MB", g.name, used>>20)
		}
	}
}

// memory is the resident memory of the gateway's process, in bytes.
func (g *gateway) memory() (bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// askFees sends plain requests on a kept connection, one after the other.
func (l *lab) askFees(stop <-chan struct{}, g *gateway) {
	client := newClient()
	for open(stop) {
		l.clients.newCall(fees, g, firstKey, 0, 0).send(client)
		time.Sleep(feePause)
	}
}

// lostCalls counts the requests that were passed on to a runner and whose connection ended
// without an answer. Those whose answer had begun are counted apart.
func (l *lab) lostCalls() (lost, cut int) {
	passedOn := make(map[string]bool)
	for _, v := range l.platform.allVisits() {
		passedOn[v.request] = true
	}
	for _, q := range l.clients.calls {
		switch {
		case !passedOn[q.id] || q.complete:
			continue
		case q.status == 0 && !q.timedOut():
			lost++
		case q.status != 0:
			cut++
		}
		l.record.line(q.endedAt, "LOST: %s was passed on to a runner and then: %s", q.id, q.outcome())
	}
	return lost, cut
}

// timedOut reports whether the client left at its own deadline.
func (q *call) timedOut() bool { return errors.Is(q.err, context.DeadlineExceeded) }
