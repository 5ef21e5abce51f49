package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt.
type sent struct {
	id, route string
	at        time.Time
	status    int
	// err is set if the answer is not complete; body holds what arrived.
	err  error
	body string
	took time.Duration
}

// client sends requests one after another on a kept connection.
type client struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and waits for its answer, at most for patience.
func (c *client) do(id, method, route, body string, patience time.Duration) (out sent) {
	out = sent{id: id, route: route, at: time.Now()}
	defer func() { out.took = time.Since(out.at) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(out.at.Add(patience))
	text := fmt.Sprintf("%s /%s/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\nRequest-Timeout-Ms: %d\r\n",
		method, route, hostName, id, keyText, patience.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		out.err = err
		c.close()
		return out
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		out.err = err
		c.close()
		return out
	}
	got, err := io.ReadAll(resp.Body)
	out.status, out.body, out.err = resp.StatusCode, string(got), err
	if err != nil || resp.Close {
		c.close()
	}
	return out
}

// traffic is a load of requests of one route at some gateways.
type traffic struct {
	route, method, body string
	patience            time.Duration
	every               time.Duration
}

// results collects the attempts of all clients.
type results struct {
	mu  sync.Mutex
	all []sent
	n   int
}

func (r *results) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	return fmt.Sprintf("9c41d07b%08x", r.n)
}

func (r *results) add(s sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, s)
}

// play sends the load to a gateway until stop is closed.
func (r *results) play(l *lab, addr string, t traffic, stop <-chan struct{}, wait *sync.WaitGroup) {
	tick := time.NewTicker(t.every)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{addr: addr}
			id := r.nextID()
			l.ledger.note("sent    %s %s to %s", id, t.route, addr)
			s := c.do(id, t.method, t.route, t.body, t.patience)
			l.ledger.note("answer  %s status=%d err=%v bytes=%d took=%dms", id, s.status, s.err, len(s.body), s.took.Milliseconds())
			r.add(s)
			c.close()
		}()
	}
}
