package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speeds of an engine, from the page of the deployment.
const (
	promptTokensPerMS = 33.3
	eventPause        = 40 * time.Millisecond
	handleLife        = 500 * time.Millisecond
	roleSwitch        = 6 * time.Second
)

// runner is a sound runner of the platform: a model engine of a phase, or a plain service
// if phase is empty. Its faults are those that the case sets.
type runner struct {
	id, service, zone string
	platform          *platform
	listener          net.Listener
	server            *http.Server

	mu    sync.Mutex
	phase string
	// sequence counts the accepted orders, fence is the highest number of one.
	sequence, fence uint64
	busy            bool
	leaving         bool
	// slowdown multiplies the time of a prefill. hang is the part of the requests that
	// get no answer.
	slowdown, hang float64
	// promptsUntil is when the prompts that were sent before have been read.
	promptsUntil time.Time
	holds        map[string]time.Time
	handles      map[string]time.Time
	work         time.Duration
}

// startRunner starts a runner and registers it.
func startRunner(p *platform, id, service, phase, zone string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, phase: phase, zone: zone, platform: p, listener: l, slowdown: 1,
		holds: make(map[string]time.Time), handles: make(map[string]time.Time), work: 60 * time.Millisecond,
	}
	r.server = &http.Server{Handler: r, ErrorLog: quiet}
	go func() { _ = r.server.Serve(l) }()
	p.addRunner(r)
	return r, r.register()
}

func (r *runner) addr() string { return r.listener.Addr().String() }

// register writes the runner's entry. It returns when the store has accepted it.
func (r *runner) register() error {
	r.mu.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.addr(), "zone": r.zone, "version": "v1", "slots": 64, "state": state,
		"warmup_left_ms": 0, "sequence": r.sequence, "born": r.platform.born(r.id),
	}
	if r.phase != "" {
		entry["phase"] = r.phase
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.mu.Unlock()
	return r.platform.store.Put("servers", r.id, entry)
}

// leave reports that the runner leaves and returns when the store accepted that.
func (r *runner) leave() (time.Time, error) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	err := r.register()
	return time.Now(), err
}

// exit ends the runner: its connections break and its entry is removed.
func (r *runner) exit() error {
	_ = r.server.Close()
	r.platform.removeRunner(r)
	return r.platform.store.Put("servers", r.id, nil)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if id := q.Header.Get(name("id-header")); id != "" {
		w.Header().Set(name("id-header"), id)
	}
	w.Header().Set(name("instance-header"), r.id)
	r.mu.Lock()
	leaving, phase := r.leaving, r.phase
	r.mu.Unlock()
	if leaving {
		w.Header().Set(name("leaving-header"), "1")
		w.Header().Set("Connection", "close")
	}
	if target := q.Header.Get(name("target-header")); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := q.URL.Path
	switch {
	case path == name("report-path"):
		r.report(w)
	case path == name("order-path"):
		r.order(w, body)
	case path == name("hold-path"):
		r.hold(w, body)
	case strings.HasPrefix(path, name("drop-path")):
		r.drop(r.holds, strings.TrimPrefix(path, name("drop-path")))
	case strings.HasPrefix(path, name("handle-path")):
		r.drop(r.handles, strings.TrimPrefix(path, name("handle-path")))
	default:
		r.request(w, q, body, phase, arrived)
	}
}

func (r *runner) drop(from map[string]time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(from, id)
}

// take removes an identifier and reports whether it was valid.
func (r *runner) take(from map[string]time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := from[id]
	delete(from, id)
	return ok && time.Now().Before(until)
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"phase": r.phase, "busy": r.busy, "sequence": r.sequence, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 38202,
	})
}

// order carries out a change of phase.
func (r *runner) order(w http.ResponseWriter, body []byte) {
	var o map[string]any
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := o[name("fence-field")].(float64)
	expected, named := o["precondition"].(float64)
	phase, _ := o["phase"].(string)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o["opcode"] != "phase" || phase == "" || fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case uint64(fence) < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.busy || named && uint64(expected) != r.sequence:
		w.WriteHeader(http.StatusConflict)
	case phase == r.phase:
		r.fence = uint64(fence)
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		r.fence, r.busy = uint64(fence), true
		r.sequence++
		time.AfterFunc(roleSwitch, func() {
			r.mu.Lock()
			r.busy, r.phase = false, phase
			r.mu.Unlock()
			_ = r.register()
		})
		writeJSON(w, http.StatusAccepted, map[string]any{})
	}
}

