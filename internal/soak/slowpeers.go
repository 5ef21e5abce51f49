package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/internal/standin/userplatform"
)

// Callers that read slowly: each sends a large body, which is echoed, and reads slowPiece bytes
// of the answer at a time, with slowPause before each.
const (
	slowCallers   = 60
	slowBodyBytes = 256 << 10
	slowPiece     = 16 << 10
	slowPause     = 60 * time.Millisecond
)

// slowRead is how long a runner that reads slowly waits before it reads a body. It is less than
// pauseGrace, since a request counts as arrived once it was read.
const slowRead = 300 * time.Millisecond

var slowBody = strings.Repeat("slow ", slowBodyBytes/len("slow "))

// readSlowly sends requests to a gateway and reads their answers slowly.
func (s *soak) readSlowly(g *process) {
	for range slowCallers {
		s.slow.Go(func() { s.askSlowly(g) })
	}
}

// askSlowly sends one request, records its outcome and checks an answer that is complete.
func (s *soak) askSlowly(g *process) {
	k := kinds[1]
	s.mu.Lock()
	id := fmt.Sprintf("slow-%d", len(s.requests))
	s.requests[id] = sentRequest{kind: k, gateway: g, sentAt: time.Now()}
	s.mu.Unlock()
	status, body, err := s.exchangeSlowly(g, k, id)
	s.mu.Lock()
	sent := s.requests[id]
	sent.status = status
	s.requests[id] = sent
	outcome := fmt.Sprintf("slow %d", status)
	if err != nil {
		outcome += " broken"
	}
	s.report.Outcomes[outcome]++
	s.mu.Unlock()
	if status == http.StatusOK && err == nil && body != userplatform.Answer(id, slowBody) {
		s.failCheck("slow request %s got %d bytes that are not its answer", id, len(body))
	}
}

func (s *soak) exchangeSlowly(g *process, k kind, id string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp", g.callersAddr, requestTimeout)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, "", err
	}
	if err := c.(*net.TCPConn).SetReadBuffer(slowPiece); err != nil {
		return 0, "", err
	}
	go func() {
		_, _ = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\nRequest-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
			k.name, host, id, key, requestTimeout.Milliseconds(), len(slowBody))
		_, _ = io.WriteString(c, slowBody)
	}()
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
	if err != nil {
		return 0, "", err
	}
	s.recordLeaving(g, resp.Header)
	var b strings.Builder
	pauses := time.NewTicker(slowPause)
	defer pauses.Stop()
	for piece := make([]byte, slowPiece); ; <-pauses.C {
		n, err := io.ReadFull(resp.Body, piece)
		b.Write(piece[:n])
		switch {
		case err == io.EOF, err == io.ErrUnexpectedEOF && (resp.ContentLength < 0 || int64(b.Len()) == resp.ContentLength):
			return resp.StatusCode, b.String(), nil
		case err != nil:
			return resp.StatusCode, b.String(), err
		}
	}
}
