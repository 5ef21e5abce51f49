package engine

import (
	"context"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// faults are what tests make the engine suffer.
type faults struct {
	// thaw is closed when a frozen engine goes on; nil if it is not frozen.
	thaw    chan struct{}
	onThaw  []func()
	stalled bool
	// factor lengthens all computing; 0 counts as 1.
	factor float64
	poison string
	// cut is closed to break all streams.
	cut chan struct{}
}

// Crash kills the engine: everything in it is lost and connections break.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash is Crash for callers that hold mu.
func (e *Engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.counts.Crashes++
	e.counts.WastedTokens += e.lostTokens()
	for call := range e.holding {
		if e.options.OnFree != nil {
			e.options.OnFree(call)
		}
	}
	e.end()
	e.reset()
	e.end()
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, e.Restart)
	}
}

// lostTokens counts the prompt tokens in results that are not imported.
func (e *Engine) lostTokens() (lost contract.Tokens) {
	for _, p := range e.results {
		lost += p.computed
	}
	return lost
}

// Restart brings a crashed engine back, empty and with a new epoch.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		return
	}
	e.reset()
	e.up = true
}

// CrashOn crashes the engine whenever it starts on a prompt that contains the
// text; an empty text ends this.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.poison = text
}

func (e *Engine) poisonous(prompt string) bool {
	return e.faults.poison != "" && strings.Contains(prompt, e.faults.poison)
}

// BreakStreams breaks the connections of all streams; the requests run on.
func (e *Engine) BreakStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.faults.cut)
	e.faults.cut = make(chan struct{})
}

// streamsCut gives the channel that the next BreakStreams closes.
func (e *Engine) streamsCut() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.cut
}

// Stall stops transfers: imports that run here, and exports that begin here.
func (e *Engine) Stall(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.stalled = stalled
	e.linkChanged()
}

// SlowBy makes computing take factor times as long; 1 is usual.
func (e *Engine) SlowBy(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.factor = factor
}

// slowed is d under SlowBy; the caller holds mu.
func (e *Engine) slowed(d time.Duration) time.Duration {
	if e.faults.factor > 0 {
		return time.Duration(float64(d) * e.faults.factor)
	}
	return d
}

// Freeze stops the engine, or lets it go on. A frozen engine keeps its
// connections and answers nothing.
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

// ready waits until the engine is neither frozen nor down; it fails when the
// engine is down or the caller gone. life is the engine's present life.
func (e *Engine) ready(ctx context.Context) (life context.Context, ok bool) {
	for {
		e.mu.Lock()
		life, up, thaw := e.life, e.up, e.faults.thaw
		e.mu.Unlock()
		if !up {
			return nil, false
		}
		if thaw == nil {
			return life, true
		}
		select {
		case <-thaw:
		case <-life.Done():
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}
