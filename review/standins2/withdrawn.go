package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Figures of the case of a withdrawn key.
const (
	withdrawnGateways = 2
	// silence is how long the store answers no call that arrives.
	silence = time.Second
	// settle is stable_window_ms of the sheet and a margin.
	settle = 3200 * time.Millisecond
	// applyWithin is config_apply_ms and revokeWithin revoke_ms of the sheet.
	applyWithin  = 2 * time.Second
	revokeWithin = 5 * time.Second
	judgeFor     = 5 * time.Second
	bookEvery    = 250 * time.Millisecond
	withdrawn    = "key-1"
)

// silentStore is the store. Once it is armed, it answers those that wait for the next change
// of the configuration and then, for a time, no call that arrives.
type silentStore struct {
	store *userplatform.Store
	armed atomic.Bool

	mu    sync.Mutex
	until time.Time
}

// ServeHTTP implements http.Handler.
func (s *silentStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	silent := time.Now().Before(s.until)
	s.mu.Unlock()
	if silent {
		<-q.Context().Done()
		return
	}
	s.store.ServeHTTP(w, q)
	if strings.HasSuffix(q.URL.Path, names["feed-call"]) && q.URL.Query().Get("table") == "op" && s.armed.CompareAndSwap(true, false) {
		s.mu.Lock()
		s.until = time.Now().Add(silence)
		s.mu.Unlock()
	}
}

// withdrawnCase withdraws a key after the store was silent for a second. It is broken if
// requests with the key run that were sent more than applyWithin after the store accepted it.
func withdrawnCase(l *lab) (broken bool, err error) {
	d, err := l.newDeployment()
	if err != nil {
		return false, err
	}
	store := &silentStore{store: d.store}
	if d.addr, err = l.serve(store); err != nil {
		return false, err
	}
	desk := &bookings{id: "i-desk", runs: make(map[string]int), answered: make(map[string]int)}
	addr, err := l.serve(desk)
	if err != nil {
		return false, err
	}
	if err := errors.Join(d.register(desk.id, "order-desk", addr, ""), d.configureBookings(1, withdrawn, "key-2")); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range withdrawnGateways {
		g, err := d.newGateway()
		if err != nil {
			return false, err
		}
		if err := errors.Join(l.start(g), l.awaitReady(ctx, g)); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	store.armed.Store(trouble())
	if err := d.configureBookings(2, withdrawn, "key-2"); err != nil {
		return false, err
	}
	l.write("the store accepted version 2; silent after it: %v", trouble())
	time.Sleep(silence + settle)
	if err := d.configureBookings(3, "key-2"); err != nil {
		return false, err
	}
	accepted := time.Now()
	l.write("the store accepted version 3, without %s", withdrawn)
	var ran, ranLate atomic.Int64
	var all sync.WaitGroup
	for time.Since(accepted) < applyWithin+judgeFor {
		for _, g := range d.gateways {
			all.Go(func() {
				after := time.Since(accepted)
				status, id := bookWithKey(g, withdrawn)
				runs, _ := desk.of(id)
				l.write("%s sent to %s %v after that: status %d, ran %d time(s)", id, g.name, after.Round(time.Millisecond), status, runs)
				if after > applyWithin && runs > 0 {
					ran.Add(1)
				}
				if after > revokeWithin && runs > 0 {
					ranLate.Add(1)
				}
			})
		}
		time.Sleep(bookEvery)
	}
	all.Wait()
	l.write("%d requests ran with the withdrawn key later than %v after the store accepted it, %d of them later than %v",
		ran.Load(), applyWithin, ranLate.Load(), revokeWithin)
	return ran.Load() > 0, nil
}

// bookWithKey sends a booking and returns the status of its answer.
func bookWithKey(g *gateway, key string) (status int, id string) {
	id = fmt.Sprintf("%s-%d", g.name, lastRequest.Add(1))
	status, _, _ = book(g.callers, id, key)
	return status, id
}
