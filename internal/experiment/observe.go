package experiment

import (
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// observer notes what the stand-ins do, as it happens.
type observer struct {
	mu sync.Mutex
	// prompts leads from a request's identifier to its prompt.
	prompts map[contract.RequestID]string
	// started, freed and holds are by prompt, since a caller that left may not
	// have learnt its identifier.
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

// engineStart is told that a call starts to use an engine.
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

// engineFree is told that a call's memory is free.
func (o *observer) engineFree(call contract.CallID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	prompt := o.prompts[call.Request]
	o.freed[prompt] = time.Now()
	o.holds[prompt]--
}

// serviceRun is told that a service runs a call.
func (o *observer) serviceRun(_, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran[body]++
}

// runs gives how often a body ran so far.
func (o *observer) runs(body string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[body]
}

// requestRan reports whether an engine worked for a request.
func (o *observer) requestRan(id contract.RequestID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.prompts[id]
	return ok
}

// startOf gives when an engine first worked on a prompt.
func (o *observer) startOf(prompt string) (at time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok = o.started[prompt]
	return at, ok
}

// heldUntil gives when the last engine memory of a prompt was freed: now, if
// some is still held, and the zero time if none ever was.
func (o *observer) heldUntil(prompt string, now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holds[prompt] > 0 {
		return now
	}
	return o.freed[prompt]
}