// hold reserves memory; there is always enough.
func (r *runner) hold(w http.ResponseWriter, body []byte) {
	var q struct {
		TTL float64 `json:"ttl_ms"`
	}
	_ = json.Unmarshal(body, &q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	r.holds[id] = time.Now().Add(time.Duration(q.TTL) * time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]any{"hold": id})
}

// request serves a client's request.
func (r *runner) request(w http.ResponseWriter, q *http.Request, body []byte, phase string, arrived time.Time) {
	id := q.Header.Get(name("id-header"))
	v := visit{request: id, runner: r.id, at: arrived, phase: q.Header.Get(name("phase-header"))}
	r.mu.Lock()
	busy, hangs := r.busy, rand.Float64() < r.hang
	r.mu.Unlock()
	prefill := v.phase == "prefill"
	if prefill != (phase == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.platform.recordVisit(v)
	if hangs {
		<-q.Context().Done()
		return
	}
	if busy {
		r.reject(w)
		return
	}
	prompt, output := parseSize(q.Header.Get(name("size-header")))
	switch {
	case prefill:
		r.prefill(w, q, prompt)
	case phase == "":
		r.answer(w, q, body, id)
	default:
		r.stream(w, q, prompt, output, id)
	}
}

func (r *runner) reject(w http.ResponseWriter) {
	w.Header().Set(name("not-run-header"), "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// readPrompt waits until the prompt is read, one prompt after the other.
func (r *runner) readPrompt(q *http.Request, tokens, speed float64) bool {
	r.mu.Lock()
	took := time.Duration(tokens / promptTokensPerMS / speed * r.slowdown * float64(time.Millisecond))
	from := time.Now()
	if r.promptsUntil.After(from) {
		from = r.promptsUntil
	}
	r.promptsUntil = from.Add(took)
	until := r.promptsUntil
	r.mu.Unlock()
	return wait(q, time.Until(until))
}

func (r *runner) prefill(w http.ResponseWriter, q *http.Request, prompt float64) {
	if !r.readPrompt(q, prompt, 1) {
		return
	}
	handle := strconv.FormatUint(rand.Uint64(), 36)
	r.mu.Lock()
	r.handles[handle] = time.Now().Add(handleLife)
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{name("handle-field"): handle, "tokens": prompt, "version": 1})
}

// stream runs a request: it fetches the prompt's memory, or reads the prompt itself at half
// the speed, and sends the events after the one in Last-Event-Id.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, prompt float64, output int, id string) {
	r.take(r.holds, q.Header.Get(name("hold-header")))
	if source := q.Header.Get(name("source-header")); source != "" {
		addr, handle, _ := strings.Cut(source, "/")
		from := r.platform.runnerAt(addr)
		if from == nil || !from.take(from.handles, handle) {
			r.reject(w)
			return
		}
	} else if !r.readPrompt(q, prompt, 0.5) {
		return
	}
	run := r.platform.recordRun(id, r.id, q.Header.Get(name("account-header")))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(name("signature-header"), fmt.Sprintf("%s.%s.%d", r.id, id, run))
	last, _ := strconv.Atoi(q.Header.Get(name("resume-header")))
	for event := last + 1; event <= output; event++ {
		_, err := fmt.Fprint(w, eventText(id, event))
		if err != nil || http.NewResponseController(w).Flush() != nil || !wait(q, eventPause) {
			return
		}
	}
}

// answer runs a plain request.
func (r *runner) answer(w http.ResponseWriter, q *http.Request, body []byte, id string) {
	run := r.platform.recordRun(id, r.id, q.Header.Get(name("account-header")))
	if !wait(q, time.Duration(float64(r.work)*(0.5+rand.Float64()))) {
		return
	}
	w.Header().Set(name("signature-header"), fmt.Sprintf("%s.%s.%d", r.id, id, run))
	_, _ = io.WriteString(w, answerText(id, string(body)))
}

// eventText is one event of the stream of a request, answerText the answer of a plain one.
func eventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s:%d %s\n\n", event, id, event, strings.Repeat("x", 60))
}

func answerText(id, body string) string {
	return "answer to " + id + " with " + body + strings.Repeat(" ", 700)
}

// wait waits for d; it returns false if the caller of the request left before.
func wait(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func parseSize(field string) (prompt float64, output int) {
	first, second, _ := strings.Cut(field, ",")
	prompt, _ = strconv.ParseFloat(first, 64)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
