package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// readinessState is replaced as a whole and never modified.
type readinessState struct {
	// unready is the reason why the entry is not ready; empty if it is ready.
	unready string
	// draining is set while new requests are refused.
	draining bool
}

// readiness holds the state set by SetReady, SetUnready and Drain.
type readiness struct {
	state atomic.Pointer[readinessState]
}

func (r *readiness) setUnready(reason string) {
	r.state.Store(&readinessState{unready: reason})
}

// checkDraining returns the refusal of a new request while draining, else nil.
func (r *readiness) checkDraining() *contract.Refusal {
	if r.state.Load().draining {
		return contract.RefuseRetryable(contract.CodeDraining, time.Second, "this entry is shutting down")
	}
	return nil
}

// SetReady makes PathReady report ready, unless the function set by SetReadinessCheck reports
// otherwise. It replaces an earlier SetUnready or Drain.
func (h *Handler) SetReady() {
	h.readiness.state.Store(&readinessState{})
}

// SetUnready makes PathReady report the reason, so that the load balancer sends
// requests elsewhere. Requests that still arrive are served.
func (h *Handler) SetUnready(reason string) {
	h.readiness.setUnready(reason)
}

// Drain makes PathReady report draining and refuses new requests as not run.
// Running requests continue.
func (h *Handler) Drain() {
	h.readiness.state.Store(&readinessState{unready: "draining", draining: true})
}

// SetReadinessCheck adds a condition to readiness: PathReady reports ready only while f
// returns ok, and f's reason otherwise. It must be called before the handler
// serves. Requests are served whatever f returns.
func (h *Handler) SetReadinessCheck(f func() (ok bool, reason string)) {
	h.extraCheck = f
}

// unready returns the reason why the entry is not ready, empty if it is ready. A
// reason set by SetUnready or Drain takes precedence over the one of SetReadinessCheck.
func (h *Handler) unready() string {
	if reason := h.readiness.state.Load().unready; reason != "" || h.extraCheck == nil {
		return reason
	}
	if ok, reason := h.extraCheck(); !ok {
		return reason
	}
	return ""
}

// serveReady answers the readiness check of the load balancer.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := h.unready()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if reason == "" {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(reason + "\n"))
}
