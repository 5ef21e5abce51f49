package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["stray-entry"] = playStrayEntry
}

// Times of the case. The engine's own heartbeat replaces the stray entry.
const (
	strayRounds = 4
	strayEvery  = 4 * time.Second
	beforeStray = 1500 * time.Millisecond
)

// playStrayEntry has bookings and lookups for the plain service. With trouble another writer
// replaces the entry of a model runner by one with fields missing, until the runner writes again.
func playStrayEntry(l *lab, trouble bool) (verdict, error) {
	for i, phase := range []string{"prefill", "decode"} {
		e := newEngine(fmt.Sprintf("i-e%d", i), phase, l.ledger)
		e.server.addr = "127.0.0.1:0"
		if err := e.server.listen(); err != nil {
			return nil, err
		}
		l.engines = append(l.engines, e)
		l.store.put("servers", e.id, e.registration(zones[i]))
	}
	if err := l.startDeployment(zoneFronts); err != nil {
		return nil, err
	}
	var r results
	stop := make(chan struct{})
	var loads, wait sync.WaitGroup
	for _, g := range l.gateways {
		// 25.2 bookings and 10.1 lookups a second in all, as on the sheet.
		loads.Go(func() {
			r.play(l, g.callers, traffic{routeOnce, http.MethodPost, "booking", 1500 * time.Millisecond, 198 * time.Millisecond}, stop, &wait)
		})
		loads.Go(func() {
			r.play(l, g.callers, traffic{routeRead, http.MethodGet, "", 1500 * time.Millisecond, 495 * time.Millisecond}, stop, &wait)
		})
	}
	engine := l.engines[1]
	for range strayRounds {
		began := time.Now()
		time.Sleep(beforeStray)
		if trouble {
			l.store.put("servers", engine.id, map[string]any{"service": plainName, "address": engine.server.addr, "state": "ready"})
			l.ledger.note("stray entry of %s: service %s, address, state and nothing else", engine.id, plainName)
		}
		time.Sleep(heartbeat)
		l.store.put("servers", engine.id, engine.registration(zones[1]))
		l.ledger.note("heartbeat of %s", engine.id)
		time.Sleep(time.Until(began.Add(strayEvery)))
	}
	close(stop)
	loads.Wait()
	wait.Wait()
	return l.judgeRoute(&r), nil
}

// judgeRoute finds the requests for the plain service that ran at a model runner.
func (l *lab) judgeRoute(r *results) (out verdict) {
	model := make(map[string]bool)
	for _, e := range l.engines {
		model[e.id] = true
	}
	for _, s := range r.all {
		for _, ran := range l.ledger.runsOf(s.id) {
			if model[ran.runner] {
				out = append(out, fmt.Sprintf("ROUTE: %s of the route %s, which leads to %s alone, ran at %s of %s; its client got %d: %.24q",
					s.id, s.route, plainName, ran.runner, modelName, s.status, s.body))
			}
		}
	}
	return out
}
