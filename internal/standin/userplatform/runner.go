package userplatform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Events is how many events a stream has.
const Events = 12

// eventInterval is the pause after each event of a stream.
const eventInterval = 15 * time.Millisecond

// Run is the record of all runs of one request, at all runners.
type Run struct {
	// Times counts how often it ran.
	Times int
	// Key reports that a caller's key reached a runner. Account is the client
	// account that the last request named.
	Key     bool
	Account string
}

// Visit is the arrival of a caller's request at a runner, prefills included.
type Visit struct {
	Request, Runner string
	At              time.Time
	// Conn is the remote address of the connection.
	Conn string
	// Pause is the time for which the runner wanted no requests in its answer.
	Pause time.Duration
}

// Ledger records which requests arrived and ran, for all runners that share it. It is safe
// for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]Run
	visits []Visit
}

// Visits returns the arrivals so far, in order.
func (l *Ledger) Visits() []Visit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.visits)
}

func (l *Ledger) recordVisit(v Visit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visits = append(l.visits, v)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]Run)}
}

// record counts a run of a request.
func (l *Ledger) record(q *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[q.Header.Get("Request-Id")]
	r.Times++
	r.Key = r.Key || q.Header.Get("Credential") != ""
	r.Account = q.Header.Get("Tenant")
	l.runs[q.Header.Get("Request-Id")] = r
}

// Run returns the record of a request; it is zero if the request never ran.
func (l *Ledger) Run(id string) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Faults are probabilities of faults, from 0 to 1.
type Faults struct {
	// Reject refuses a request without running it. Lose breaks the connection
	// after a request is recorded as run. Break/Events is the probability that a stream's
	// connection breaks before a given event. Endless answers with bytes that never end;
	// a request so answered was run.
	Reject, Lose, Break, Endless float64
	// FailAfterRun answers 503 after a request is recorded as run, without the statement that
	// it has not run.
	FailAfterRun float64
	// Pause turns a request away and asks for a pause of PauseFor.
	Pause    float64
	PauseFor time.Duration
	// ReadDelay is how long the runner waits before it reads a request's body.
	ReadDelay time.Duration
	// Leaving says in all answers that the runner leaves.
	Leaving bool
	// PrefillTakes is how long a prefill lasts.
	PrefillTakes time.Duration
}

// Runner is one runner of the users' platform. It implements http.Handler.
type Runner struct {
	ledger *Ledger

	mu     sync.Mutex
	id     string
	phase  string
	faults Faults
	// orders is the sequence number in status reports. It is always 0.
	orders int
	random *rand.Rand
	cold   coldState
}

// NewRunner returns a runner of a phase: prefill, decode, or none for a plain
// service.
func NewRunner(id, phase string, ledger *Ledger, seed uint64) *Runner {
	return &Runner{ledger: ledger, id: id, phase: phase, random: rand.New(rand.NewPCG(seed, 7))}
}

// SetFaults replaces the runner's faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Restart gives the runner another identifier, as a new start does, and ends its faults.
func (r *Runner) Restart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.faults, r.cold.Cold = id, Faults{}, Cold{}
}

// state returns the identifier and the faults.
func (r *Runner) state() (id string, f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.faults
}

// draw decides at random whether a fault occurs now.
func (r *Runner) draw(share func(Faults) float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < share(r.faults)
}

func (r *Runner) randomNumber() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Uint64()
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, f := r.state(); f.ReadDelay > 0 {
		time.Sleep(f.ReadDelay)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	own, faults := r.state()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", own)
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	visit := Visit{Request: id, Runner: own, At: time.Now(), Conn: q.RemoteAddr}
	isCaller := !strings.HasPrefix(q.URL.Path, "/trefoilwalk/") && q.Header.Get("Target-Instance") == own
	if isCaller && r.draw(func(f Faults) float64 { return f.Pause }) {
		visit.Pause = faults.PauseFor
	}
	if isCaller {
		r.ledger.recordVisit(visit)
		if r.arrive(visit.At, w.Header()) {
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case q.URL.Path == "/trefoilwalk/hold-take":
		_, _ = io.WriteString(w, `{"hold":"h"}`)
	case q.URL.Path == "/trefoilwalk/report":
		_, _ = fmt.Fprintf(w, `{"phase":%q,"busy":false,"sequence":%d}`, r.phase, r.orders)
	case q.URL.Path == "/trefoilwalk/order":
		w.WriteHeader(http.StatusConflict)
	case strings.HasPrefix(q.URL.Path, "/trefoilwalk/"):
	case !isCaller:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case visit.Pause > 0:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(visit.Pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.draw(func(f Faults) float64 { return f.Reject }):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.draw(func(f Faults) float64 { return f.Endless }):
		if q.Header.Get("Serving-Phase") != "prefill" {
			r.ledger.record(q)
		}
		answerEndlessly(w, id, r.randomNumber())
	case q.Header.Get("Serving-Phase") == "prefill":
		select {
		case <-q.Context().Done():
			return
		case <-time.After(faults.PrefillTakes):
		}
		_, _ = io.WriteString(w, `{"kv_handle":"k","tokens":1,"version":1}`)
	default:
		r.ledger.record(q)
		if r.draw(func(f Faults) float64 { return f.Lose }) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Server-Signature", "s-"+id)
		if faults.FailAfterRun > 0 && r.draw(func(f Faults) float64 { return f.FailAfterRun }) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.run(w, q, string(body))
	}
}

// run answers a request: a plain service with one body, the others with a stream
// that continues after the event in Last-Event-Id.
func (r *Runner) run(w http.ResponseWriter, q *http.Request, body string) {
	if r.phase == "" {
		_, _ = io.WriteString(w, Answer(q.Header.Get("Request-Id"), body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= Events; event++ {
		if r.draw(func(f Faults) float64 { return f.Break / Events }) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, Answer(body, strconv.Itoa(event)))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

// Answer returns a runner's answer. It contains parts of the request, so that a
// caller can check that the answer belongs to its own request.
func Answer(parts ...string) string {
	return "answer:" + strings.Join(parts, ":")
}
