package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the model runners of swd-trefoil.
const (
	engineSlots   = 64
	engineTokens  = 42786
	engineSwitch  = 6 * time.Second
	heartbeat     = 1200 * time.Millisecond
	engineEvents  = 10
	eventInterval = 5 * time.Millisecond
)

// engine is a model runner. It runs each request that names it, as runners do: which requests may
// go to its service is for the callers to keep.
type engine struct {
	id     string
	born   int64
	ledger *ledger
	server server

	mu       sync.Mutex
	phase    string
	busy     bool
	sequence int
	running  int
}

func newEngine(id, phase string, l *ledger) *engine {
	e := &engine{id: id, phase: phase, born: time.Now().UnixMilli(), ledger: l}
	e.server.handle = e.handle
	return e
}

// registration is the value of the engine's row.
func (e *engine) registration(zone string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": modelName, "address": e.server.addr, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"warmup_left_ms": 0, "phase": e.phase, "models": []any{map[string]any{"name": "m"}}, "sequence": e.sequence, "born": e.born,
	}
}

// handle answers a call.
func (e *engine) handle(q *http.Request, body []byte, left <-chan struct{}) answer {
	id := q.Header.Get("Request-Id")
	if target := q.Header.Get(names["target-header"]); target != "" && target != e.id {
		return answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Request-Id", id}, {"Instance-Id", e.id}}}
	}
	switch {
	case q.URL.Path == names["report-call"]:
		return e.report()
	case q.URL.Path == names["order-call"]:
		return e.order(body)
	case isControl(q):
		return answer{status: http.StatusServiceUnavailable}
	}
	e.mu.Lock()
	wrong := e.phase != "decode" || e.busy
	e.running++
	load := fmt.Sprintf("%d,0,%d", e.running, engineSlots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if wrong {
		return answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Request-Id", id}}}
	}
	e.ledger.begin(q, e.id)
	select {
	case <-left:
		return answer{cut: true}
	case <-time.After(engineEvents * eventInterval):
	}
	var events strings.Builder
	for event := range engineEvents {
		fmt.Fprintf(&events, "id: %d\ndata: token %d for %s\n\n", event+1, event+1, id)
	}
	return answer{status: http.StatusOK, body: events.String(), header: [][2]string{
		{"Request-Id", id}, {names["signature-header"], "s." + e.id + "." + id}, {"Content-Type", "text/event-stream"}, {"Server-Load", load},
	}}
}

func jsonAnswer(status int, body any) answer {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return answer{status: status, header: [][2]string{{"Content-Type", "application/json"}}, body: string(text)}
}

func (e *engine) report() answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return jsonAnswer(http.StatusOK, map[string]any{
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.busy,
		"sequence": e.sequence, "waiting": 0, "running": e.running, "kv_used": 0, "kv_total": engineTokens, names["handles-field"]: 0, "born": e.born,
	})
}

// order carries out an order to change the phase.
func (e *engine) order(body []byte) answer {
	var in struct {
		Opcode, Phase string
		Precondition  *int `json:"precondition"`
	}
	if err := json.Unmarshal(body, &in); err != nil || in.Opcode != "phase" {
		return answer{status: http.StatusBadRequest}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.phase == in.Phase:
		return answer{status: http.StatusOK}
	case e.busy, in.Precondition != nil && *in.Precondition != e.sequence:
		return answer{status: http.StatusConflict}
	}
	e.sequence++
	e.busy = true
	time.AfterFunc(engineSwitch, func() {
		e.mu.Lock()
		e.phase, e.busy = in.Phase, false
		e.mu.Unlock()
	})
	return answer{status: http.StatusAccepted}
}
