package pool

import (
	"runtime/debug"
)

// lane limits the concurrent effects of one kind. The length of its waiting queue
// needs no limit of its own: requests are limited at admission and have few effects
// in progress at a time; the others are started by timers and by operators' queries.
type lane struct {
	limit   int
	running int
	waiting []Effect
}

// StartEffects performs each effect in its lane as soon as the lane has a free slot. It
// does not block. A closed pool drops the effects.
func (p *Pool) StartEffects(effects ...Effect) {
	for _, effect := range effects {
		p.startEffect(effect)
	}
}

func (p *Pool) startEffect(effect Effect) {
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
	p.effects.Go(func() { p.runLane(l, effect) })
}

// lane returns the lane with the given name and creates it on first use. The
// caller holds p.mu.
func (p *Pool) lane(name Lane) *lane {
	if l, ok := p.lanes[name]; ok {
		return l
	}
	limit := p.options.Lanes[name]
	if limit < 1 {
		limit = DefaultLaneLimit
	}
	l := &lane{limit: limit}
	p.lanes[name] = l
	return l
}

// runLane performs an effect and then the waiting effects of the lane, until none
// waits. It occupies one slot of the lane.
func (p *Pool) runLane(l *lane, effect Effect) {
	for {
		if step := p.performEffect(effect); step != nil {
			p.Enqueue(step)
		}
		next, ok := p.nextWaiting(l)
		if !ok {
			return
		}
		effect = next
	}
}

// performEffect performs one effect and returns the step to queue, if any. When
// the effect panics, that is the step of its OnPanic.
func (p *Pool) performEffect(effect Effect) (step Step) {
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

// nextWaiting removes the first waiting effect from the lane's queue. If there is
// none or the pool is closed, it releases the caller's slot and ok is false.
func (p *Pool) nextWaiting(l *lane) (effect Effect, ok bool) {
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
