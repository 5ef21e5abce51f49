package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// Figures of the case descriptors.
const (
	stableWindow   = 3 * time.Second // stable_window_ms
	minClients     = 7
	probers        = 12
	probeTimeout   = 1500 * time.Millisecond
	replacedAtOnce = 6
	replaceFor     = 96 * time.Second
	// lingering is how long a runner that leaves serves on, so that its streams end.
	lingering = 6 * time.Second
)

// probe is one client that opened a new connection.
type probe struct {
	client   int
	from, to time.Time
	answered bool
}

// descriptors replaces model runners one after the other, as releases do. It reports whether
// the gateway says that it is ready but takes no new connection for the stable window.
func descriptors(rec *record, trouble bool) (broken bool, err error) {
	l, err := newLab(rec, 1, 6, 18, 3)
	if err != nil {
		return false, err
	}
	defer l.close()
	g := l.gateways[0]
	stop := make(chan struct{})
	l.clients.wg.Go(func() { l.sendStreams(stop, newClientKeeping(1024), 120) })
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var probes []probe
	for i := range probers {
		l.clients.wg.Go(func() {
			for open(stop) {
				p := l.probe(i, g)
				mu.Lock()
				probes = append(probes, p)
				mu.Unlock()
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	var readyAt []time.Time
	l.clients.wg.Go(func() { readyAt = l.askReadiness(stop, g) })
	end := time.Now().Add(replaceFor)
	replaced := 0
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Second)
		if trouble {
			replaced += l.replaceSome(n)
		}
		if n%5 == 0 {
			rec.line(time.Now(), "%d runners replaced, the gateway has %d descriptors open", replaced, g.openDescriptors())
		}
	}
	close(stop)
	l.clients.wg.Wait()
	l.writeCalls()
	deaf := deafTime(rec, probes, readyAt)
	rec.line(time.Now(), "result: %d runners replaced, %d descriptors open; ready but no new connection taken for %v", replaced, g.openDescriptors(), deaf.Round(time.Millisecond))
	return deaf >= stableWindow, nil
}

func open(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// probe sends a plain request on a new connection.
func (l *lab) probe(client int, g *gateway) probe {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}
	p := probe{client: client, from: time.Now()}
	q := l.clients.newCall(fees, g, firstKey, 0, 0)
	q.send(c)
	p.to = time.Now()
	p.answered = q.status != 0
	return p
}

// askReadiness asks for the readiness each second on one connection and returns when the
// answers with status 200 came.
func (l *lab) askReadiness(stop <-chan struct{}, g *gateway) (readyAt []time.Time) {
	client := &http.Client{Timeout: time.Second}
	for open(stop) {
		resp, err := client.Get("http://" + g.readiness + "/trefoilwalk/readiness")
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if status == http.StatusOK {
			readyAt = append(readyAt, time.Now())
		}
		l.record.line(time.Now(), "readiness: %d", status)
		time.Sleep(time.Second)
	}
	return readyAt
}

// replaceSome replaces some model runners: the new ones start first.
func (l *lab) replaceSome(n int) (replaced int) {
	all := append(l.platform.ofPhase("decode"), l.platform.ofPhase("prefill")...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for k, old := range all[:min(replacedAtOnce, len(all))] {
		old.mu.Lock()
		phase := old.phase
		old.mu.Unlock()
		if _, err := startRunner(l.platform, fmt.Sprintf("i-%04d", 100+10*n+k), old.service, phase, old.zone); err != nil {
			l.record.line(time.Now(), "%s was not replaced: %v", old.id, err)
			continue
		}
		if _, err := old.leave(); err != nil {
			l.record.line(time.Now(), "%s does not leave: %v", old.id, err)
			continue
		}
		replaced++
		time.AfterFunc(lingering, func() { _ = old.exit() })
	}
	return replaced
}

// openDescriptors counts the open files of the gateway's process.
func (g *gateway) openDescriptors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// deafTime is the longest time in which the gateway said that it is ready and answered no
// request on a new connection, though at least minClients tried.
func deafTime(rec *record, probes []probe, readyAt []time.Time) (longest time.Duration) {
	for _, first := range readyAt {
		tried := make(map[int]bool)
		until := first
		for _, ready := range readyAt {
			if ready.Sub(until) > 1500*time.Millisecond {
				break
			}
			if ready.After(first) {
				until = ready
			}
		}
		end := until
		for _, p := range probes {
			if p.answered && p.to.After(first) && p.to.Before(end) {
				end = p.to
			}
		}
		for _, p := range probes {
			if !p.answered && p.from.After(first) && p.from.Before(end) {
				tried[p.client] = true
			}
		}
		if len(tried) >= minClients && end.Sub(first) > longest {
			longest = end.Sub(first)
			rec.line(first, "from here on %d clients tried in vain for %v, and the gateway says that it is ready", len(tried), longest)
		}
	}
	return longest
}
