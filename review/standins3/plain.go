package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a plain service, those of the small deployment swd-trefoil where it states them.
const (
	plainSlots   = 6
	plainQueue   = 24
	plainRunners = 3
	plainWork    = 30 * time.Millisecond
)

// plain is a runner of a plain service.
type plain struct {
	id     string
	born   int64
	ledger *ledger
	server server
	slots  chan struct{}
	// leaving is set once it leaves; all its answers say so.
	leaving atomic.Bool
	// failing is set while it fails a part of its requests after their work.
	failing atomic.Bool

	mu      sync.Mutex
	waiting int
}

func newPlain(id string, l *ledger) *plain {
	p := &plain{id: id, born: time.Now().UnixMilli(), ledger: l, slots: make(chan struct{}, plainSlots)}
	p.server.handle = p.handle
	return p
}

func (p *plain) registration(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": p.server.addr, "zone": zone, "version": "v1", "slots": plainSlots, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": p.born,
	}
}

// handle answers a call.
func (p *plain) handle(q *http.Request, body []byte, left <-chan struct{}) answer {
	a := p.answer(q, body, left)
	if p.leaving.Load() {
		a.header = append(a.header, [2]string{names["leaving-header"], "1"})
	}
	return a
}

func (p *plain) answer(q *http.Request, _ []byte, left <-chan struct{}) answer {
	id := q.Header.Get("Request-Id")
	switch target := q.Header.Get(names["target-header"]); {
	case target != "" && target != p.id:
		return answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Request-Id", id}, {"Instance-Id", p.id}}}
	case q.URL.Path == "/health":
		return answer{status: http.StatusOK, header: [][2]string{{"Instance-Id", p.id}}}
	case isControl(q):
		return answer{status: http.StatusNotFound}
	}
	p.mu.Lock()
	full := p.waiting >= plainQueue
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		return refuse(q, http.StatusServiceUnavailable)
	}
	select {
	case p.slots <- struct{}{}:
	case <-left:
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
		return answer{cut: true}
	}
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	defer func() { <-p.slots }()
	p.ledger.begin(q, p.id)
	select {
	case <-left:
		return answer{cut: true}
	case <-time.After(plainWork):
	}
	if p.fails() {
		// The work is done, and the answer does not say otherwise.
		return answer{status: http.StatusServiceUnavailable, body: "the ledger did not confirm\n", header: [][2]string{
			{"Request-Id", id}, {names["signature-header"], "s." + p.id + "." + id}, {"Content-Type", "text/plain"},
		}}
	}
	return answer{status: http.StatusOK, body: fmt.Sprintf("done %s by %s\n", id, p.id), header: [][2]string{
		{"Request-Id", id}, {names["signature-header"], "s." + p.id + "." + id}, {"Content-Type", "text/plain"},
	}}
}
