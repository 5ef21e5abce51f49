package gateway

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract/directory"
	"github.com/trefoilwalk/trefoilwalk/instance/table"
	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// holdAnswer keeps what an answer holds until it is delivered or the request ends. It is
// released at once if the request has ended.
func (g *Gateway) holdAnswer(h *table.HeldLocks, r *request, answer runner.Answer) {
	if answer.Release == nil {
		return
	}
	if !g.ifLive(h, r, func() { r.heldAnswers = append(r.heldAnswers, answer.Release) }) {
		answer.Release()
	}
}

// takeHeldAnswers returns what the caller must release once the answer is delivered. It is
// not released when the request ends meanwhile: a slow caller still holds the bytes.
func (g *Gateway) takeHeldAnswers(h *table.HeldLocks, r *request) (held []func()) {
	g.ifLive(h, r, func() { held, r.heldAnswers = r.heldAnswers, nil })
	return held
}

func releaseAll(held []func()) {
	for _, release := range held {
		release()
	}
}

// Bounds of the request bodies that gateways have at one upstream, which keeps them in memory
// while it runs the requests.
const (
	// mostUpstreamBytes is divided among the gateways by their shares.
	mostUpstreamBytes = 32 << 20
	// leastUpstreamBytes is each gateway's part at least, so that one with a small share can
	// have several small requests there.
	leastUpstreamBytes = 64 << 10
)

// mostBytes is the size of the bodies that this process may have at one upstream of a
// service.
func (g *Gateway) mostBytes(h *table.HeldLocks, now time.Time, service directory.ServiceName) int64 {
	return max(leastUpstreamBytes, int64(mostUpstreamBytes*g.share(h, now, service)))
}
