package experiment

import (
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// observer records the callbacks of the stand-ins as they happen.
type observer struct {
	mu sync.Mutex
	// prompts maps a request's identifier to its prompt.
	prompts map[contract.RequestID]string
	// started, freed and holds are keyed by prompt, since a caller that left may not
	// know its request's identifier. holds counts the calls that hold engine memory.
	started map[string]time.Time
	freed   map[string]time.Time
	holds   map[string]int
	// ran counts the runs of each body at plain services.
	ran map[string]int
}

func newObserver() *observer {
	return &observer{
		prompts: make(map[contract.RequestID]string),
		started: make(map[string]time.Time),
		freed:   make(map[string]time.Time),
		holds:   make(map[string]int),
		ran:     make(map[string]int),
	}
}

// engineStart records that a call starts to use an engine. Only calls that prefill have
// a prompt.
func (o *observer) engineStart(call contract.CallID, prompt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if prompt != "" {
		o.prompts[call.Request] = prompt
	}
	prompt = o.prompts[call.Request]
	if _, ok := o.started[prompt]; !ok {
		o.started[prompt] = time.Now()
	}
	o.holds[prompt]++
}

// engineFree records that an engine freed the memory of a call.
func (o *observer) engineFree(call contract.CallID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	prompt := o.prompts[call.Request]
	o.freed[prompt] = time.Now()
	o.holds[prompt]--
}

// serviceRun records that a service runs a call with this body.
func (o *observer) serviceRun(_, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran[body]++
}

// runs returns how often services ran a call with this body so far.
func (o *observer) runs(body string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[body]
}

// requestRan reports whether an engine started a request.
func (o *observer) requestRan(id contract.RequestID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.prompts[id]
	return ok
}

// startedAt returns when an engine first started a prompt.
func (o *observer) startedAt(prompt string) (at time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok = o.started[prompt]
	return at, ok
}

// heldUntil returns when engine memory of a prompt was last freed: now if some is still
// held, the zero time if none ever was.
func (o *observer) heldUntil(prompt string, now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holds[prompt] > 0 {
		return now
	}
	return o.freed[prompt]
}
