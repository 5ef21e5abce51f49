package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case of a rolling restart. Several small deployments restart their gateways
// at the same time, each one gateway after the other, for more restarts in the time.
const (
	restartDeployments = 80
	restartGateways    = 2
	restartCallers     = 40
	restartFor         = 92 * time.Second
	// warmUp is the time of load before SIGTERM, notRouted that after it in which the
	// balancer still sends new connections: it asks once a second and needs two misses.
	warmUp    = 300 * time.Millisecond
	notRouted = 2 * time.Second
	// graceLimit is grace_s of the sheet.
	graceLimit = 8 * time.Second
	// summaryTimeout is what callers state, timeout_ms of the route.
	summaryTimeout = 14 * time.Second
)

// restartCase restarts gateways in turn, as planned work, while callers ask for summaries. It
// is broken if a runner wrote a whole answer, and the connection of its caller ended without
// one.
func restartCase(l *lab) (broken bool, err error) {
	var lost, restarts atomic.Int64
	errs := make([]error, restartDeployments)
	var all sync.WaitGroup
	for i := range restartDeployments {
		d, reader, err := newPatternReader(l)
		if err != nil {
			return false, err
		}
		all.Go(func() { errs[i] = restartInTurn(l, d, reader, &lost, &restarts) })
	}
	all.Wait()
	l.write("%d restarts, %d streams that the runner had written whole were lost", restarts.Load(), lost.Load())
	return lost.Load() > 0, errors.Join(errs...)
}

// newPatternReader starts a deployment with one model runner and writes its configuration.
func newPatternReader(l *lab) (*deployment, *summaries, error) {
	d, err := l.newDeployment()
	if err != nil {
		return nil, nil, err
	}
	reader := &summaries{id: "i-reader", events: make(map[string]int)}
	addr, err := l.serve(reader)
	if err != nil {
		return nil, nil, err
	}
	if err := d.register(reader.id, "pattern-reader", addr, "decode"); err != nil {
		return nil, nil, err
	}
	for range restartGateways {
		if _, err := d.newGateway(); err != nil {
			return nil, nil, err
		}
	}
	return d, reader, d.store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "spec-summary", "host": "orders.example", "prefix": "/sum/", "kind": "streaming", "service": "pattern-reader",
			"timeout_ms": summaryTimeout.Milliseconds(), "latency_goal_ms": 900, "max_attempts": 1, "priority": 1, "target_gap_ms": 300,
		}},
		"services": []map[string]any{{"name": "pattern-reader", "max_conns": 370, "engine": map[string]any{
			"slots": 64, "kv_tokens": 42786, "kv_hold_s": 1, "stage_switch_s": 1, "hold_ms": 2000, "stride": 2,
		}}},
		"limits":  limits,
		"tenants": []map[string]any{},
	})
}

// restartInTurn starts all gateways of a deployment and restarts one after the other.
func restartInTurn(l *lab, d *deployment, reader *summaries, lost, restarts *atomic.Int64) error {
	for _, g := range d.gateways {
		if err := l.start(g); err != nil {
			return err
		}
	}
	for round := 0; time.Since(l.started) < restartFor; round++ {
		g := d.gateways[round%len(d.gateways)]
		if err := restartOnce(l, g, reader, lost); err != nil {
			return err
		}
		restarts.Add(1)
		if err := l.start(g); err != nil {
			return err
		}
	}
	return nil
}

// tally counts the requests of one restart.
type tally struct {
	sent, whole, refused, lost atomic.Int64
}

// restartOnce lets callers ask a gateway for summaries and stops it with SIGTERM meanwhile.
func restartOnce(l *lab, g *gateway, reader *summaries, lost *atomic.Int64) error {
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
				summarizeOnce(l, g, reader, &t)
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
	l.write("%s ended %v after the signal: sent %d, whole answers %d, refused as not run %d, lost %d",
		g.name, time.Since(signaled).Round(time.Millisecond), t.sent.Load(), t.whole.Load(), t.refused.Load(), t.lost.Load())
	return nil
}

// summarizeOnce sends a request and judges its end.
func summarizeOnce(l *lab, g *gateway, reader *summaries, t *tally) {
	id := fmt.Sprintf("%s-%d", g.name, lastRequest.Add(1))
	t.sent.Add(1)
	status, events, err := summarize(g.callers, id)
	written := reader.of(id)
	switch {
	case status == http.StatusOK && err == nil && events == written:
		t.whole.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.refused.Add(1)
	case written > 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		t.lost.Add(1)
		l.write("LOST %s at %s: status %d, %d of %d events, then %v", id, g.name, status, events, written, err)
	}
}

// summarize sends a request on a new connection and reads its stream. It returns the number of
// events and what ended the stream; nil is its regular end.
func summarize(addr, id string) (status, events int, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(summaryTimeout)); err != nil {
		return 0, 0, err
	}
	_, err = fmt.Fprintf(c, "POST /sum/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nModel: m\r\n%s: 3200,69\r\nContent-Length: %d\r\n\r\n%s",
		id, summaryTimeout.Milliseconds(), names["size-header"], len(summaryBody), summaryBody)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return resp.StatusCode, events, lines.Err()
}
