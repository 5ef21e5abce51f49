package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["silent-store"] = playSilentStore
}

// Figures of the deployment swd-trefoil.
const (
	drainTime    = 2000 * time.Millisecond
	stableWindow = 3000 * time.Millisecond
)

// Times of one round, from the registration of a new runner on.
const (
	rounds      = 10
	roundLength = 7 * time.Second
	silenceAt   = 450 * time.Millisecond
	leaveAt     = 800 * time.Millisecond
	// batchAt is after silenceAt and stableWindow; the batch lasts batchLength.
	batchAt     = 3550 * time.Millisecond
	batchLength = 600 * time.Millisecond
	// exitAfter is how long a runner serves after it has left.
	exitAfter = drainTime + 850*time.Millisecond
	// batchEvery is the time between two bookings at one gateway in a batch.
	batchEvery = 40 * time.Millisecond
)

// departure is a runner that left, and when the store accepted that.
type departure struct {
	runner string
	at     time.Time
}

// playSilentStore replaces the runners of the plain service one after the other. With trouble
// the open connections to the store go silent as the next runner has registered.
func playSilentStore(l *lab, trouble bool) (verdict, error) {
	if err := l.startDeployment(zoneFronts); err != nil {
		return nil, err
	}
	var r results
	var departures []departure
	var calm []time.Time
	for round := range rounds {
		began := time.Now()
		if _, err := l.addPlain(); err != nil {
			return nil, err
		}
		l.register(len(l.plains) - 1)
		l.batch(&r, batchLength/2)
		time.Sleep(time.Until(began.Add(silenceAt)))
		if trouble {
			l.ledger.note("silence %d connections to the store", l.storeLink.silence())
		}
		calm = append(calm, time.Now().Add(stableWindow))
		time.Sleep(time.Until(began.Add(leaveAt)))
		departures = append(departures, l.leave(round, exitAfter))
		time.Sleep(time.Until(began.Add(batchAt)))
		l.batch(&r, batchLength)
		time.Sleep(time.Until(began.Add(roundLength)))
	}
	return l.judgeDrain(&r, departures, calm), nil
}

// leave removes the row of a runner, which serves for a time and says in its answers that it leaves.
func (l *lab) leave(i int, serves time.Duration) departure {
	p := l.plains[i]
	p.leaving.Store(true)
	l.store.put("servers", p.id, nil)
	l.ledger.note("leaves  %s", p.id)
	time.AfterFunc(serves, func() {
		l.ledger.note("exits   %s", p.id)
		p.server.close()
	})
	return departure{p.id, time.Now()}
}

// batch sends bookings at all gateways for a time, each on its own connection.
func (l *lab) batch(r *results, length time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	var loads, wait sync.WaitGroup
	for _, g := range l.gateways {
		t := traffic{routeOnce, http.MethodPost, "booking", 1500 * time.Millisecond, batchEvery}
		loads.Go(func() { r.play(l, g.callers, t, stop, &wait) })
	}
	loads.Wait()
	wait.Wait()
}

// judgeDrain finds the requests that reached a runner later than drainTime after it had left.
// Requests are counted only if their client sent them when all machines were in touch again.
func (l *lab) judgeDrain(r *results, departures []departure, calm []time.Time) (out verdict) {
	l.ledger.mu.Lock()
	runs := make([]run, 0, len(l.ledger.runs))
	for _, ran := range l.ledger.runs {
		runs = append(runs, *ran)
	}
	l.ledger.mu.Unlock()
	attempts := make(map[string]sent)
	for _, s := range r.all {
		attempts[s.id] = s
	}
	for i, d := range departures {
		for _, ran := range runs {
			late := ran.began.Sub(d.at)
			if ran.runner != d.runner || late <= drainTime || !attempts[ran.id].at.After(calm[i]) {
				continue
			}
			s := attempts[ran.id]
			out = append(out, fmt.Sprintf("DRAIN: %s ran at %s %d ms after that had left; its client, which sent it %d ms before, got %d",
				ran.id, ran.runner, late.Milliseconds(), ran.began.Sub(s.at).Milliseconds(), s.status))
		}
	}
	answers := make(map[int]int)
	for _, s := range r.all {
		answers[s.status]++
	}
	l.ledger.note("answers by status: %v", answers)
	return out
}
