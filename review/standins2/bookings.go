package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of bookings: the runner works on one for shortestWork to longestWork.
const (
	// bookingTimeout is what callers state, timeout_ms of the route.
	bookingTimeout = 1500 * time.Millisecond
	shortestWork   = 30 * time.Millisecond
	longestWork    = 220 * time.Millisecond
	answerBytes    = 800
)

// lastRequest is the number of the last request.
var lastRequest atomic.Int64

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
	time.Sleep(shortestWork + rand.N(longestWork-shortestWork))
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

// book sends a booking on a new connection and reads its answer. Without a key the header is
// empty.
func book(addr, id, key string) (status int, whole bool, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(bookingTimeout)); err != nil {
		return 0, false, err
	}
	const body = "amount=1"
	_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, bookingTimeout.Milliseconds(), key, len(body), body)
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

// configureBookings writes a version of the configuration: the route of bookings, and a tenant
// with the keys.
func (d *deployment) configureBookings(version int, keys ...string) error {
	return d.store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "wire-dispatch", "host": "orders.example", "prefix": "/book/", "kind": "non_idempotent", "service": "order-desk",
			"timeout_ms": bookingTimeout.Milliseconds(), "latency_goal_ms": 150, "max_attempts": 1, "priority": 2,
		}},
		"services": []map[string]any{{"name": "order-desk", "max_conns": 110}},
		"limits":   limits,
		"tenants":  []map[string]any{{"name": "weaver", "api_keys": keys}},
	})
}
