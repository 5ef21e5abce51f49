package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// gateState is what the balancer and callers are told.
type gateState struct {
	// unready is the reason, empty when ready.
	unready string
	// draining refuses new requests.
	draining bool
}

// gate says whether the entry takes requests.
type gate struct {
	state atomic.Pointer[gateState]
}

func (g *gate) setUnready(reason string) {
	g.state.Store(&gateState{unready: reason})
}

// check refuses requests while draining. They did not run.
func (g *gate) check() *contract.Refusal {
	if g.state.Load().draining {
		return contract.RefuseRepeat(contract.CodeDraining, time.Second, "this entry is shutting down")
	}
	return nil
}

// SetReady tells the balancer to send requests here.
func (h *Handler) SetReady() {
	h.gate.state.Store(&gateState{})
}

// SetUnready tells the balancer why it should send requests elsewhere. Those
// that still come are served.
func (h *Handler) SetUnready(reason string) {
	h.gate.setUnready(reason)
}

// Drain refuses all new requests as not run; running ones go on.
func (h *Handler) Drain() {
	h.gate.state.Store(&gateState{unready: "draining", draining: true})
}

// Follow makes the handler ready only while f says so; f gives the reason if not.
// Call it before the handler serves.
func (h *Handler) Follow(f func() (ok bool, reason string)) {
	h.follow = f
}

// unready gives the reason why the balancer should send requests elsewhere;
// empty if it should not.
func (h *Handler) unready() string {
	if reason := h.gate.state.Load().unready; reason != "" || h.follow == nil {
		return reason
	}
	if ok, reason := h.follow(); !ok {
		return reason
	}
	return ""
}

// ready answers the balancer.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	reason := h.unready()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if reason == "" {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(reason + "\n"))
}
