package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case of a rolling restart. Several small deployments restart their gateways
// at the same time, each one gateway after the other, for more restarts in the time.
const (
	restartDeployments = 64
	restartGateways    = 2
	restartCallers     = 32
	restartFor         = 92 * time.Second
	// warmUp is the time of load before SIGTERM, notRouted that after it in which the
	// balancer still sends new connections: it asks once a second and needs two misses.
	warmUp    = 300 * time.Millisecond
	notRouted = 2 * time.Second
	// graceLimit is grace_s of the sheet.
	graceLimit = 8 * time.Second
	// requestTimeout is what callers state, timeout_ms of the route.
	requestTimeout = 1500 * time.Millisecond
	// The runner works on a booking for shortestWork to longestWork, and ends the work that
	// is due in steps of batchEvery.
	shortestWork = 100 * time.Millisecond
	longestWork  = 1000 * time.Millisecond
	batchEvery   = 250 * time.Millisecond
	answerBytes  = 800
)

// bookings is a plain service that runs each request that names it and answers it whole.
type bookings struct {
	id string
	mu sync.Mutex
	// runs counts the runs of each request, answered those whose answer was written whole.
	runs, answered map[string]int
}

// ServeHTTP implements http.Handler.
func (b *bookings) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if q.Header.Get(names["target-header"]) != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.count(b.runs, id)
	work := shortestWork + rand.N(longestWork-shortestWork)
	time.Sleep(time.Until(time.Now().Add(work).Truncate(batchEvery).Add(batchEvery)))
	w.Header().Set(names["signature-header"], "s-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	if _, err := io.WriteString(w, strings.Repeat("b", answerBytes)); err != nil {
		return
	}
	if http.NewResponseController(w).Flush() == nil {
		b.count(b.answered, id)
	}
}

func (b *bookings) count(in map[string]int, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in[id]++
}

// of returns how often a request ran and was answered whole.
func (b *bookings) of(id string) (runs, answered int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id], b.answered[id]
}

// restartCase restarts gateways in turn, as planned work, while callers book. It is broken if
// a runner ran a booking and answered it whole, and the connection of its caller ended
// without a whole answer.
func restartCase(l *lab) (broken bool, err error) {
	var lost, restarts atomic.Int64
	errs := make([]error, restartDeployments)
	var all sync.WaitGroup
	for i := range restartDeployments {
		d, desk, err := newOrderDesk(l)
		if err != nil {
			return false, err
		}
		all.Go(func() { errs[i] = restartInTurn(l, d, desk, &lost, &restarts) })
	}
	all.Wait()
	l.write("%d restarts, %d bookings that ran and were answered whole by the runner were lost", restarts.Load(), lost.Load())
	return lost.Load() > 0, errors.Join(errs...)
}

// newOrderDesk starts a deployment with one service and writes its configuration.
func newOrderDesk(l *lab) (*deployment, *bookings, error) {
	d, err := l.newDeployment()
	if err != nil {
		return nil, nil, err
	}
	desk := &bookings{id: "i-desk", runs: make(map[string]int), answered: make(map[string]int)}
	addr, err := l.serve(desk)
	if err != nil {
		return nil, nil, err
	}
	if err := d.register(desk.id, "order-desk", addr); err != nil {
		return nil, nil, err
	}
	for range restartGateways {
		if _, err := d.newGateway(); err != nil {
			return nil, nil, err
		}
	}
	return d, desk, d.configure(1)
}

// restartInTurn starts all gateways of a deployment and restarts one after the other.
func restartInTurn(l *lab, d *deployment, desk *bookings, lost, restarts *atomic.Int64) error {
	for _, g := range d.gateways {
		if err := l.start(g); err != nil {
			return err
		}
	}
	for round := 0; time.Since(l.started) < restartFor; round++ {
		g := d.gateways[round%len(d.gateways)]
		if err := restartOnce(l, g, desk, lost); err != nil {
			return err
		}
		restarts.Add(1)
		if err := l.start(g); err != nil {
			return err
		}
	}
	return nil
}

// tally counts the bookings of one restart.
type tally struct {
	sent, ran, whole, refused, lost atomic.Int64
}

// restartOnce lets callers book at a gateway and stops it with SIGTERM meanwhile.
func restartOnce(l *lab, g *gateway, desk *bookings, lost *atomic.Int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), graceLimit)
	defer cancel()
	if err := l.awaitReady(ctx, g); err != nil {
		return err
	}
	var t tally
	var routed atomic.Bool
	routed.Store(true)
	var callers sync.WaitGroup
	for range restartCallers {
		callers.Go(func() {
			for routed.Load() {
				bookOnce(l, g, desk, &t)
			}
		})
	}
	time.Sleep(warmUp)
	if trouble() {
		if err := g.signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	signaled := time.Now()
	time.Sleep(notRouted)
	routed.Store(false)
	callers.Wait()
	if !trouble() {
		_ = g.signal(syscall.SIGKILL)
	}
	select {
	case <-g.ended:
	case <-time.After(time.Until(signaled.Add(graceLimit))):
		_ = g.signal(syscall.SIGKILL)
		<-g.ended
	}
	lost.Add(t.lost.Load())
	l.write("%s ended %v after the signal: sent %d, ran %d, whole answers %d, refused as not run %d, lost %d",
		g.name, time.Since(signaled).Round(time.Millisecond), t.sent.Load(), t.ran.Load(), t.whole.Load(), t.refused.Load(), t.lost.Load())
	return nil
}

var lastRequest atomic.Int64

// bookOnce sends a booking and judges its end.
func bookOnce(l *lab, g *gateway, desk *bookings, t *tally) {
	id := fmt.Sprintf("%s-%d", g.name, lastRequest.Add(1))
	t.sent.Add(1)
	status, whole, err := book(g.callers, id, "")
	runs, answered := desk.of(id)
	if runs > 0 {
		t.ran.Add(1)
	}
	switch {
	case status == http.StatusOK && whole:
		t.whole.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.refused.Add(1)
	case answered > 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		t.lost.Add(1)
		l.write("LOST %s at %s: status %d, then %v; the runner ran it %d time(s) and wrote its whole answer", id, g.name, status, err, runs)
	}
}

// book sends a booking on a new connection and reads its answer. Without a key the header is
// empty.
func book(addr, id, key string) (status int, whole bool, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, false, err
	}
	const body = "amount=1"
	_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, requestTimeout.Milliseconds(), key, len(body), body)
	if err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && len(text) == answerBytes, err
}
