package engine

import (
	"context"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// faults are the injected faults; Engine.mu guards them.
type faults struct {
	// thaw is closed when a frozen engine resumes; nil if it is not frozen.
	thaw chan struct{}
	// onThaw holds the timer callbacks that came due while the engine was frozen.
	onThaw  []func()
	stalled bool
	// factor multiplies all computing times; 0 counts as 1.
	factor float64
	// crashText crashes the engine at a prompt that contains it, unless empty.
	crashText string
	// cut is closed and replaced to break all streams.
	cut chan struct{}
}

// Crash stops the engine: all its state is lost and connections break. It restarts
// after Options.RestartAfter, if set.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash implements Crash; the caller holds mu.
func (e *Engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.counts.Crashes++
	e.counts.WastedTokens += e.unimportedTokens()
	for call := range e.allocated {
		if e.options.OnFree != nil {
			e.options.OnFree(call)
		}
	}
	e.endLifetime()
	e.reset()
	e.endLifetime()
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, e.Restart)
	}
}

// unimportedTokens counts the computed tokens of results that were not imported; the
// caller holds mu.
func (e *Engine) unimportedTokens() (lost contract.Tokens) {
	for _, p := range e.results {
		lost += p.computed
	}
	return lost
}

// Restart starts a crashed engine without its former state and with a new epoch.
// A running engine is left as it is.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		return
	}
	e.reset()
	e.up = true
}

// CrashOn crashes the engine whenever it starts a prefill or decode whose prompt
// contains the text; an empty text ends this. A decode sees only the first 4 KiB
// of the prompt.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crashText = text
}

// crashesOn reports whether CrashOn applies to a prompt; the caller holds mu.
func (e *Engine) crashesOn(prompt string) bool {
	return e.faults.crashText != "" && strings.Contains(prompt, e.faults.crashText)
}

// BreakStreams breaks the connections of all streams; the requests continue and
// can be resumed.
func (e *Engine) BreakStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.faults.cut)
	e.faults.cut = make(chan struct{})
}

// streamsCut returns a channel that the next BreakStreams closes.
func (e *Engine) streamsCut() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.cut
}

// SetTransfersStalled holds transfers while it is set: imports in progress at this engine, and
// exports that begin here.
func (e *Engine) SetTransfersStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.stalled = stalled
	e.notifyLink()
}

// SlowBy multiplies the time of each later computation by factor; 1 ends this.
func (e *Engine) SlowBy(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.factor = factor
}

// slowed returns d as SlowBy lengthens it; the caller holds mu.
func (e *Engine) slowed(d time.Duration) time.Duration {
	if e.faults.factor > 0 {
		return time.Duration(float64(d) * e.faults.factor)
	}
	return d
}

// Freeze suspends or resumes the engine. A frozen engine keeps its connections
// open and sends no reply.
func (e *Engine) Freeze(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if frozen == (e.faults.thaw != nil) {
		return
	}
	if frozen {
		e.faults.thaw = make(chan struct{})
		return
	}
	close(e.faults.thaw)
	pending := e.faults.onThaw
	e.faults.thaw, e.faults.onThaw = nil, nil
	for _, f := range pending {
		f()
	}
}

// awaitRunning waits while the engine is frozen. ok is false if the engine is down
// or ctx ends. lifetime is the engine's current one.
func (e *Engine) awaitRunning(ctx context.Context) (lifetime context.Context, ok bool) {
	for {
		e.mu.Lock()
		lifetime, up, thaw := e.lifetime, e.up, e.faults.thaw
		e.mu.Unlock()
		if !up {
			return nil, false
		}
		if thaw == nil {
			return lifetime, true
		}
		select {
		case <-thaw:
		case <-lifetime.Done():
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}
