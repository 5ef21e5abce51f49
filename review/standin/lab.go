package main

import (
	"fmt"
	"os"
	"time"
)

// lab is a small deployment: gateways, the platform, runners and clients.
type lab struct {
	record   *record
	dir      string
	platform *platform
	gateways []*gateway
	clients  clients
}

// labOptions are the numbers of processes and runners of a deployment, and the memory of a
// gateway's machine.
type labOptions struct {
	gateways, prefill, decode, plain, memoryMB int
}

// defaultMemoryMB is memory_mb of the front machines of imigongo-ho.
const defaultMemoryMB = 284

func newLab(rec *record, gateways, prefill, decode, plain int) (*lab, error) {
	return newLabWith(rec, labOptions{gateways, prefill, decode, plain, defaultMemoryMB})
}

// newLabWith starts a deployment and waits until its gateways are ready.
func newLabWith(rec *record, o labOptions) (*lab, error) {
	dir, err := os.MkdirTemp("", "trefoil-review-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: rec, dir: dir}
	if l.platform, err = newPlatform(); err != nil {
		return nil, err
	}
	for i := range o.prefill + o.decode + o.plain {
		service, phase := "report-writers", "decode"
		switch {
		case i < o.prefill:
			phase = "prefill"
		case i >= o.prefill+o.decode:
			service, phase = "appraisal-ledger", ""
		}
		if _, err := startRunner(l.platform, fmt.Sprintf("i-%04d", i), service, phase, zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	if err := l.configure(1, []tenant{{firstName, []string{firstKey}}}); err != nil {
		return nil, err
	}
	if l.gateways, err = newGateways(dir, l.platform.addr, o.gateways, o.memoryMB); err != nil {
		l.close()
		return nil, err
	}
	if err := awaitReady(l.gateways, 10*time.Second); err != nil {
		l.close()
		return nil, err
	}
	rec.line(time.Now(), "%d gateways are ready, %d prefill, %d decode and %d plain runners", o.gateways, o.prefill, o.decode, o.plain)
	return l, nil
}

// configure writes a configuration; the store has acknowledged it when it returns.
func (l *lab) configure(version int, tenants []tenant) error {
	return l.platform.store.Put("op", "config", configuration(version, tenants))
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.close()
	}
	l.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// writeCalls writes the requests, their answers and their runs to the record.
func (l *lab) writeCalls() {
	l.clients.mu.Lock()
	defer l.clients.mu.Unlock()
	counts := make(map[string]int)
	for _, q := range l.clients.calls {
		runs := ""
		for _, r := range l.platform.runs[q.id] {
			runs += fmt.Sprintf(", run at %s for %q", r.runner, r.account)
		}
		l.record.line(q.sentAt, "%s to %s: %s at %.3f%s", q.id, q.gateway.name, q.outcome(), q.endedAt.Sub(l.record.began).Seconds(), runs)
		counts[q.kind.name+" "+q.outcomeClass()]++
	}
	l.record.line(time.Now(), "outcomes: %v", counts)
}

// outcomeClass is the outcome without details.
func (q *call) outcomeClass() string {
	switch {
	case q.status == 0:
		return "no answer"
	case !q.complete:
		return "cut off"
	}
	return q.outcome()
}
