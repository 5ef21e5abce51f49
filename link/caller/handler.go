// Package caller is the callers' front end: OpenAI-style completions and plain
// service calls over HTTP. It decodes requests, keeps callers' keys from going
// any further, and encodes answers and refusals. It decides nothing about a
// request beyond its form and size.
package caller

import (
	"context"
	"net/http"
	"path"
	"runtime/debug"
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
)

// Paths that the front end itself answers.
const (
	// PathCompletions takes a prompt.
	PathCompletions = "/v1/completions"
	// PathChat takes a chat.
	PathChat = "/v1/chat/completions"
	// PathReady tells the balancer whether to send requests here.
	PathReady = "/-/ready"
)

// Handler serves callers. Its methods may be called from any goroutine.
type Handler struct {
	server contract.Server
	limits Limits
	log    hclog.Logger
	clock  clock.Clock
	mux    *http.ServeMux
	bodies budget
	gate   gate
	// follow adds a condition to being ready; nil for none.
	follow func() (ok bool, reason string)
}

// NewHandler returns the handler of the callers' listener. It is unready until
// SetReady.
func NewHandler(server contract.Server, limits Limits, log hclog.Logger) *Handler {
	h := &Handler{
		server: server,
		limits: limits.withDefaults(),
		log:    log,
		clock:  clock.System{},
		mux:    http.NewServeMux(),
	}
	h.bodies.limit = h.limits.HeldBytes
	h.gate.setUnready("starting")
	h.mux.HandleFunc("GET "+PathReady, h.ready)
	h.mux.HandleFunc("POST "+PathCompletions, h.generate(textCompletion))
	h.mux.HandleFunc("POST "+PathChat, h.generate(chatCompletion))
	h.mux.HandleFunc("/", h.call)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.exchange(w)
	if !cleanPath(r.URL.Path) {
		h.refuse(e, malformed("the path is not in its shortest form"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// cleanPath reports whether a path has no ".", ".." or empty elements, so that
// the route that is found for it is the one that the service sees.
func cleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

func (h *Handler) exchange(w http.ResponseWriter) *exchange {
	return &exchange{
		w:            w,
		control:      http.NewResponseController(w),
		now:          h.clock.Now,
		writeTimeout: h.limits.WriteTimeout,
	}
}

// admitted reads what all requests have in common.
type admitted struct {
	key            string
	idempotencyKey string
	body           []byte
	release        func()
}

// admit checks that the entry takes requests and reads headers and body.
func (h *Handler) admit(e *exchange, r *http.Request) (a admitted, refusal *contract.Refusal) {
	if refusal := h.gate.check(); refusal != nil {
		return a, refusal
	}
	if a.key, refusal = bearerKey(r.Header); refusal != nil {
		return a, refusal
	}
	if a.idempotencyKey, refusal = idempotencyKey(r.Header); refusal != nil {
		return a, refusal
	}
	a.body, a.release, refusal = h.readBody(e, r)
	return a, refusal
}

// generate serves one kind of completion.
func (h *Handler) generate(kind completionKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := h.exchange(w)
		a, refusal := h.admit(e, r)
		if refusal != nil {
			h.refuse(e, refusal)
			return
		}
		defer a.release()
		g, stream, refusal := decodeGenerate(kind, a.body, h.limits)
		if refusal != nil {
			h.refuse(e, refusal)
			return
		}
		in := contract.Incoming{Key: a.key, Generate: g, IdempotencyKey: a.idempotencyKey}
		out := output{kind: kind, model: g.Model, maxTokens: g.MaxTokens, created: h.clock.Now()}
		if stream {
			h.serve(r.Context(), e, in, &streamSink{exchange: e, output: out})
			return
		}
		h.serve(r.Context(), e, in, &wholeSink{exchange: e, output: out})
	}
}

// call serves a plain service's call.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	e := h.exchange(w)
	a, refusal := h.admit(e, r)
	if refusal != nil {
		h.refuse(e, refusal)
		return
	}
	defer a.release()
	call, refusal := decodeCall(r, a.body)
	if refusal != nil {
		h.refuse(e, refusal)
		return
	}
	in := contract.Incoming{Key: a.key, Call: call, IdempotencyKey: a.idempotencyKey}
	h.serve(r.Context(), e, in, &serviceSink{exchange: e})
}

// serve runs a decoded request and reports how it ended.
func (h *Handler) serve(ctx context.Context, e *exchange, in contract.Incoming, sink responder) {
	if refusal := checkKeyStays(&in); refusal != nil {
		h.refuse(e, refusal)
		return
	}
	served := h.run(ctx, in, sink)
	if ctx.Err() != nil {
		return
	}
	if err := sink.finish(served); err != nil {
		h.log.Debug("answer not written", "request", e.requestID(), "error", err)
	}
}

// run calls the server; a panic ends this request only.
func (h *Handler) run(ctx context.Context, in contract.Incoming, sink responder) (refusal *contract.Refusal) {
	defer func() {
		if reason := recover(); reason != nil {
			h.log.Error("panic while serving a request", "reason", reason, "stack", string(debug.Stack()))
			refusal = &contract.Refusal{Code: contract.CodeInternal, Ran: contract.RanUnknown, Reason: "the request failed inside the entry"}
		}
	}()
	return h.server.Serve(ctx, in, sink)
}

// refuse answers a request that was not served. The connection is closed,
// since the rest of the request may not have been read.
func (h *Handler) refuse(e *exchange, refusal *contract.Refusal) {
	e.w.Header().Set("Connection", "close")
	if err := e.writeRefusal(refusal); err != nil {
		h.log.Debug("refusal not written", "code", refusal.Code, "error", err)
	}
}
