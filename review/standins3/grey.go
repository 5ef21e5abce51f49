package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["grey-runner"] = playGreyRunner
}

// Times and doses of the case: srv_grey of the site file.
const (
	greyShare  = 0.45
	greyFor    = 6500 * time.Millisecond
	greyRounds = 3
	greyPause  = 3 * time.Second
	// bookingEvery is the time between two bookings at one gateway: 25.2 a second in all.
	bookingEvery = 198 * time.Millisecond
)

// booking is what one client wants, with its attempts in order.
type booking []sent

// playGreyRunner has bookings that clients send again after a promise that they have not run. With
// trouble one runner of the plain service fails a part of its requests after their work.
func playGreyRunner(l *lab, trouble bool) (verdict, error) {
	if err := l.startDeployment(zoneFronts); err != nil {
		return nil, err
	}
	var r results
	stop := make(chan struct{})
	var bookings []booking
	var mu sync.Mutex
	var loads, wait sync.WaitGroup
	for i := range l.gateways {
		loads.Go(func() {
			tick := time.NewTicker(bookingEvery)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				wait.Go(func() {
					b := l.book(&r, i)
					mu.Lock()
					bookings = append(bookings, b)
					mu.Unlock()
				})
			}
		})
	}
	for range greyRounds {
		time.Sleep(greyPause)
		if trouble {
			l.ledger.note("grey    %s fails %.0f of 100 requests", l.plains[0].id, 100*greyShare)
			l.plains[0].failing.Store(true)
		}
		time.Sleep(greyFor)
		l.plains[0].failing.Store(false)
	}
	close(stop)
	loads.Wait()
	wait.Wait()
	return l.judgeRefused(bookings), nil
}

// book sends a booking and, after a promise that it has not run, once more at another gateway, as
// clients do.
func (l *lab) book(r *results, gateway int) (b booking) {
	const patience = 1500 * time.Millisecond
	until := time.Now().Add(patience)
	for try := range 2 {
		c := &client{addr: l.gateways[(gateway+try)%len(l.gateways)].callers}
		id := r.nextID()
		l.ledger.note("sent    %s to %s", id, c.addr)
		s := c.do(id, http.MethodPost, routeOnce, "booking", time.Until(until))
		c.close()
		l.ledger.note("answer  %s status=%d err=%v", id, s.status, s.err)
		b = append(b, s)
		if !promises(s.status) || time.Until(until) < patience/10 {
			break
		}
	}
	return b
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fails reports whether a grey runner fails this request.
func (p *plain) fails() bool {
	return p.failing.Load() && rand.Float64() < greyShare
}

// judgeRefused finds the requests that were answered with a promise that they have not run, and ran.
func (l *lab) judgeRefused(bookings []booking) (out verdict) {
	twice := 0
	for _, b := range bookings {
		ran := 0
		for _, s := range b {
			runs := len(l.ledger.runsOf(s.id))
			ran += runs
			if runs > 0 && promises(s.status) {
				out = append(out, fmt.Sprintf("REFUSED: %s was answered %d and has run", s.id, s.status))
			}
		}
		if ran > 1 {
			twice++
		}
	}
	l.ledger.note("bookings %d, entered twice %d", len(bookings), twice)
	return out
}
