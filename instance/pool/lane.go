package pool

import (
	"runtime/debug"
)

// lane bounds the calls of one kind that run at a time. Its queue is bounded by
// the objects that were admitted: each has at most one call in it.
type lane struct {
	limit   int
	running int
	waiting []Effect
}

// Start performs effects in their lanes without blocking.
func (p *Pool) Start(effects ...Effect) {
	for _, effect := range effects {
		p.start(effect)
	}
}

func (p *Pool) start(effect Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l := p.lane(effect.Lane)
	if l.running >= l.limit {
		l.waiting = append(l.waiting, effect)
		return
	}
	l.running++
	p.calls.Go(func() { p.perform(l, effect) })
}

// lane finds or makes a lane; the caller holds mu.
func (p *Pool) lane(name Lane) *lane {
	if l, ok := p.lanes[name]; ok {
		return l
	}
	limit := p.options.Lanes[name]
	if limit < 1 {
		limit = DefaultLane
	}
	l := &lane{limit: limit}
	p.lanes[name] = l
	return l
}

// perform makes calls until none waits in the lane.
func (p *Pool) perform(l *lane, effect Effect) {
	for {
		if step := p.call(effect); step != nil {
			p.Resume(step)
		}
		next, ok := p.nextCall(l)
		if !ok {
			return
		}
		effect = next
	}
}

// call performs one effect and turns a panic into its OnPanic step.
func (p *Pool) call(effect Effect) (step Step) {
	defer func() {
		if reason := recover(); reason != nil {
			p.options.OnPanic(reason, debug.Stack())
			if effect.OnPanic != nil {
				step = effect.OnPanic(reason)
			}
		}
	}()
	return effect.Perform(p.ctx)
}

// nextCall takes a waiting call or gives the goroutine's place back.
func (p *Pool) nextCall(l *lane) (effect Effect, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(l.waiting) == 0 {
		l.running--
		return Effect{}, false
	}
	effect = l.waiting[0]
	l.waiting = l.waiting[1:]
	return effect, true
}
